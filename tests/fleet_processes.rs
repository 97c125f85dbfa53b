//! Tests of several controller processes that share call servers, with simulated faults on the links between them.
//! Assertions rely on what the call servers receive; the controllers' metrics are used mainly to wait for a state.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

use lockpoint::core::Sid;
use lockpoint::interface::Span;
use lockpoint_lab::bulletin::{list_entry, list_entry_started_at, Bulletin};
use lockpoint_lab::callers::Caller;
use lockpoint_lab::event_log::{on_one_thread, EventKind, EventLog};
use lockpoint_lab::fleet::processes::{settings, Processes, ReportedObservation};
use lockpoint_lab::processor::ProcessorConfig;
use lockpoint_lab::server_model::ServerModel;
use lockpoint_lab::sip::{ServerBehaviour, SipServer};
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lockpoint");
/// The wait reported by a full call server; longer than any call can wait.
const FULL_WAIT_MS: u64 = 3_000;

/// Two call servers, s0 and s1, and the controllers that share them.
struct Setup {
    world: EventLog,
    servers: Vec<Rc<SipServer>>,
    fleet: Processes,
    calls: u64,
}

impl Setup {
    async fn start(controllers: u16, seed: u64) -> Setup {
        Setup::start_with(controllers, Some(json!({})), seed).await
    }

    async fn start_with(controllers: u16, shares: Option<Value>, seed: u64) -> Setup {
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
        let fleet =
            Processes::start(Path::new(PROGRAM), controllers, bulletin.at, &settings(), shares, seed).await;
        Setup { world, servers, fleet: fleet.expect("a fleet"), calls: 0 }
    }

    /// Requests a call to s1 from a controller. Returns the call servers that it was tried at, in order, until the
    /// final answer.
    async fn call(&mut self, me: u16) -> Vec<String> {
        self.calls += 1;
        let sid = Sid::from_number(0x1000 + self.calls).to_string();
        let caller = Caller::connect(
            &self.world,
            "caller",
            self.fleet.client_address(me).expect("the controller runs"),
        )
        .await;
        caller.open(&sid, 5_000, 1, "v=0\r\n").await;
        self.world.final_answer(&sid).await;
        let all = self.world.events().into_iter();
        all.filter(|s| s.sid == sid && matches!(s.kind, EventKind::SetUp(..))).map(|s| s.source).collect()
    }

    /// Makes a controller observe that s1 is full. Afterwards s1 accepts calls again, unknown to the controllers.
    async fn observe_full(&mut self, me: u16) {
        self.observe_full_for(me, FULL_WAIT_MS).await;
    }

    async fn observe_full_for(&mut self, me: u16, ms: u64) {
        let headers = format!("P-Reason: queue_long\r\nP-Line-Ms: {ms}\r\n");
        *self.servers[1].behaviour.borrow_mut() = ServerBehaviour::Refuse(503, headers);
        let tried = self.call(me).await;
        assert_eq!(tried.first().map(String::as_str), Some("s1"), "the first attempt did not go to s1");
        *self.servers[1].behaviour.borrow_mut() = ServerBehaviour::Answer("v=0\r\n".into());
    }
}

fn reported_full_by(me: u16) -> impl Fn(Option<ReportedObservation>) -> bool {
    move |reported| reported.is_some_and(|t| t.origin == me && t.wait_ms >= FULL_WAIT_MS)
}

#[test]
fn peers_avoid_a_call_server_that_one_controller_found_full() {
    on_one_thread(async {
        let mut setup = Setup::start(4, 1).await;
        // The reported wait is long enough not to elapse during the test, even on a busy machine.
        setup.observe_full_for(0, 60_000).await;
        for other in 1..4 {
            setup
                .fleet
                .wait_for_view("the peer receives the observation", other, "s1", reported_full_by(0))
                .await;
            assert_eq!(setup.call(other).await, ["s0"], "controller {other}");
        }
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn without_a_fleet_controllers_do_not_exchange_observations() {
    on_one_thread(async {
        let mut setup = Setup::start_with(2, None, 2).await;
        setup.observe_full(0).await;
        assert!(setup.fleet.view(0, "s1").await.is_none());
        assert_eq!(setup.call(1).await, ["s1"]);
        assert_eq!(
            setup.fleet.mesh.delivered.get() + setup.fleet.mesh.lost.get(),
            0,
            "datagrams were sent between controllers"
        );
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn both_sides_of_a_partition_keep_their_observations_and_converge_after_it_heals() {
    on_one_thread(async {
        let mut setup = Setup::start(6, 3).await;
        let lost = |n: u64| move |f: &BTreeMap<String, u64>| f.get("fleet.peers_lost") == Some(&n);
        for no in 0..6 {
            let all_alive = |f: &BTreeMap<String, u64>| f.get("fleet.peers_alive") == Some(&5);
            setup.fleet.wait_for_metrics("all peers are alive", no, all_alive).await;
        }
        setup.fleet.mesh.links.borrow_mut().split(3, 6);
        for no in 0..6 {
            setup.fleet.wait_for_metrics("three peers are lost", no, lost(3)).await;
        }
        setup.observe_full(0).await;
        for same_side in [1, 2] {
            setup
                .fleet
                .wait_for_view(
                    "controllers on the same side receive the observation",
                    same_side,
                    "s1",
                    reported_full_by(0),
                )
                .await;
        }
        // The other side has not received it: its calls go to s1 first, which answers.
        assert_eq!(setup.call(4).await, ["s1"]);
        let not_full = |reported: Option<ReportedObservation>| {
            reported.is_some_and(|t| t.origin == 4 && t.wait_ms < 1_000)
        };
        setup.fleet.wait_for_view("the other side receives its own observation", 5, "s1", not_full).await;
        assert!(!not_full(setup.fleet.view(1, "s1").await), "an observation crossed the partition");
        assert!(setup.fleet.mesh.lost.get() > 0);
        setup.fleet.mesh.links.borrow_mut().groups.clear();
        // All controllers converge to the newer observation.
        for no in 0..6 {
            setup.fleet.wait_for_view("all controllers have the newer observation", no, "s1", not_full).await;
        }
        for no in 0..6 {
            setup.fleet.wait_for_metrics("all peers are alive again", no, lost(0)).await;
        }
        // Controller 1, not the one that was refused by s1: that one's throttle may still keep calls away from s1.
        assert_eq!(setup.call(1).await, ["s1"]);
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn observations_reach_all_peers_despite_one_way_link_failures_and_loss() {
    on_one_thread(async {
        let mut setup = Setup::start(5, 4).await;
        {
            let mut links = setup.fleet.mesh.links.borrow_mut();
            (links.loss, links.duplication) = (0.3, 0.1);
            links.cut.extend([(0, 1), (0, 2), (3, 4)]);
        }
        setup.observe_full(0).await;
        for other in 1..5 {
            setup
                .fleet
                .wait_for_view(
                    "the peer receives the observation, possibly through another one",
                    other,
                    "s1",
                    reported_full_by(0),
                )
                .await;
        }
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn a_suspended_process_ignores_stale_observations() {
    on_one_thread(async {
        let mut setup = Setup::start(3, 5).await;
        // Every link has to carry datagrams first, so that delay is detected.
        for (me, other) in [(0, 2), (1, 2)] {
            setup.observe_full(me).await;
            setup
                .fleet
                .wait_for_view("the peer receives the observation", other, "s1", reported_full_by(me))
                .await;
            for no in 0..3 {
                setup
                    .fleet
                    .wait_for_view("the observation expires", no, "s1", |reported| reported.is_none())
                    .await;
            }
        }
        let received = setup.fleet.metrics(2).await["fleet.received"];
        setup.fleet.suspend(2, true).expect("the controller runs");
        setup.observe_full(0).await;
        setup
            .fleet
            .wait_for_view("the other peer receives the observation", 1, "s1", reported_full_by(0))
            .await;
        setup.fleet.wait_for_view("the observation expires", 1, "s1", |reported| reported.is_none()).await;
        setup.fleet.suspend(2, false).expect("the controller runs");
        let end = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
        while setup.fleet.metrics(2).await["fleet.received"] <= received {
            assert!(
                tokio::time::Instant::now() < end,
                "the resumed process did not read its queued datagrams"
            );
        }
        assert!(setup.fleet.view(2, "s1").await.is_none());
        assert_eq!(setup.call(2).await, ["s1"], "the resumed process used a stale observation");
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn a_restarted_process_receives_the_observations_of_its_peers() {
    on_one_thread(async {
        // Observations stay valid for 60 s, since the start may take long on a busy machine.
        let mut setup = Setup::start_with(3, Some(json!({"max_age_ms": 60_000})), 6).await;
        setup.fleet.kill(2).await;
        setup.observe_full(0).await;
        setup.fleet.wait_for_view("the peer receives the observation", 1, "s1", reported_full_by(0)).await;
        setup.fleet.start_controller(2).await.expect("a restart");
        // The observation is no longer forwarded; anti-entropy delivers it.
        setup
            .fleet
            .wait_for_view("the new incarnation receives the observation", 2, "s1", reported_full_by(0))
            .await;
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn latency_counts_towards_the_age_of_an_observation() {
    on_one_thread(async {
        let mut setup = Setup::start(2, 7).await;
        setup.fleet.mesh.links.borrow_mut().latency = (Span::from_millis(5), Span::from_millis(5));
        setup.observe_full(0).await;
        setup.fleet.wait_for_view("the peer receives the observation", 1, "s1", reported_full_by(0)).await;
        setup.fleet.wait_for_view("the observation expires", 1, "s1", |reported| reported.is_none()).await;
        setup.fleet.mesh.links.borrow_mut().latency = (Span::from_millis(1_500), Span::from_millis(1_500));
        setup.observe_full(1).await;
        let late = setup
            .fleet
            .wait_for_view("the peer receives the delayed observation", 0, "s1", reported_full_by(1))
            .await
            .expect("an observation");
        assert!(late.age_ms >= 1_400, "{late:?}");
        assert!(setup.fleet.stop().await);
    });
}

/// Guards against a controller whose directory is late or unreachable continuing to send calls to a draining call
/// server.
#[test]
fn a_controller_without_its_directory_is_warned_by_peers_until_the_directory_answers() {
    on_one_thread(async {
        println!("seed 8");
        let world = EventLog::default();
        let (bulletin, late) = (Bulletin::start(&world).await, Bulletin::start(&world).await);
        let mut servers = Vec::new();
        for name in ["s0", "s1"] {
            servers.push(SipServer::start(&world, name, ServerBehaviour::Answer("v=0\r\n".into())).await);
        }
        let line = |n: usize, state| list_entry(&servers[n].name, servers[n].at, n as u16, state);
        let all = || vec![line(0, "ready"), line(1, "ready")];
        bulletin.publish(true, all());
        late.publish(true, all());
        let fleet = Processes::prepare(Path::new(PROGRAM), 3, bulletin.at, &settings(), 8).await;
        let (mut fleet, calls) = (fleet.expect("a fleet"), 0);
        fleet.bulletins.insert(2, late.at);
        fleet.fleet_settings = Some(json!({"max_age_ms": 60_000}));
        fleet.start_all().await.expect("they serve");
        let mut setup = Setup { world, servers, fleet, calls };
        let line = |setup: &Setup, n: usize, state| {
            list_entry(&setup.servers[n].name, setup.servers[n].at, n as u16, state)
        };
        let warned =
            |figures: &BTreeMap<String, u64>| figures.get("fleet.server.s1.warned").copied() == Some(1);
        // Cut off from both peers, controller 2 does not know about the drain and continues to use s1.
        setup.fleet.mesh.links.borrow_mut().split(2, 3);
        bulletin.publish(false, vec![line(&setup, 1, "draining")]);
        for other in [0, 1] {
            let avoided = |f: &BTreeMap<String, u64>| f.get("members_unavailable") == Some(&1);
            setup
                .fleet
                .wait_for_metrics("the other controllers get their directory's entry", other, avoided)
                .await;
        }
        assert_eq!(setup.call(2).await, ["s1"]);
        setup.fleet.mesh.links.borrow_mut().groups.clear();
        setup.fleet.wait_for_metrics("controller 2 is warned", 2, warned).await;
        assert_eq!(setup.call(2).await, ["s0"]);
        // Its own directory answers late and with another entry, which takes precedence.
        late.publish(false, vec![line(&setup, 1, "ready")]);
        setup.fleet.wait_for_metrics("its own directory has ended the warning", 2, |f| !warned(f)).await;
        assert_eq!(setup.call(2).await, ["s1"]);
        assert!(setup.fleet.stop().await);
    });
}

/// Guards against a call server that has just started being overloaded by all controllers at once. 30 % of the
/// datagrams are lost, and one controller gets far more calls than the others and borrows their permits.
#[test]
fn a_cold_call_server_is_not_overloaded_and_permits_are_lent_to_the_busiest_controller() {
    on_one_thread(async {
        println!("seed 9");
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        // The call server handles 40 calls per second when warm, and records an overload itself.
        let config = ProcessorConfig { capacity: 40.0, ..ProcessorConfig::default() };
        let cold = ServerModel::new(config, 500, 9);
        cold.restart();
        let servers = vec![
            SipServer::start(&world, "s0", ServerBehaviour::Answer("v=0\r\n".into())).await,
            SipServer::start(&world, "s1", ServerBehaviour::Model(cold)).await,
        ];
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
        let started_ms = u64::try_from(now.as_millis()).expect("in range");
        bulletin.publish(
            true,
            vec![
                list_entry("s0", servers[0].at, 0, "ready"),
                list_entry_started_at("s1", servers[1].at, 1, started_ms),
            ],
        );
        let fleet =
            Processes::start(Path::new(PROGRAM), 4, bulletin.at, &settings(), Some(json!({})), 9).await;
        let setup = Setup { world, servers, fleet: fleet.expect("a fleet"), calls: 0 };
        setup.fleet.mesh.links.borrow_mut().loss = 0.3;
        let mut callers = Vec::new();
        for me in 0..4 {
            let at = setup.fleet.client_address(me).expect("the controller runs");
            callers.push(Caller::connect(&setup.world, "caller", at).await);
        }
        // 100 calls per second, all to s1, two thirds of them through controller 0. At least 400 calls, then until
        // controller 0 has borrowed permits.
        let mut calls = 0u64;
        loop {
            let me = if calls % 3 < 2 { 0 } else { 1 + (calls / 3 % 3) as usize };
            let sid = Sid::from_number(0x2000 + calls).to_string();
            callers[me].open(&sid, 5_000, 1, "v=0\r\n").await;
            calls += 1;
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            if calls >= 400 && calls.is_multiple_of(50) {
                let borrowed = setup.fleet.metrics(0).await.get("fleet.permits_borrowed_256ths").copied();
                if borrowed > Some(0) {
                    break;
                }
            }
            assert!(calls < 1_300, "no permits were borrowed before the call server was warm");
        }
        let answers = setup.world.wait_for_count("a final answer to each call", calls as usize, |s| {
            s.source == "caller" && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(34 | 42 | 102, _))
        });
        answers.await;
        let to_cold = setup.world.count(|s| s.source == "s1" && matches!(s.kind, EventKind::SetUp(..)));
        println!("{to_cold} of {calls} calls reached the cold call server");
        assert!(to_cold >= 10, "too few calls to the cold call server: {to_cold}");
        assert_eq!(
            setup.world.count(|s| s.kind == EventKind::Tipped),
            0,
            "the cold call server was overloaded"
        );
        assert!(setup.fleet.stop().await);
    });
}

#[test]
fn fleet_limits_shows_the_fleets_and_the_controllers_own_observations() {
    on_one_thread(async {
        let mut setup = Setup::start(2, 10).await;
        setup.observe_full_for(0, 60_000).await;
        setup.fleet.wait_for_view("the peer receives the observation", 1, "s1", reported_full_by(0)).await;
        let control = setup.fleet.control(1).expect("the controller runs").to_owned();
        let tool = |json: bool| {
            let mut command = std::process::Command::new(PROGRAM);
            command.args(["fleet", "limits", "--control"]).arg(&control);
            if json {
                command.arg("--json");
            }
            let output = command.output().expect("the command runs");
            assert!(output.status.success(), "{output:?}");
            String::from_utf8(output.stdout).expect("text")
        };
        let json: Value = serde_json::from_str(&tool(true)).expect("JSON");
        let of_s1 = json[0]["servers"].as_array().and_then(|all| all.iter().find(|s| s["host"] == "s1"));
        let of_s1 = of_s1.expect("an entry for s1");
        assert!(of_s1["wait_ms"].as_u64() >= Some(59_000) && of_s1["origin"] == 0, "{of_s1}");
        assert_eq!(of_s1["own_wait_ms"], Value::Null, "controller 1 reports an observation of its own");
        let table = tool(false);
        assert!(table.contains("c1  peers alive 1") && table.contains("s1 "), "{table}");
        assert!(setup.fleet.stop().await);
    });
}

/// Guards against a restart that fails because the operating system assigned the controller's port to another process
/// in the meantime. Controllers therefore listen on a loopback address of their own.
#[test]
fn a_controller_can_restart_while_its_port_number_is_in_use_on_127_0_0_1() {
    on_one_thread(async {
        let mut setup = Setup::start(2, 11).await;
        setup.fleet.kill(1).await;
        let port = setup.fleet.mesh.listens_at(1).port();
        // Any process that binds to a free port of 127.0.0.1 may get this one.
        let other = std::net::UdpSocket::bind(("127.0.0.1", port)).expect("the port is free on 127.0.0.1");
        setup.fleet.start_controller(1).await.expect("a restart");
        drop(other);
        assert!(setup.fleet.stop().await);
    });
}
