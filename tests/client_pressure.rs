//! Clients that press a controller by their number, their speed or their leaving: it stays within its memory, answers the
//! others in time, and begins nothing for those that have left. The controller runs as a program.

#[path = "support/platform.rs"]
mod platform;
#[path = "support/scene.rs"]
mod scene;
mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lockpoint_lab::under_test::resource_usage;
use rstest::rstest;
use scene::Scene;
use support::{list_entry, name, on_one_thread, EventKind, ServerBehaviour, SipServer};
use tokio::io::AsyncWriteExt;

/// The memory limit of the controller, in MB.
const MEMORY_LIMIT_MB: u64 = 48;
/// The number of clients where there are many.
const CLIENTS: u64 = 400;
/// The pause between the arrivals of two of them, and before each begins anew.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(2);
const REPEAT_PAUSE: Duration = Duration::from_millis(1_000);
/// How long bad clients press.
const PRESSURE_TIME: Duration = Duration::from_secs(3);
/// The pause between two set-ups of the sound client, and its deadline.
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const SOUND_DEADLINE_MS: u64 = 2_000;
/// The number of set-ups that a client has begun to write when it leaves, and for how long it has written.
const SET_UPS: u64 = 40_000;
const WRITING_TIME: Duration = Duration::from_millis(200);
/// No attempt begins later than this after its client has left; the second part is for the scheduler.
const ATTEMPTS_AFTER_LEAVING: Duration = Duration::from_millis(100 + 50);
/// No further attempt begins earlier than this after one that was cancelled, less the same tolerance.
const PAUSE_AFTER_CANCEL: Duration = Duration::from_millis(500 - 50);

/// A set-up with this id.
fn open(sid: &str, text: &str) -> String {
    format!(
        r#"{{"msg":"open","sid":"{sid}","attrs":{{"class":"judge-call","left":"2000","key":"7f3a","extras":"dest:0;width:1;via:-1"}},"text":"{text}"}}"#
    ) + "\n"
}

/// A scene with one call server that answers each set-up.
async fn answering_scene(test: &str) -> (Scene, Rc<SipServer>) {
    let events = support::EventLog::without_history();
    let server = SipServer::start(&events, "s0", ServerBehaviour::Answer("y\r\n".to_owned())).await;
    let entry = list_entry("s0", server.at, 0, "ready");
    (Scene::limited(test, vec![entry], MEMORY_LIMIT_MB).await, server)
}

/// Whether a controller may shed sound calls: others give its processor much to do, and it may refuse in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shedding {
    Allowed,
    None,
}

/// Sets up calls for a time and checks that each has its answer in time, and the memory of the controller meanwhile.
async fn expect_sound_service(scene: &Scene, shedding: Shedding) {
    let end = Instant::now() + PRESSURE_TIME;
    let mut asked = Vec::new();
    while Instant::now() < end {
        let sid = name(1_000_000 + asked.len() as u64);
        asked.push((sid.clone(), Instant::now()));
        scene.caller.open(&sid, SOUND_DEADLINE_MS, 0, "x").await;
        let memory = resource_usage(scene.controller.child.id()).memory;
        assert!(memory > 0 && memory <= MEMORY_LIMIT_MB << 20, "{memory} bytes of memory");
        tokio::time::sleep(SOUND_PAUSE).await;
    }
    let mut slowest = Duration::ZERO;
    for (sid, asked_at) in &asked {
        let answer = tokio::time::timeout(Duration::from_secs(10), scene.events.final_answer(sid)).await;
        let answer = answer.unwrap_or_else(|_| panic!("no answer to {sid}"));
        let shed = shedding == Shedding::Allowed && matches!(answer.kind, EventKind::Close(42, Some(_)));
        assert!(shed || matches!(answer.kind, EventKind::Ready(_)), "{sid}: {:?}", answer.kind);
        slowest = slowest.max(answer.at.saturating_duration_since(*asked_at));
    }
    println!("{} answered, the slowest after {slowest:?}", asked.len());
    assert!(asked.len() > 10 && slowest < Duration::from_millis(SOUND_DEADLINE_MS), "after {slowest:?}");
}

/// What one of many clients does.
#[derive(Debug, Clone, Copy)]
enum Habit {
    /// It writes a large request byte by byte.
    WritesSlowly,
    /// It stops half way through a large request.
    StopsHalfWay,
    /// It sends a line without an end, as much as is taken.
    WritesNoEnd,
    /// It sends requests of very many short fields, for a class that is not listed: no call server has work of them.
    SendsManyFields,
}

/// Begins the clients, in a thread of their own so that they delay no stand-in. It returns how many connections they had.
fn begin_many(at: SocketAddr, habit: Habit, stopped: Arc<AtomicBool>) -> JoinHandle<u64> {
    std::thread::spawn(move || {
        on_one_thread(async {
            let connected = Rc::new(Cell::new(0));
            for number in 0..CLIENTS {
                tokio::task::spawn_local(be_one_of_many(at, number, habit, connected.clone()));
            }
            while !stopped.load(Ordering::Relaxed) {
                tokio::time::sleep(SOUND_PAUSE).await;
            }
            connected.get()
        })
    })
}

async fn be_one_of_many(at: SocketAddr, number: u64, habit: Habit, connected: Rc<Cell<u64>>) {
    let large = open(&name(number), &"z".repeat(12_000));
    let fields: String = (0..1_500).map(|n| format!("\"{n}\":\"\",")).collect();
    let unlisted = open(&name(number), "x").replace("judge-call", "unlisted");
    let many_fields = unlisted.replace("\"attrs\":{", &format!("\"attrs\":{{{fields}"));
    let endless = vec![b'x'; 200_000];
    // They do not come all at once, so that a slow machine serves them as a fast one does.
    tokio::time::sleep(ARRIVAL_PAUSE * number as u32).await;
    loop {
        let Ok(mut stream) = tokio::net::TcpStream::connect(at).await else { return };
        connected.set(connected.get() + 1);
        let _ = match habit {
            Habit::WritesSlowly => write_slowly(&mut stream, large.as_bytes()).await,
            Habit::StopsHalfWay => stream.write_all(&large.as_bytes()[..large.len() / 2]).await,
            Habit::WritesNoEnd => stream.write_all(&endless).await,
            Habit::SendsManyFields => stream.write_all(many_fields.as_bytes()).await,
        };
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

async fn write_slowly(stream: &mut tokio::net::TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for byte in bytes {
        stream.write_all(&[*byte]).await?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Guards against a process that hundreds of slow, halting or wordy clients drive over its memory limit, or that answers
/// the others late.
#[rstest]
#[case::that_write_slowly(Habit::WritesSlowly)]
#[case::that_stop_half_way(Habit::StopsHalfWay)]
#[case::that_write_no_end(Habit::WritesNoEnd)]
#[case::that_send_many_fields(Habit::SendsManyFields)]
fn hundreds_of_clients_stay_within_the_memory_limit_and_delay_no_other(#[case] habit: Habit) {
    on_one_thread(async {
        let (scene, _server) = answering_scene(&format!("many-{habit:?}")).await;
        let stopped = Arc::new(AtomicBool::new(false));
        let clients = begin_many(scene.controller.at, habit, stopped.clone());
        let wordy = matches!(habit, Habit::SendsManyFields);
        expect_sound_service(&scene, if wordy { Shedding::Allowed } else { Shedding::None }).await;
        stopped.store(true, Ordering::Relaxed);
        let connected = clients.join().expect("the clients end");
        assert!(connected > CLIENTS, "{connected} connections");
    });
}

/// What one client sends at full speed, without end.
#[derive(Debug, Clone, Copy)]
enum Flood {
    SetUpsOfEverNewNames,
    EndsOfEverNewNames,
    UnsoundSetUps,
    Noise,
}

impl Flood {
    fn message(self, number: u64) -> String {
        let sid = name(number);
        match self {
            Flood::SetUpsOfEverNewNames => open(&sid, "x"),
            Flood::EndsOfEverNewNames => {
                format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":16}}\n")
            }
            Flood::UnsoundSetUps => open(&sid, "x").replace("judge-call", &sid),
            Flood::Noise => "x\n".to_owned(),
        }
    }

    /// Sends until it is told to stop, reads what comes, and connects again where its connection is closed.
    fn begin(self, at: SocketAddr, stopped: Arc<AtomicBool>) -> JoinHandle<u64> {
        std::thread::spawn(move || {
            let mut sent = 0;
            while !stopped.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(at) else { continue };
                let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
                let mut reader = stream.try_clone().expect("a copy of the socket");
                let reading = std::thread::spawn(move || {
                    let mut bytes = [0; 65_536];
                    while matches!(reader.read(&mut bytes), Ok(count) if count > 0) {}
                });
                while !stopped.load(Ordering::Relaxed) {
                    let batch: String = (0..50).map(|n| self.message(sent + n)).collect();
                    if stream.write_all(batch.as_bytes()).is_err() {
                        break;
                    }
                    sent += 50;
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
                let _ = reading.join();
            }
            sent
        })
    }
}

/// Guards against one client at full speed that lets the others wait, or memory grow.
#[rstest]
#[case::with_set_ups_of_ever_new_names(Flood::SetUpsOfEverNewNames)]
#[case::with_ends_of_ever_new_names(Flood::EndsOfEverNewNames)]
#[case::with_unsound_set_ups(Flood::UnsoundSetUps)]
#[case::with_noise(Flood::Noise)]
fn one_client_at_full_speed_delays_no_other(#[case] flood: Flood) {
    on_one_thread(async {
        let (scene, _server) = answering_scene(&format!("flood-{flood:?}")).await;
        let stopped = Arc::new(AtomicBool::new(false));
        let flooding = flood.begin(scene.controller.at, stopped.clone());
        expect_sound_service(&scene, Shedding::None).await;
        stopped.store(true, Ordering::Relaxed);
        println!("{flood:?}: {} sent", flooding.join().expect("the flood ends"));
    });
}

/// What the call server does with set-ups.
#[derive(Debug, Clone, Copy)]
enum Server {
    Answers,
    Hangs,
}

/// Guards against set-ups that are sent on after their client has closed its connection with much still unread, and against
/// ids that run twice, or again too early, where they come again on another connection.
#[rstest]
fn nothing_begins_for_a_client_that_has_left_and_no_id_runs_twice(
    #[values(Server::Answers, Server::Hangs)] behaviour: Server,
    #[values(false, true)] comes_again: bool,
    #[values(false, true)] reset: bool,
) {
    on_one_thread(async {
        let events = support::EventLog::default();
        let answer = match behaviour {
            Server::Answers => ServerBehaviour::Answer("y\r\n".to_owned()),
            Server::Hangs => ServerBehaviour::Silent,
        };
        let server = SipServer::start(&events, "s0", answer).await;
        let test = format!("left-{behaviour:?}-{comes_again}-{reset}");
        let scene = Scene::new(&test, list_entry("s0", server.at, 0, "ready")).await;
        let set_ups: String = (0..SET_UPS).map(|number| open(&name(number), "x")).collect();
        let mut client = tokio::net::TcpStream::connect(scene.controller.at).await.expect("it listens");
        let written = tokio::time::timeout(WRITING_TIME, client.write_all(set_ups.as_bytes()));
        let _ = written.await;
        if reset {
            client.set_zero_linger().expect("set");
        }
        drop(client);
        let left_at = Instant::now();
        if comes_again {
            let mut client = tokio::net::TcpStream::connect(scene.controller.at).await.expect("it listens");
            let again =
                tokio::time::timeout(Duration::from_millis(500), client.write_all(set_ups.as_bytes()));
            let _ = again.await;
            check_attempts_after(&events, client).await;
        } else {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let late = events.count(|seen| {
                matches!(seen.kind, EventKind::SetUp(..)) && seen.at > left_at + ATTEMPTS_AFTER_LEAVING
            });
            assert_eq!(late, 0, "set-ups began after their client had left");
        }
    });
}

/// Checks that ids that were answered do not run again, and others not too early after their cancellation.
async fn check_attempts_after(events: &support::EventLog, client: tokio::net::TcpStream) {
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(client);
    let mut ended: BTreeMap<String, (Instant, bool)> = BTreeMap::new();
    for seen in events.events() {
        match seen.kind {
            EventKind::Answered(_) => drop(ended.insert(seen.sid, (seen.at, true))),
            EventKind::Cancel => drop(ended.insert(seen.sid, (seen.at, false))),
            EventKind::SetUp(..) => {
                let Some((at, answered)) = ended.get(&seen.sid) else { continue };
                assert!(!answered, "{} ran twice", seen.sid);
                let pause = seen.at.saturating_duration_since(*at);
                assert!(pause >= PAUSE_AFTER_CANCEL, "{} began again after {pause:?}", seen.sid);
            }
            _ => {}
        }
    }
}
