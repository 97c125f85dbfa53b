//! The controller is killed outright and starts again; the callers of the calls that stood hang up, on one connection.
//! Each hang-up that the controller takes has to reach the call server that has the call.
use crate::common::*;

const CALLS: u64 = 400;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    // The callers end the calls under test; the new ones are ended by their call servers.
    let hold = |sid: &str| if sid.starts_with("9b1f000001") { 60_000 } else { 1_000 };
    let servers: Vec<Server> = (0..2)
        .map(|n| Server::start(log, &format!("s{n}"), Behaviour { answer_ms: 20, hold_ms: Box::new(hold), spoil: None }))
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let mut controller = Controller::start(log, &bulletin, 2);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    sleep_ms(300);
    let tested: Vec<String> = (0..CALLS).map(|n| sid(1, n)).collect();
    for (n, sid) in tested.iter().enumerate() {
        caller.open(sid, n % 2, 3_000);
        sleep_ms(20);
    }
    sleep_ms(2_000);
    let standing: Vec<String> = servers.iter().flat_map(|s| s.standing()).collect();
    log.say(&format!("{} calls stand", standing.len()));
    let mut caller = caller;
    if trouble {
        controller.restart(log);
        let Some(again) = Caller::connect(log, "caller after the restart", controller.at) else {
            finish(controller, log, &[], Some("no connection".to_owned()))
        };
        caller = again;
    }
    // Five hang-ups to one new set-up, all on the caller's one connection.
    for (n, name) in standing.iter().enumerate() {
        if n % 5 == 0 {
            caller.open(&sid(2, n as u64), n % 2, 3_000);
        }
        caller.hang_up(name);
        sleep_ms(20);
    }
    sleep_ms(9_000);
    let left: Vec<String> = servers.iter().flat_map(|s| s.standing()).filter(|sid| standing.contains(sid)).collect();
    let confirmed = left.iter().filter(|sid| caller.confirmed(sid)).count();
    let mut broken = Vec::new();
    if !left.is_empty() {
        broken.push(format!("{} of {} calls still stand 9 s after their hang-ups, {confirmed} of these hang-ups were confirmed", left.len(), standing.len()));
    }
    finish(controller, log, &broken, None)
}
