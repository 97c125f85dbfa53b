//! Runs controllers for the simulator over its binary protocol on stdin and stdout: one per instance, with no
//! shared state.

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
    let mut controllers = BTreeMap::new();
    while let Some(frame) = read_frame(input)? {
        let reply = handle_batch(decoder.decode(&frame)?, &mut controllers);
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

fn handle_batch(batch: Batch, controllers: &mut BTreeMap<InstanceNo, Controller>) -> Reply {
    let mut reply = Reply::default();
    let mut actions: Vec<Action> = Vec::new();
    for (instance, record) in batch.records {
        match record {
            Record::Begin { seed, settings } => {
                controllers.insert(instance, Controller::new(*settings, seed));
            }
            Record::Killed => {
                controllers.remove(&instance);
            }
            Record::Event(event) => {
                // Events for an instance that is down are ignored.
                if let Some(controller) = controllers.get_mut(&instance) {
                    controller.handle(batch.clock, event, &mut actions);
                }
            }
        }
        for action in actions.drain(..) {
            reply.push(instance, &action);
        }
    }
    reply
}
