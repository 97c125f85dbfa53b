//! Bad clients connect by the hundred and send half a set-up each. The usual client beside them writes some of its
//! messages in two pieces. Each set-up of the usual client that was written whole is owed its final answer.
use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 300;

/// Each bad client sends half a set-up and waits; once it is turned away it does the same again.
fn bad_clients(to: SocketAddr, stop: Arc<AtomicBool>, turned_away: Arc<AtomicU64>) {
    let line = Caller::open_line(&sid(9, 0), 0, 3_000);
    let half = line[..line.len() / 2].as_bytes().to_vec();
    let begin = || {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
        stream.write_all(&half).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    // Each with the time of its next try.
    let mut clients: Vec<(Option<TcpStream>, Instant)> = (0..BAD_CLIENTS).map(|_| (None, Instant::now())).collect();
    while !stop.load(Ordering::Relaxed) {
        for (client, next) in &mut clients {
            let mut chunk = [0; 512];
            let gone = match client.as_mut().map(|stream| stream.read(&mut chunk)) {
                None => false,
                Some(Ok(n)) => n == 0,
                Some(Err(e)) => e.kind() != std::io::ErrorKind::WouldBlock,
            };
            if gone {
                turned_away.fetch_add(1, Ordering::Relaxed);
                (*client, *next) = (None, Instant::now() + Duration::from_millis(100));
            }
            if client.is_none() && Instant::now() >= *next {
                *client = begin();
            }
        }
        sleep_ms(2);
    }
}

pub fn run(log: &Log) {
    let trouble = trouble();
    let bulletin = Bulletin::start(log);
    let servers: Vec<Server> = (0..3)
        .map(|n| Server::start(log, &format!("s{n}"), Behaviour { answer_ms: 400, hold_ms: Box::new(|_| 3_000), spoil: None }))
        .collect();
    let hosts: Vec<String> = servers.iter().enumerate().map(|(n, s)| host(&s.name, s.at, n, "ready", 0)).collect();
    bulletin.publish(true, &hosts);
    let controller = Controller::start_with(log, &bulletin, 3, 32);
    let (stop, turned_away) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let Some(mut caller) = Caller::connect(log, "caller", controller.at) else {
        finish(controller, log, &[], Some("no connection".to_owned()))
    };
    let (mut sent, mut broken, mut connections) = (Vec::new(), Vec::new(), 1);
    // Before the bad clients come, the same load for 2 s.
    let began = log.now();
    let mut bad = None;
    let mut n = 0;
    while log.now() < began + 14_000 {
        if trouble && bad.is_none() && log.now() >= began + 2_000 {
            let (to, stop, turned_away) = (controller.at, stop.clone(), turned_away.clone());
            log.line(&format!("{BAD_CLIENTS} bad clients come"));
            bad = Some(std::thread::spawn(move || bad_clients(to, stop, turned_away)));
        }
        if caller.ended_at().is_some() {
            connections += 1;
            match Caller::connect(log, &format!("caller, connection {connections}"), controller.at) {
                Some(next) => caller = next,
                None => continue,
            }
        }
        let name = sid(1, n);
        let line = Caller::open_line(&name, n as usize % 3, 3_000);
        // Every fifth message goes out in two pieces.
        if n % 5 == 4 {
            log.line(&format!("caller writes the set-up {name} in two pieces"));
            caller.write_in_two(&line, line.len() / 2, 30);
        } else {
            caller.write(&line);
        }
        if caller.ended_at().is_none() {
            log.line(&format!("caller has written the set-up {name} whole on connection {connections}"));
            sent.push((name, log.now(), caller.clone()));
        }
        n += 1;
        sleep_ms(100);
    }
    sleep_ms(4_000);
    stop.store(true, Ordering::Relaxed);
    let sent_on = sent_on(&servers);
    for (name, at, caller) in &sent {
        // One that was not sent on, on a connection that is closed, has failed and is not lost.
        if !caller.heard(name).is_empty() || !sent_on.contains(name) {
            continue;
        }
        // A set-up that crosses the close of its connection within 50 ms would go again; it isn't judged.
        match caller.ended_at() {
            Some(ended) if ended <= at + 50 => {}
            Some(ended) => broken.push(format!("{name}: whole for {} ms when its connection was closed; no answer", ended - at)),
            None => broken.push(format!("{name}: no answer, its connection is open")),
        }
    }
    let answered = sent.iter().filter(|(name, _, caller)| !caller.heard(name).is_empty()).count();
    log.say(&format!(
        "{} set-ups written whole, {answered} answered, {connections} connections; bad clients turned away {} times",
        sent.len(),
        turned_away.load(Ordering::Relaxed)
    ));
    finish(controller, log, &broken, None)
}
