//! Some good answers arrive spoilt: their Content-Length doesn't fit. The caller must not be served with what no call
//! server made.
use crate::common::*;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    let servers: Vec<Server> = (0..3)
        .map(|n| {
            let spoil = move |sid: &str, answer: String| {
                if trouble && sid.ends_with('3') {
                    let length = answer_text(sid, "").len();
                    answer.replace(&format!("Content-Length: {length}"), &format!("Content-Length: {}", length - 20))
                } else {
                    answer
                }
            };
            let behaviour = Behaviour { answer_ms: 30, hold_ms: Box::new(|_| 4_000), spoil: Some(Box::new(spoil)) };
            Server::start(log, &format!("s{n}"), behaviour)
        })
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start(log, &bulletin, 3);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    sleep_ms(500);
    let tested: Vec<String> = (0..64).map(|n| sid(1, n)).collect();
    for (n, sid) in tested.iter().enumerate() {
        caller.open(sid, n % 3, 3_000);
        sleep_ms(100);
    }
    sleep_ms(4_000);
    let mut broken = Vec::new();
    let mut stood = 0;
    for sid in &tested {
        if let Some(heard) = caller.stood(sid) {
            stood += 1;
            if heard.text != answer_text(sid, "") {
                broken.push(format!("{sid}: served with {:?}, made was {:?}", heard.text, answer_text(sid, "")));
            }
        }
    }
    log.say(&format!("{stood} of 64 calls stood"));
    finish(controller, log, &broken, None)
}
