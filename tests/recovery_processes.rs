//! Controllers that lose power, as processes that are killed, and come back with their records: what the call servers and
//! the callers see.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use lockpoint_lab::bulletin::{host, Bulletin};
use lockpoint_lab::callers::Caller;
use lockpoint_lab::fleet::processes::{settings, Processes};
use lockpoint_lab::sip::{Does, SipServer};
use lockpoint_lab::world::{on_one_thread, Seen, What, World};
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_lockpoint");
/// A release that is owed must be said within this of the call's end, or of the return of who owes it.
const OWED_WITHIN: Duration = Duration::from_secs(8);

struct Scene {
    world: World,
    servers: Vec<Rc<SipServer>>,
    fleet: Processes,
    calls: u64,
}

impl Scene {
    /// Two call servers, s0 and s1, and controllers that keep records and tell each other what they see.
    async fn set(controllers: u16, seed: u64) -> Scene {
        println!("seed {seed}");
        let world = World::default();
        let bulletin = Bulletin::start(&world).await;
        let mut servers = Vec::new();
        for name in ["s0", "s1"] {
            servers.push(SipServer::start(&world, name, Does::Answer("v=0\r\n".into())).await);
        }
        let lines = servers.iter().zip(0..).map(|(server, n)| host(&server.name, server.at, n, "ready"));
        bulletin.tell(true, lines.collect());
        let fleet = Processes::prepare(Path::new(PROGRAM), controllers, bulletin.at, &settings(), seed).await;
        let mut fleet = fleet.expect("a fleet");
        (fleet.shares, fleet.store) = (Some(json!({})), Some(json!({})));
        fleet.begin_all().await.expect("they serve");
        Scene { world, servers, fleet, calls: 0 }
    }

    async fn caller(&self, me: u16) -> Caller {
        Caller::connect(&self.world, "caller", self.fleet.at(me).expect("it runs")).await
    }

    /// A call for a call server that stands; asked again for as long as the controller is only coming back.
    async fn stands(&mut self, caller: &Caller, cell: u16) -> String {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            self.calls += 1;
            let sid = Sid::from_number(0x3000 + self.calls).to_string();
            caller.open(&sid, 5_000, cell, "v=0\r\n").await;
            match self.world.answer(&sid).await.what {
                What::Ready(_) => return sid,
                _ => assert!(Instant::now() < end, "no call stands any more"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a controller has written down so many changes and has none waiting.
    async fn kept(&self, me: u16, changes: u64) {
        let kept = |f: &std::collections::BTreeMap<String, u64>| f.get("store.changes") >= Some(&changes);
        self.fleet.until_figures("it is written down", me, kept).await;
        let batches = self.fleet.figures(me).await.get("store.batches").copied();
        assert!(batches > Some(0));
    }

    fn releases(&self, sid: &str) -> Vec<Seen> {
        let all = self.world.all().into_iter();
        let released = |s: &Seen| s.sid == sid && s.who == "caller" && matches!(s.what, What::Close(..));
        all.filter(released).collect()
    }
}

#[test]
fn after_a_power_loss_of_all_every_call_that_stood_gets_the_release_it_is_owed_once() {
    on_one_thread(async {
        let mut scene = Scene::set(3, 1).await;
        let mut calls = Vec::new();
        for me in 0..3 {
            let caller = scene.caller(me).await;
            for cell in [0, 0, 1, 1] {
                calls.push((me, cell, scene.stands(&caller, cell).await));
            }
            // Two lines of the list, four calls.
            scene.kept(me, 6).await;
        }
        for me in 0..3 {
            scene.fleet.kill(me).await;
        }
        // Meanwhile one call server dies, and the other ends a call of each controller.
        scene.servers[0].until_alone().await;
        scene.servers[1].die();
        let ended: Vec<String> = (0..3).map(|me| calls[me * 4].2.clone()).collect();
        ended.iter().for_each(|sid| scene.servers[0].release(sid, 16));
        let mut callers = Vec::new();
        let mut back = Vec::new();
        for me in [2, 0, 1] {
            back.push((me, Instant::now()));
            scene.fleet.begin(me).await.expect("it comes back");
            callers.push((me, scene.caller(me).await));
        }
        // Whoever speaks is a caller: releases go to him.
        for (me, caller) in &callers {
            scene.stands(caller, 0).await;
            let _ = me;
        }
        for (me, cell, sid) in &calls {
            let over = *cell == 1 || ended.contains(sid);
            let name = format!("the release of {sid}, cell {cell} of c{me}");
            if over {
                let cause = if *cell == 1 { 41 } else { 16 };
                let heard = |s: &Seen| s.sid == *sid && matches!(s.what, What::Close(c, _) if c == cause);
                let seen = scene.world.until(&name, heard).await;
                let since = back.iter().find(|(other, _)| other == me).map(|(_, at)| *at).expect("back");
                assert!(seen.at.duration_since(since) < OWED_WITHIN, "{name}");
            } else {
                assert!(scene.releases(sid).is_empty(), "{sid} stands");
                scene.servers[0].release(sid, 16);
                scene.world.until(&name, |s| s.sid == *sid && matches!(s.what, What::Close(16, _))).await;
            }
        }
        // All that any of them was to say has been said by then: each once.
        for (_, caller) in &callers {
            scene.stands(caller, 0).await;
        }
        for (_, _, sid) in &calls {
            assert_eq!(scene.releases(sid).len(), 1, "{sid}");
        }
        assert!(scene.fleet.stop().await);
    });
}

/// A caller that ends a call of the life before reaches the call server that holds it, and that one alone.
#[test]
fn a_call_of_the_life_before_is_ended_where_it_stands() {
    on_one_thread(async {
        let mut scene = Scene::set(1, 2).await;
        let caller = scene.caller(0).await;
        let sid = scene.stands(&caller, 1).await;
        scene.kept(0, 3).await;
        scene.fleet.kill(0).await;
        scene.fleet.begin(0).await.expect("it comes back");
        let caller = scene.caller(0).await;
        caller.close(&sid, 16).await;
        scene.world.until("it is ended", |s| s.sid == sid && s.who == "s1" && s.what == What::Bye(16)).await;
        scene.stands(&caller, 0).await;
        let elsewhere = scene.world.count(|s| s.sid == sid && s.who == "s0");
        assert_eq!(elsewhere, 0, "nobody else is asked");
        assert!(scene.fleet.stop().await);
    });
}

#[test]
fn no_set_up_leaves_before_all_that_the_life_before_had_out_is_over() {
    on_one_thread(async {
        let mut scene = Scene::set(2, 3).await;
        let caller = scene.caller(0).await;
        scene.stands(&caller, 0).await;
        scene.kept(0, 3).await;
        // One is out, and nobody answers it, when the power goes.
        *scene.servers[1].does.borrow_mut() = Does::Silent;
        let sid = Sid::from_number(0x9000).to_string();
        caller.open(&sid, 5_000, 1, "v=0\r\n").await;
        scene.world.until("it is out", |s| s.sid == sid && matches!(s.what, What::SetUp(..))).await;
        *scene.servers[1].does.borrow_mut() = Does::Answer("v=0\r\n".into());
        scene.fleet.kill(0).await;
        scene.fleet.kill(1).await;
        let lost = Instant::now();
        scene.fleet.begin(0).await.expect("it comes back");
        // Callers ask again and again, each time by a new name, until one stands.
        let caller = scene.caller(0).await;
        scene.stands(&caller, 1).await;
        let set_ups =
            scene.world.all().into_iter().filter(|s| matches!(s.what, What::SetUp(..)) && s.at > lost);
        let first = set_ups.map(|s| s.at).min().expect("some");
        assert!(first.duration_since(lost) >= Duration::from_millis(500), "{:?}", first.duration_since(lost));
        assert!(scene.fleet.stop().await);
    });
}

#[test]
fn with_the_list_gone_too_it_serves_by_the_list_of_its_records() {
    on_one_thread(async {
        let mut scene = Scene::set(1, 4).await;
        scene.kept(0, 2).await;
        scene.fleet.kill(0).await;
        // Nobody tells a list any more: the place is held, and says nothing.
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        scene.fleet.bulletins.insert(0, silent.local_addr().expect("an address"));
        scene.fleet.begin(0).await.expect("it serves");
        let caller = scene.caller(0).await;
        scene.stands(&caller, 1).await;
        assert!(scene.fleet.stop().await);
    });
}

#[test]
fn records_are_shown_and_a_file_that_is_none_is_refused_by_name() {
    on_one_thread(async {
        let mut scene = Scene::set(1, 5).await;
        let caller = scene.caller(0).await;
        let sid = scene.stands(&caller, 1).await;
        scene.kept(0, 3).await;
        let records = scene.fleet.records(0);
        let tool = |args: &[&str]| {
            let mut command = std::process::Command::new(PROGRAM);
            command.arg("store").args(args).arg(&records).output().expect("it runs")
        };
        let in_use = tool(&["info"]);
        let said = String::from_utf8_lossy(&in_use.stderr).into_owned();
        assert!(in_use.status.code() == Some(2) && said.contains("another process has it open"), "{said}");
        scene.fleet.kill(0).await;
        let dump = String::from_utf8(tool(&["dump", "--json"]).stdout).expect("text");
        let line = dump.lines().find(|line| line.contains(&sid)).expect("the call");
        let line: Value = serde_json::from_str(line).expect("JSON");
        assert_eq!((&line["stands"]["host"], line["stands"]["leg"].as_bool()), (&json!("s1"), Some(false)));
        assert!(tool(&["verify"]).status.success());
        let info: Value = serde_json::from_slice(&tool(&["info", "--json"]).stdout).expect("JSON");
        assert_eq!(info["items"], 3, "two lines of the list and a call");
        std::fs::write(&records, "no records ".repeat(900)).expect("written");
        let refused = scene.fleet.begin(0).await.err().map(|error| error.to_string()).unwrap_or_default();
        assert!(refused.contains("it has ended (exit status: 2)"), "{refused}");
    });
}
