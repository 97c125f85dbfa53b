//! Calls are set up at one call server while it is slow; then nothing is asked for some seconds. The calls that stand
//! there, and their call server, are sound: none may be released.
use crate::common::*;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    let servers: Vec<Server> = (0..3)
        .map(|n| {
            let answer_ms = if n == 0 && trouble { 160 } else { 40 };
            Server::start(log, &format!("s{n}"), Behaviour { answer_ms, hold_ms: Box::new(|_| 14_000), spoil: None })
        })
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start(log, &bulletin, 3);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    sleep_ms(500);
    let tested: Vec<String> = (0..24).map(|n| sid(1, n)).collect();
    for sid in &tested {
        caller.open(sid, 0, 3_000);
        sleep_ms(30);
    }
    sleep_ms(1_000);
    log.say(&format!("connections to s0: {}, calls standing there: {}", servers[0].links(), servers[0].standing().len()));
    let until = log.now() + 18_000;
    let mut broken = Vec::new();
    while log.now() < until {
        sleep_ms(20);
        for (n, server) in servers.iter().enumerate() {
            for sid in server.standing() {
                if let Some(heard) = caller.released(&sid) {
                    if !broken.iter().any(|(known, _): &(String, String)| *known == sid) {
                        broken.push((sid.clone(), format!("{sid}: told over with cause {} while it stands at s{n}", heard.code)));
                    }
                }
            }
        }
    }
    let broken: Vec<String> = broken.into_iter().map(|(_, text)| text).collect();
    finish(controller, log, &broken, None)
}
