//! The cases of the second review; `case NAME` runs one. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.

mod iax2;
mod kit;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use iax2::Phone;
use kit::*;

fn main() {
    open_record();
    limit_time(110);
    let name = std::env::args().nth(1).unwrap_or_default();
    note(&format!("case {name}, with its disruption: {}", trouble()));
    let code = std::panic::catch_unwind(|| run(&name)).unwrap_or_else(|_| unable("a stand-in failed"));
    std::process::exit(code);
}

fn run(name: &str) -> i32 {
    match name {
        "maximum-busy" => maximum_busy(),
        "maximum-quiet" => maximum_quiet(),
        "slow-bulletin" => slow_bulletin(),
        "many-releases" => many_releases(),
        "silent-release" => silent_release(),
        "long-answer" => long_answer(),
        "wrong-length" => wrong_length(),
        "silent-caller" => silent_caller(),
        "iax2-restart" => iax2_restart(),
        "iax2-stop" => iax2_stop(),
        "silent-clients" => silent_clients(),
        "unread" => unread(),
        _ => unable("no such case"),
    }
}

/// A small deployment: two call servers, the bulletin that lists them, and one of six controllers.
struct Deployment {
    servers: [Arc<CallServer>; 2],
    bulletin: Arc<Bulletin>,
    others: Vec<std::net::TcpStream>,
}

impl Deployment {
    fn new(manner: Manner) -> Deployment {
        let servers = [
            CallServer::start("s-1", "127.0.0.2", manner.clone()),
            CallServer::start("s-2", "127.0.0.3", manner),
        ];
        let bulletin = Bulletin::start("127.0.0.4");
        bulletin.add(true, &[servers[0].entry(0, "ready"), servers[1].entry(1, "ready")]);
        Deployment { servers, bulletin, others: Vec::new() }
    }

    /// The other five controllers hold this many connections to each call server.
    fn others_hold(&mut self, count: usize) {
        for server in &self.servers {
            self.others.extend(server.held_by_others(count));
        }
    }

    fn controller(&self) -> Option<Controller> {
        let controller = Controller::start(&self.bulletin, &settings(JUDGE_CALL, 6));
        controller.ready().then_some(controller)
    }

    fn stands(&self, sid: &str) -> bool {
        self.servers.iter().any(|server| server.stands(sid))
    }

    fn standing(&self) -> Vec<String> {
        self.servers.iter().flat_map(|server| server.standing()).collect()
    }

    /// The calls whose callers were told that they are over, though no call server had released them.
    fn released_too_early(&self, caller: &Caller, calls: &[String]) -> Vec<String> {
        let mut broken = Vec::new();
        for name in calls {
            let Some(told) = caller.release_of(name) else { continue };
            let released = self.servers.iter().find_map(|server| server.released_at(name));
            if released.is_none_or(|at| told.at < at) {
                broken.push(format!(
                    "call {name}: its caller was told at {} ms that it is over, cause {}; its call server released it {}",
                    told.at,
                    told.code,
                    released.map_or("never".to_owned(), |at| format!("at {at} ms"))
                ));
            }
        }
        broken
    }
}

const NOT_READY: &str = "the controller is not ready";
const NO_CONNECTION: &str = "the caller cannot connect";

/// Ten set-ups a second for 15 s; each call server accepts twelve connections, ten of which the other five controllers hold.
fn maximum_busy() -> i32 {
    let most_connections = if trouble() { 12 } else { 0 };
    let mut all = Deployment::new(Manner {
        most_connections,
        answer_after_ms: 300,
        tells_every_ms: 300,
        ..Manner::default()
    });
    all.others_hold(10);
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    // Calls come independently of each other: exponential gaps, by a fixed seed.
    let mut seed = 20_261_205_u64;
    let mut gap = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (-100.0 * (((seed >> 33) as f64 + 1.0) / 2_147_483_649.0).ln()) as u64
    };
    let (start, lasts) = (now_ms(), 8_000);
    let mut due = start;
    let mut sent: Vec<(String, u64)> = Vec::new();
    while now_ms() - start < 24_000 {
        let next = sent.len() as u64;
        if now_ms() - start < 15_000 && now_ms() >= due {
            let name = sid(next);
            caller.open(&name, "judge-call", 3_000, (next % 2) as usize);
            sent.push((name, now_ms()));
            due += gap();
        }
        for (name, at) in &sent {
            if now_ms() - at > lasts {
                all.servers.iter().for_each(|server| server.release(name, 16));
            }
        }
        sleep_ms(2);
    }
    let calls: Vec<String> =
        sent.into_iter().map(|(name, _)| name).filter(|name| caller.is_ready(name)).collect();
    if calls.len() < 30 {
        return unable("fewer than 30 calls stood");
    }
    let broken = all.released_too_early(&caller, &calls);
    verdict(
        &broken,
        &format!("{} calls stood, none was released before its call server released it", calls.len()),
    )
}

/// A quiet time: two calls stand for 10 s. Each call server accepts six connections, five of which the others hold.
fn maximum_quiet() -> i32 {
    let most_connections = if trouble() { 6 } else { 0 };
    let mut all = Deployment::new(Manner {
        most_connections,
        answer_after_ms: 60,
        tells_every_ms: 300,
        ..Manner::default()
    });
    all.others_hold(5);
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    sleep_ms(500);
    let calls = [sid(0), sid(1)];
    for (n, name) in calls.iter().enumerate() {
        caller.open(name, "judge-call", 3_000, n);
    }
    if !wait_until(3_000, || calls.iter().all(|name| caller.is_ready(name))) {
        return unable("the two calls do not stand");
    }
    sleep_ms(10_000);
    for name in &calls {
        all.servers.iter().for_each(|server| server.release(name, 16));
    }
    sleep_ms(1_100);
    let broken = all.released_too_early(&caller, &calls);
    verdict(&broken, "both calls stood until their call servers released them")
}

/// The bulletin needs 0.9 s to write an answer; 5 s later a call server drains.
fn slow_bulletin() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    if trouble() {
        all.bulletin.writes_for_ms.store(900, Ordering::Relaxed);
    }
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    let (start, mut drained) = (now_ms(), None);
    let mut sent = 0;
    while now_ms() - start < 20_000 {
        if now_ms() >= start + sent * 200 {
            caller.open(&sid(sent), "judge-call", 3_000, (sent % 2) as usize);
            sent += 1;
        }
        if drained.is_none() && now_ms() - start > 5_000 {
            all.bulletin.add(false, &[all.servers[0].entry(0, "draining")]);
            drained = Some(now_ms());
        }
        sleep_ms(2);
    }
    let Some(drained) = drained else { return unable("no drain") };
    // Told 7 s later at the latest; 250 ms for what is under way, and 50 ms by which every limit grows.
    let limit = drained + 7_000 + 250 + 50;
    let heard = all.servers[0].heard();
    let late = heard.iter().filter(|heard| heard.what == "INVITE" && heard.at > limit);
    let broken: Vec<String> = late
        .map(|heard| {
            format!(
                "set-up {} reached s-1 {} ms after the bulletin held its drain",
                heard.sid,
                heard.at - drained
            )
        })
        .collect();
    verdict(&broken, "no set-up reached the draining call server later than 7.3 s after the event")
}

/// 340 calls stand; the controller is killed and starts again; the callers end their calls.
fn many_releases() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 20, tells_every_ms: 300, ..Manner::default() });
    let Some(mut controller) = all.controller() else { return unable(NOT_READY) };
    let Some(mut caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    for n in 0..340 {
        caller.open(&sid(n), "judge-call", 3_000, (n % 2) as usize);
        sleep_ms(20);
    }
    sleep_ms(500);
    let calls = all.standing();
    note(&format!("{} calls stand", calls.len()));
    if calls.len() < 300 {
        return unable("fewer than 300 calls stand");
    }
    if trouble() {
        controller.kill_and_restart();
        if !controller.ready() {
            return unable(NOT_READY);
        }
        sleep_ms(1_000);
        caller = match Caller::connect(controller.listen, true) {
            Some(caller) => caller,
            None => return unable(NO_CONNECTION),
        };
    }
    // Traffic goes on: the connection on which calls are ended carries new ones too.
    let next = sid(1_000);
    caller.open(&next, "judge-call", 3_000, 0);
    if !wait_until(3_500, || caller.is_ready(&next)) {
        return unable("no further call stands");
    }
    let mut ended_at = BTreeMap::new();
    for name in &calls {
        caller.close(name, 16);
        ended_at.insert(name.clone(), now_ms());
        sleep_ms(20);
    }
    let confirmed =
        calls.iter().filter(|name| caller.told(name).iter().any(|told| told.msg == "closed")).count();
    note(&format!("{} calls ended by their callers, {confirmed} of them confirmed", calls.len()));
    if caller.has_ended() {
        return unable("the caller's connection was closed");
    }
    sleep_ms(8_500);
    let broken: Vec<String> = calls
        .iter()
        .filter(|name| all.stands(name))
        .map(|name| left_standing(name, &caller, &ended_at))
        .collect();
    verdict(&broken, &format!("{} calls were ended, all at their call servers", calls.len()))
}

fn left_standing(name: &str, caller: &Caller, ended_at: &BTreeMap<String, u64>) -> String {
    let heard = caller.told(name).iter().any(|told| told.msg == "closed");
    format!(
        "call {name}: its caller ended it at {} ms{}; at {} ms it still stands at its call server",
        ended_at.get(name).copied().unwrap_or(0),
        if heard { " and was told 'closed'" } else { "" },
        now_ms()
    )
}

/// One connection of a call server falls silent and stays open; callers end calls then.
fn silent_release() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    for n in 0..60 {
        caller.open(&sid(n), "judge-call", 3_000, (n % 2) as usize);
        sleep_ms(20);
    }
    sleep_ms(1_000);
    let links = all.servers[0].links();
    if links.len() < 2 {
        return unable("s-1 has only one connection");
    }
    if trouble() {
        links.last().into_iter().for_each(|last| all.servers[0].silence(*last));
    }
    let mut ended_at = BTreeMap::new();
    for n in 0..30 {
        let name = sid(n);
        if caller.is_ready(&name) {
            caller.close(&name, 16);
            ended_at.insert(name, now_ms());
        }
        sleep_ms(20);
    }
    sleep_ms(9_000);
    let left = ended_at.keys().filter(|name| all.stands(name));
    let broken: Vec<String> = left.map(|name| left_standing(name, &caller, &ended_at)).collect();
    verdict(&broken, &format!("{} calls were ended, all at their call servers", ended_at.len()))
}

/// A call server's answers are 16,000 bytes long, in lines of 20 bytes.
fn long_answer() -> i32 {
    let lines = if trouble() { 790 } else { 100 };
    let description = format!("{{sid}}\r\n{}", "a=rtpmap:101 G729A\r\n".repeat(lines));
    let all = Deployment::new(Manner {
        answer_after_ms: 60,
        tells_every_ms: 300,
        description,
        ..Manner::default()
    });
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    let mut broken = Vec::new();
    for n in 0..4 {
        caller.open(&sid(n), "judge-call", 3_000, 0);
        wait_until(3_500, || !caller.told(&sid(n)).is_empty());
        for told in caller.told(&sid(n)) {
            if told.line.len() > 16 * 1024 {
                broken.push(format!("call {}: its answer is {} bytes long", sid(n), told.line.len()));
            }
        }
    }
    verdict(&broken, "all messages were within 16 KiB")
}

/// Call servers write their answers in two pieces; of every eighth one the length is too small by the second piece.
fn wrong_length() -> i32 {
    let all = Deployment::new(Manner {
        answer_after_ms: 60,
        tells_every_ms: 300,
        description: "{sid}\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".to_owned(),
        second_piece: 20,
        wrong_length: trouble(),
        ..Manner::default()
    });
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    for n in 0..64 {
        caller.open(&sid(n), "judge-call", 3_000, (n % 2) as usize);
        sleep_ms(150);
    }
    sleep_ms(3_500);
    let mut broken = Vec::new();
    let mut served = 0;
    for n in 0..64 {
        let name = sid(n);
        let Some(ready) = caller.told(&name).into_iter().find(|told| told.msg == "ready") else { continue };
        served += 1;
        let made =
            format!("\"text\":\"{name}\\r\\nc=IN IP4 127.4.7.9\\r\\nm=audio 31000 RTP/AVP 0 8 101\\r\\n\"");
        if !ready.line.contains(&made) {
            broken.push(format!("call {name} was served with what no call server made: {}", ready.line));
        }
    }
    if served < 40 {
        return unable("fewer than 40 calls were served");
    }
    verdict(&broken, &format!("{served} calls were served, each with the description of a call server"))
}

/// One of a front's three connections falls silent while calls that were set up on it stand.
fn silent_caller() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let Some(controller) = all.controller() else { return unable(NOT_READY) };
    let connections: Vec<Caller> = (0..3).filter_map(|_| Caller::connect(controller.listen, true)).collect();
    if connections.len() < 3 {
        return unable(NO_CONNECTION);
    }
    let mut sent: Vec<(String, u64)> = Vec::new();
    let start = now_ms();
    let mut silent_at = None;
    let mut seed = 77_u64;
    let mut lasts = BTreeMap::new();
    while now_ms() - start < 30_000 {
        let next = sent.len() as u64;
        let on = (next % 3) as usize;
        if now_ms() - start < 20_000 && now_ms() >= start + next * 100 {
            let on = if on == 0 && silent_at.is_some() { 1 } else { on };
            let name = sid(next);
            connections[on].open(&name, "judge-call", 3_000, (next % 2) as usize);
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            lasts.insert(name.clone(), 2_000 + (seed >> 33) % 12_000);
            sent.push((name, now_ms()));
        }
        if silent_at.is_none() && now_ms() - start > 4_000 && trouble() {
            connections[0].silence();
            silent_at = Some(now_ms());
        }
        for (name, at) in &sent {
            if now_ms() - at > lasts[name] {
                all.servers.iter().for_each(|server| server.release(name, 16));
            }
        }
        sleep_ms(2);
    }
    let mut broken = Vec::new();
    for (name, at) in &sent {
        if !connections.iter().any(|c| c.is_ready(name)) {
            continue;
        }
        let Some(over) = all.servers.iter().find_map(|server| server.released_at(name)) else { continue };
        if over + 8_050 > now_ms() {
            continue;
        }
        let _ = at;
        let told: Vec<u64> = connections
            .iter()
            .flat_map(|c| c.told(name))
            .filter(|t| t.msg == "close")
            .map(|t| t.at)
            .collect();
        match told.iter().min() {
            Some(told) if *told <= over + 8_050 => {}
            Some(told) => broken.push(format!("call {name}: over at {over}, its caller was told at {told}")),
            None => broken.push(format!("call {name}: over at {over}, its caller was never told")),
        }
    }
    verdict(&broken, "each caller was told in time")
}

/// A call box that speaks IAX2 restarts while its call stands, and calls again from the same port and call number.
fn iax2_restart() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let agent = Agent::start(&all.bulletin);
    let start: std::net::SocketAddr = "127.0.0.5:0".parse().expect("an address");
    sleep_ms(1_500);
    let Some(phone) = Phone::start(start, agent.iax2) else { return unable(NO_CONNECTION) };
    let first = phone.call(1, "aaaa000000000001", 3_000, 1_000);
    if !first.iter().any(|frame| frame == "ANSWER") {
        return unable("the first call is not answered");
    }
    let (phone, number) = if trouble() {
        let Some(address) = phone.address() else { return unable("no address") };
        drop(phone);
        sleep_ms(1_000);
        match Phone::start(address, agent.iax2) {
            Some(phone) => (phone, 1),
            None => return unable("the address is in use"),
        }
    } else {
        (phone, 2)
    };
    let second = phone.call(number, "bbbb000000000002", 3_000, 3_500);
    let answered =
        second.iter().any(|frame| ["ACCEPT", "ANSWER", "REJECT", "HANGUP"].contains(&frame.as_str()));
    let acked = second.iter().any(|frame| frame == "ACK");
    let broken = if answered {
        Vec::new()
    } else {
        vec![format!("the second call got no final answer within its 3 s, its NEW was acknowledged: {acked}")]
    };
    verdict(&broken, "the second call was answered")
}

/// The controller is killed and starts again while clients connect and say nothing; calls from before end.
fn silent_clients() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let Some(mut controller) = all.controller() else { return unable(NOT_READY) };
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    for n in 0..20 {
        caller.open(&sid(n), "judge-call", 3_000, (n % 2) as usize);
        sleep_ms(50);
    }
    sleep_ms(500);
    let calls: Vec<String> = (0..20).map(sid).filter(|name| caller.is_ready(name)).collect();
    controller.kill_and_restart();
    let listen = controller.listen;
    if trouble() {
        note("100 clients connect and say nothing, and again when they are closed");
        for n in 0..100 {
            std::thread::spawn(move || loop {
                sleep_ms(n * 10);
                if let Ok(mut stream) = std::net::TcpStream::connect(listen) {
                    let _ = std::io::copy(&mut stream, &mut std::io::sink());
                }
                sleep_ms(100);
            });
        }
    }
    if !controller.ready() {
        return unable(NOT_READY);
    }
    let Some(again) = Caller::connect(listen, true) else { return unable(NO_CONNECTION) };
    let start = now_ms();
    let mut sent = 0;
    while now_ms() - start < 14_000 {
        if now_ms() >= start + 300 + sent * 200 {
            again.open(&sid(1_000 + sent), "judge-call", 3_000, (sent % 2) as usize);
            sent += 1;
        }
        for (n, name) in calls.iter().enumerate() {
            if now_ms() - start > 100 + n as u64 * 100 {
                all.servers.iter().for_each(|server| server.release(name, 16));
            }
        }
        sleep_ms(2);
    }
    let mut broken = Vec::new();
    for name in &calls {
        let Some(over) = all.servers.iter().find_map(|server| server.released_at(name)) else { continue };
        let told = again.told(name).into_iter().find(|told| told.msg == "close").map(|told| told.at);
        match told {
            Some(at) if at <= over + 1_050 => {}
            Some(at) => broken
                .push(format!("call {name}: released at {over}, its caller was told {} ms later", at - over)),
            None => broken.push(format!("call {name}: released at {over}, its caller was never told")),
        }
    }
    verdict(&broken, &format!("{} calls were released to their callers in time", calls.len()))
}

/// Clients ask and do not read what they get; another caller's set-ups go on. The pages' bad clients do read.
fn unread() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let controller = Controller::start_with(&all.bulletin, &settings(JUDGE_CALL, 6), 32);
    if !controller.ready() {
        return unable(NOT_READY);
    }
    let Some(caller) = Caller::connect(controller.listen, true) else { return unable(NO_CONNECTION) };
    let listen = controller.listen;
    if trouble() {
        for _ in 0..100 {
            std::thread::spawn(move || {
                let Ok(mut stream) = std::net::TcpStream::connect(listen) else { return };
                let line =
                    "{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n".repeat(50);
                for _ in 0..4_000 {
                    if std::io::Write::write_all(&mut stream, line.as_bytes()).is_err() {
                        return;
                    }
                }
                sleep_ms(30_000);
            });
        }
    }
    let mut sent = Vec::new();
    for n in 0..150 {
        if caller.has_ended() {
            break;
        }
        caller.open(&sid(n), "judge-call", 3_000, (n % 2) as usize);
        sent.push(sid(n));
        sleep_ms(100);
    }
    sleep_ms(3_500);
    let unanswered: Vec<String> = sent.into_iter().filter(|name| caller.told(name).is_empty()).collect();
    verdict(&unanswered, "all set-ups were answered")
}

/// An agent is stopped and started again while a call of an IAX2 caller stands; the call ends 4 s after its answer.
fn iax2_stop() -> i32 {
    let all = Deployment::new(Manner { answer_after_ms: 60, tells_every_ms: 300, ..Manner::default() });
    let mut agent = Agent::start(&all.bulletin);
    let start: std::net::SocketAddr = "127.0.0.5:0".parse().expect("an address");
    sleep_ms(1_500);
    let Some(phone) = Phone::start(start, agent.iax2) else { return unable(NO_CONNECTION) };
    let name = "aaaa000000000001";
    let calling = std::thread::spawn(move || phone.call(1, name, 3_000, 25_000));
    if !wait_until(3_000, || all.stands(name)) {
        return unable("the call does not stand");
    }
    sleep_ms(1_000);
    if trouble() && !agent.stop_and_start() {
        return unable("the agent does not end after SIGTERM");
    }
    sleep_ms(3_000);
    all.servers.iter().for_each(|server| server.release(name, 16));
    let Some(over) = all.servers.iter().find_map(|server| server.released_at(name)) else {
        return unable("the call server did not release the call");
    };
    let Ok(came) = calling.join() else { return unable("the caller failed") };
    if now_ms() < over + 8_050 {
        return unable("the caller did not wait for 8 s");
    }
    // The end of a call is told by HANGUP; an INVAL would do, too.
    let told = came.iter().any(|frame| ["HANGUP", "REJECT", "INVAL"].contains(&frame.as_str()));
    let broken = if told {
        Vec::new()
    } else {
        vec![format!(
            "call {name} is over since {over} ms, and its caller was not told by {} ms; frames that came: {}",
            now_ms(),
            came.join(" ")
        )]
    };
    verdict(&broken, "the caller was told that its call is over")
}
