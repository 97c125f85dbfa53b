//! Plays the simulator's wire: one controller an instance, nothing shared between them, no decisions.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

use lockpoint::interface::Action;
use lockpoint::rules::Controller;
use lockpoint::wire::{read_frame, Batch, Decoder, InstanceNo, Record, Reply};

fn main() -> ExitCode {
    match serve(&mut BufReader::new(io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lockpoint-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut decoder = Decoder::default();
    let mut gateways = BTreeMap::new();
    while let Some(frame) = read_frame(input)? {
        let reply = play(decoder.decode(&frame)?, &mut gateways);
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

fn play(batch: Batch, gateways: &mut BTreeMap<InstanceNo, Controller>) -> Reply {
    let mut reply = Reply::default();
    let mut actions: Vec<Action> = Vec::new();
    for (instance, record) in batch.records {
        match record {
            Record::Begin { seed, settings } => {
                gateways.insert(instance, Controller::new(*settings, seed));
            }
            Record::Killed => {
                gateways.remove(&instance);
            }
            Record::Event(event) => {
                // An instance that is down hears nothing.
                if let Some(gateway) = gateways.get_mut(&instance) {
                    gateway.handle(batch.clock, event, &mut actions);
                }
            }
        }
        for action in actions.drain(..) {
            reply.push(instance, &action);
        }
    }
    reply
}
