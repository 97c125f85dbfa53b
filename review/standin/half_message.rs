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
    log.line("caller begins another set-up and falls silent");
    caller.write_in_two(&line, 60, if trouble { 2_500 } else { 200 });
    log.line("caller has gone on");
    sleep_ms(9_000);
    let mut broken = Vec::new();
    let sent_on = sent_on(&servers);
    for sid in first.iter().filter(|sid| sent_on.contains(*sid)) {
        if caller.heard(sid).is_empty() {
            broken.push(format!("{sid}: taken, never answered; its connection ended at {:?} ms", caller.ended_at()));
        }
    }
    log.say(&format!("{} of 4 set-ups were sent on", first.iter().filter(|sid| sent_on.contains(*sid)).count()));
    finish(controller, log, &broken, None)
}
