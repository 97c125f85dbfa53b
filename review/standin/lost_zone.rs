//! One of four call servers is lost for 5 s and comes back cold. The calls that stood there are over; each caller is
//! owed a release within 8 s of that end.
use crate::common::*;

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    // The calls under test are longer than most, as the call server holds them; the others last 3 s.
    let hold = |sid: &str| if sid.starts_with("9b1f000001") { 26_000 } else { 3_000 };
    let servers: Vec<Server> = (0..4)
        .map(|n| Server::start(log, &format!("s{n}"), Behaviour { answer_ms: 30, hold_ms: Box::new(hold), spoil: None }))
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start(log, &bulletin, 4);
    let Some(caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    // A light load all the while, four calls a second.
    let load = caller.clone();
    std::thread::spawn(move || {
        for n in 0..220 {
            load.open(&sid(2, n), n as usize % 4, 3_000);
            sleep_ms(250);
        }
    });
    sleep_ms(1_000);
    let tested: Vec<String> = (0..8).map(|n| sid(1, n)).collect();
    for sid in &tested {
        caller.open(sid, 0, 3_000);
        sleep_ms(100);
    }
    sleep_ms(1_500);
    let stood = servers[0].standing();
    let tested: Vec<String> = tested.into_iter().filter(|sid| stood.contains(sid) && caller.stood(sid).is_some()).collect();
    if tested.is_empty() {
        finish(controller, log, &[], Some("no call stands at s0".to_owned()));
    }
    log.say(&format!("{} calls stand at s0", tested.len()));
    let lost_at = log.now();
    if trouble {
        servers[0].cut_off();
        sleep_ms(5_000u64.saturating_sub(log.now() - lost_at));
        let born_ms = servers[0].back_cold();
        // The list is late by up to 2.4 s for what has been added.
        sleep_ms(1_500);
        bulletin.publish(false, &[host("s0", servers[0].at, 0, "ready", born_ms)]);
    }
    // Until 36 s after the loss: far longer than the 8 s, and longer than the calls would have lasted.
    while log.now() < lost_at + 36_000 {
        sleep_ms(50);
    }
    let mut broken = Vec::new();
    for sid in &tested {
        let released = caller.released(sid);
        if trouble {
            match released {
                Some(heard) if heard.at <= lost_at + 8_050 => {}
                Some(heard) => broken.push(format!("{sid}: released {} ms after its end, limit 8050", heard.at - lost_at)),
                None => broken.push(format!("{sid}: no release 36 s after its end at s0, limit 8.05 s")),
            }
        } else if released.is_none() {
            broken.push(format!("{sid}: no release although the call server released it"));
        }
    }
    let served = (0..150).filter(|n| caller.stood(&sid(2, *n)).is_some()).count();
    log.say(&format!("of the first 150 calls of the load {served} stood"));
    finish(controller, log, &broken, None)
}
