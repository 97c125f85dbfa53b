//! The bulletin is slow for a while: each of its responses takes 0.7 s from the first byte to the last. What it has to
//! tell counts as told 7 s later at the latest; no new call may go to a draining call server 0.3 s after that.
use crate::common::*;
use std::io::Write;
use std::sync::Arc;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    let servers: Vec<Server> = (0..3)
        .map(|n| Server::start(log, &format!("s{n}"), Behaviour { answer_ms: 30, hold_ms: Box::new(|_| 3_000), spoil: None }))
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start(log, &bulletin, 3);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    let load = caller.clone();
    std::thread::spawn(move || {
        for n in 0..300 {
            load.open(&sid(2, n), n as usize % 3, 3_000);
            sleep_ms(100);
        }
    });
    sleep_ms(3_000);
    if trouble {
        *bulletin.writing.lock().unwrap() = Some(Arc::new(|stream, bytes| {
            let piece = bytes.len().div_ceil(8);
            for part in bytes.chunks(piece) {
                if stream.write_all(part).is_err() {
                    return;
                }
                sleep_ms(100);
            }
        }));
    }
    bulletin.publish(false, &[host("s0", servers[0].at, 0, "draining", 0)]);
    let told = log.now();
    sleep_ms(20_000);
    let late: Vec<u64> = servers[0].invited().into_iter().map(|(at, _)| at).filter(|at| *at > told + 7_300).collect();
    let mut broken = Vec::new();
    if !late.is_empty() {
        broken.push(format!("{} set-ups to s0 later than 7.3 s after its drain, the last after {} ms", late.len(), late.last().unwrap() - told));
    }
    finish(controller, log, &broken, None)
}
