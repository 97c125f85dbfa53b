//! A caller's connection carries a set-up that waits for its answer; the next message on it begins, and the caller
//! falls silent for a while. The set-up that was taken is owed its final answer.
use crate::common::*;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    let servers: Vec<Server> = (0..3)
        .map(|n| Server::start(log, &format!("s{n}"), Behaviour { answer_ms: 1_900, hold_ms: Box::new(|_| 4_000), spoil: None }))
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start(log, &bulletin, 3);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    sleep_ms(300);
    let first: Vec<String> = (0..4).map(|n| sid(1, n)).collect();
    for (n, sid) in first.iter().enumerate() {
        caller.open(sid, n % 3, 9_000);
    }
    let line = Caller::open_line(&sid(2, 0), 0, 9_000);
    let (head, tail) = line.split_at(60);
    log.line("caller begins another set-up");
    caller.write(head);
    sleep_ms(if trouble { 2_500 } else { 200 });
    log.line("caller goes on");
    caller.write(tail);
    sleep_ms(9_000);
    let mut broken = Vec::new();
    for sid in &first {
        if caller.heard(sid).is_empty() {
            broken.push(format!("{sid}: taken, never answered; its connection ended at {:?} ms", caller.ended_at()));
        }
    }
    finish(controller, log, &broken, None)
}
