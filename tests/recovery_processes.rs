//! Tests of controllers that lose power, simulated by killed processes, and recover from their records. Assertions rely
//! on what the call servers and the callers receive.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use lockpoint_lab::bulletin::{list_entry, Bulletin};
use lockpoint_lab::callers::Caller;
use lockpoint_lab::event_log::{on_one_thread, EventKind, EventLog, RecordedEvent};
use lockpoint_lab::fleet::processes::{settings, Processes};
use lockpoint_lab::sip::{ServerBehaviour, SipServer};
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lockpoint");
/// Time within which a pending release must be sent, from the end of the call or from the controller's restart on.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

struct Setup {
    world: EventLog,
    servers: Vec<Rc<SipServer>>,
    fleet: Processes,
    calls: u64,
}

impl Setup {
    /// Starts two call servers, s0 and s1, and controllers that keep records and exchange observations.
    async fn start(controllers: u16, seed: u64) -> Setup {
        println!("seed {seed}");
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let mut servers = Vec::new();
        for name in ["s0", "s1"] {
            servers.push(SipServer::start(&world, name, ServerBehaviour::Answer("v=0\r\n".into())).await);
        }
        let entries =
            servers.iter().zip(0..).map(|(server, n)| list_entry(&server.name, server.at, n, "ready"));
        bulletin.publish(true, entries.collect());
        let fleet = Processes::prepare(Path::new(PROGRAM), controllers, bulletin.at, &settings(), seed).await;
        let mut fleet = fleet.expect("a fleet");
        (fleet.fleet_settings, fleet.store_settings) = (Some(json!({})), Some(json!({})));
        fleet.start_all().await.expect("they serve");
        Setup { world, servers, fleet, calls: 0 }
    }

    async fn caller(&self, me: u16) -> Caller {
        Caller::connect(&self.world, "caller", self.fleet.client_address(me).expect("the controller runs"))
            .await
    }

    /// Establishes a call to the call server of a cell, with further attempts while the controller is recovering.
    async fn establish_call(&mut self, caller: &Caller, cell: u16) -> String {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            self.calls += 1;
            let sid = Sid::from_number(0x3000 + self.calls).to_string();
            caller.open(&sid, 5_000, cell, "v=0\r\n").await;
            match self.world.final_answer(&sid).await.kind {
                EventKind::Ready(_) => return sid,
                _ => assert!(Instant::now() < end, "no call was established within 30 s"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a controller has persisted this number of changes.
    async fn wait_until_persisted(&self, me: u16, changes: u64) {
        let persisted =
            |f: &std::collections::BTreeMap<String, u64>| f.get("store.changes") >= Some(&changes);
        self.fleet.wait_for_metrics("the changes are persisted", me, persisted).await;
        let batches = self.fleet.metrics(me).await.get("store.batches").copied();
        assert!(batches > Some(0));
    }

    fn releases(&self, sid: &str) -> Vec<RecordedEvent> {
        let all = self.world.events().into_iter();
        let released = |s: &RecordedEvent| {
            s.sid == sid && s.source == "caller" && matches!(s.kind, EventKind::Close(..))
        };
        all.filter(released).collect()
    }
}

#[test]
fn after_a_power_loss_of_all_controllers_each_established_call_is_released_exactly_once() {
    on_one_thread(async {
        let mut setup = Setup::start(3, 1).await;
        let mut calls = Vec::new();
        for me in 0..3 {
            let caller = setup.caller(me).await;
            for cell in [0, 0, 1, 1] {
                calls.push((me, cell, setup.establish_call(&caller, cell).await));
            }
            // Two directory entries and four calls.
            setup.wait_until_persisted(me, 6).await;
        }
        for me in 0..3 {
            setup.fleet.kill(me).await;
        }
        // Meanwhile one call server dies, and the other releases one call of each controller.
        setup.servers[0].wait_until_disconnected().await;
        setup.servers[1].die();
        let ended: Vec<String> = (0..3).map(|me| calls[me * 4].2.clone()).collect();
        ended.iter().for_each(|sid| setup.servers[0].release(sid, 16));
        let mut callers = Vec::new();
        let mut restarts = Vec::new();
        for me in [2, 0, 1] {
            restarts.push((me, Instant::now()));
            setup.fleet.start_controller(me).await.expect("a restart");
            callers.push((me, setup.caller(me).await));
        }
        // Releases are sent to a client connection once it has sent a set-up.
        for (me, caller) in &callers {
            setup.establish_call(caller, 0).await;
            let _ = me;
        }
        for (me, cell, sid) in &calls {
            let is_over = *cell == 1 || ended.contains(sid);
            let name = format!("the release of {sid}, cell {cell} of c{me}");
            if is_over {
                let cause = if *cell == 1 { 41 } else { 16 };
                let is_release = |s: &RecordedEvent| {
                    s.sid == *sid && matches!(s.kind, EventKind::Close(c, _) if c == cause)
                };
                let release = setup.world.wait_for(&name, is_release).await;
                let restart = restarts.iter().find(|(other, _)| other == me).map(|(_, at)| *at);
                assert!(release.at.duration_since(restart.expect("a restart")) < RELEASE_TIMEOUT, "{name}");
            } else {
                assert!(
                    setup.releases(sid).is_empty(),
                    "call {sid} was released, but should still be established"
                );
                setup.servers[0].release(sid, 16);
                setup
                    .world
                    .wait_for(&name, |s| s.sid == *sid && matches!(s.kind, EventKind::Close(16, _)))
                    .await;
            }
        }
        // By now all releases have been sent, each exactly once.
        for (_, caller) in &callers {
            setup.establish_call(caller, 0).await;
        }
        for (_, _, sid) in &calls {
            assert_eq!(setup.releases(sid).len(), 1, "releases of call {sid}");
        }
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn a_hangup_for_a_recovered_call_reaches_only_the_call_server_that_holds_it() {
    on_one_thread(async {
        let mut setup = Setup::start(1, 2).await;
        let caller = setup.caller(0).await;
        let sid = setup.establish_call(&caller, 1).await;
        setup.wait_until_persisted(0, 3).await;
        setup.fleet.kill(0).await;
        setup.fleet.start_controller(0).await.expect("a restart");
        let caller = setup.caller(0).await;
        caller.close(&sid, 16).await;
        setup
            .world
            .wait_for("the call is ended at s1", |s| {
                s.sid == sid && s.source == "s1" && s.kind == EventKind::Bye(16)
            })
            .await;
        setup.establish_call(&caller, 0).await;
        let elsewhere = setup.world.count(|s| s.sid == sid && s.source == "s0");
        assert_eq!(elsewhere, 0, "s0 received messages about the call");
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn no_set_up_is_sent_until_the_previous_runs_outstanding_attempts_are_over() {
    on_one_thread(async {
        let mut setup = Setup::start(2, 3).await;
        let caller = setup.caller(0).await;
        setup.establish_call(&caller, 0).await;
        setup.wait_until_persisted(0, 3).await;
        // When the power is lost, one attempt is outstanding and unanswered.
        *setup.servers[1].behaviour.borrow_mut() = ServerBehaviour::Silent;
        let sid = Sid::from_number(0x9000).to_string();
        caller.open(&sid, 5_000, 1, "v=0\r\n").await;
        setup
            .world
            .wait_for("the set-up reaches a call server", |s| {
                s.sid == sid && matches!(s.kind, EventKind::SetUp(..))
            })
            .await;
        *setup.servers[1].behaviour.borrow_mut() = ServerBehaviour::Answer("v=0\r\n".into());
        setup.fleet.kill(0).await;
        setup.fleet.kill(1).await;
        let lost = Instant::now();
        setup.fleet.start_controller(0).await.expect("a restart");
        // The caller repeats the set-up, each time as a new call, until one is established.
        let caller = setup.caller(0).await;
        setup.establish_call(&caller, 1).await;
        let set_ups = setup
            .world
            .events()
            .into_iter()
            .filter(|s| matches!(s.kind, EventKind::SetUp(..)) && s.at > lost);
        let first = set_ups.map(|s| s.at).min().expect("at least one set-up");
        assert!(first.duration_since(lost) >= Duration::from_millis(500), "{:?}", first.duration_since(lost));
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn without_a_directory_a_recovered_controller_uses_the_recorded_entries() {
    on_one_thread(async {
        let mut setup = Setup::start(1, 4).await;
        setup.wait_until_persisted(0, 2).await;
        setup.fleet.kill(0).await;
        // The bulletin no longer answers: its address accepts connections, but sends nothing.
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        setup.fleet.bulletins.insert(0, silent.local_addr().expect("an address"));
        setup.fleet.start_controller(0).await.expect("a restart");
        let caller = setup.caller(0).await;
        setup.establish_call(&caller, 1).await;
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn the_store_commands_show_the_records_and_an_invalid_store_prevents_the_start() {
    on_one_thread(async {
        let mut setup = Setup::start(1, 5).await;
        let caller = setup.caller(0).await;
        let sid = setup.establish_call(&caller, 1).await;
        setup.wait_until_persisted(0, 3).await;
        let records = setup.fleet.record_file(0);
        let tool = |args: &[&str]| {
            let mut command = std::process::Command::new(PROGRAM);
            command.arg("store").args(args).arg(&records).output().expect("the command runs")
        };
        let in_use = tool(&["info"]);
        let error_text = String::from_utf8_lossy(&in_use.stderr).into_owned();
        assert!(
            in_use.status.code() == Some(2) && error_text.contains("another process has it open"),
            "{error_text}"
        );
        setup.fleet.kill(0).await;
        let dump = String::from_utf8(tool(&["dump", "--json"]).stdout).expect("text");
        let line = dump.lines().find(|line| line.contains(&sid)).expect("a line for the call");
        let line: Value = serde_json::from_str(line).expect("JSON");
        assert_eq!((&line["stands"]["host"], line["stands"]["leg"].as_bool()), (&json!("s1"), Some(false)));
        assert!(tool(&["verify"]).status.success());
        let info: Value = serde_json::from_slice(&tool(&["info", "--json"]).stdout).expect("JSON");
        assert_eq!(info["items"], 3, "two directory entries and a call");
        std::fs::write(&records, "no records ".repeat(900)).expect("written");
        let error_text =
            setup.fleet.start_controller(0).await.err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error_text.contains("it has ended (exit status: 2)"), "{error_text}");
    });
}
