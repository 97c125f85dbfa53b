//! What the log says of bad input: one clear line that names its source, and what was known before stays. With the real
//! program, whose log is read.

mod support;

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use rstest::rstest;
use serde_json::{json, Value};
use support::{
    in_time, list_entry, name, on_one_thread, settings, Bulletin, Caller, EventKind, EventLog,
    ServerBehaviour, SipServer,
};

/// The program on the platform's path, its log read by a thread.
struct Program {
    child: Child,
    lines: Receiver<String>,
    said: Vec<String>,
    file: PathBuf,
}

impl Program {
    fn start(test: &str, listen: &str, bulletin: &str) -> Program {
        let file = std::env::temp_dir().join(format!("lockpoint-bad-{test}-{}.json", std::process::id()));
        Program::write(&file, &configuration(listen, bulletin));
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
        command.env_remove("ROUTER_FD").env_remove("ROUTER_CONSOLE").env_remove("LOCKPOINT_LOG");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let (say, lines) = channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).all(|line| say.send(line).is_ok()));
        Program { child, lines, said: Vec::new(), file }
    }
    fn write(file: &std::path::Path, text: &Value) {
        std::fs::write(file, text.to_string()).expect("written");
    }
    fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("it runs").success());
    }
    /// Waits until a line of the log says all of this.
    async fn says(&mut self, words: &[&str]) {
        in_time(&format!("{words:?}"), async {
            loop {
                while let Ok(line) = self.lines.try_recv() {
                    let found = words.iter().all(|word| line.contains(word));
                    self.said.push(line);
                    if found {
                        return;
                    }
                }
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        })
        .await;
    }
    fn times(&mut self, words: &str) -> usize {
        self.said.extend(self.lines.try_iter());
        self.said.iter().filter(|line| line.contains(words)).count()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn configuration(listen: &str, bulletin: &str) -> Value {
    json!({"name": "n1", "listen": listen, "bulletin": bulletin, "settings": settings(1)})
}

/// An address that the system picks, for a program that does not say which it got.
fn a_port() -> String {
    let id = std::process::id();
    let at = std::net::Ipv4Addr::from([127, 3, (id % 250) as u8, (id / 250 % 250) as u8]);
    let listener = std::net::TcpListener::bind((at, 0)).expect("a port");
    listener.local_addr().expect("an address").to_string()
}

async fn connect(world: &EventLog, at: &str) -> Caller {
    in_time("it listens", async {
        loop {
            match Caller::try_connect(world, "c", at.parse().expect("an address")).await {
                Ok(caller) => return caller,
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
            }
        }
    })
    .await
}

async fn serves(world: &EventLog, caller: &Caller, n: u64) {
    in_time("a call stands", async {
        let mut n = n;
        loop {
            caller.open(&name(n), 2_000, 0, "x").await;
            match world.final_answer(&name(n)).await.kind {
                EventKind::Ready(_) => return,
                _ => n += 1, // no list yet
            }
        }
    })
    .await;
}

/// A spoilt list: the line names the bulletin, the event and what is wrong with it; the call servers known stay in use.
#[rstest]
#[case::an_event("event", json!({"no": "two"}), "an event")]
#[case::a_state("state", json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": [
    {"host": "s0", "dial": "127.0.0.1:1", "health": "dr\u{fffd}ning"}]}}), "host 's0': 'dr\u{fffd}ning' is no state")]
#[case::an_address("address", json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": [
    {"host": "s0", "dial": "nowhere", "health": "gone"}]}}), "event 2: a line")]
fn a_spoilt_list_is_one_line(#[case] test: &str, #[case] spoilt: Value, #[case] why: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let (listen, at) = (a_port(), bulletin.at.to_string());
        let mut program = Program::start(test, &listen, &at);
        let caller = connect(&world, &listen).await;
        serves(&world, &caller, 1).await;
        bulletin.publish_raw(spoilt);
        program.says(&["fails", "party=\"bulletin\"", &at, "follows its event 1", why]).await;
        program.says(&["passed over; what was known stays", why]).await;
        serves(&world, &caller, 100).await;
        assert_eq!(program.times("passed over"), 1);
        assert_eq!(program.times(" fails "), 1, "{:#?}", program.said);
    });
}

/// A spoilt answer: the line names the call server.
#[test]
fn a_spoilt_answer_is_one_line() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let listen = a_port();
        let mut program = Program::start("answer", &listen, &bulletin.at.to_string());
        let caller = connect(&world, &listen).await;
        serves(&world, &caller, 1).await;
        server.send(b"SIP/2.0 OK 200\r\nContent-Length: nine\r\n\r\n");
        let at = server.at.to_string();
        program.says(&["fails", "party=\"call server's messages\"", &at, "message"]).await;
        serves(&world, &caller, 100).await;
        program.says(&["is back", "party=\"call server's messages\"", &at]).await;
    });
}

/// A spoilt setting in a file that is read anew: the line names file and key, and the old ones stay in use.
#[rstest]
#[case::a_word("classes", json!("none"), "settings")]
#[case::a_number("bounds", json!({"max-attempts": -1}), "bounds.max-attempts")]
#[case::a_rule("rules", json!({"cold-share": "much"}), "rules.cold-share")]
#[case::a_rule_that_lacks_a_figure("rules", json!({"cold-share": 0.3}), "cold-us")]
#[case::a_share_that_is_none("parties", json!([{"name": "a", "quota-per-s": 5}, {"name": "b", "quota-per-s": -5}]), "settings.parties[1].quota-per-s")]
#[case::a_tenant_with_no_name("parties", json!([{"quota-per-s": 5}]), "settings.parties")]
#[case::a_worth_out_of_range("over-share-worth", json!(1.5), "settings.over-share-worth")]
#[case::an_unknown_word("classes", json!([{"name": "judge-call", "goal-time-us": 1, "worth": 1, "semantics": "at_times"}]), "settings.classes[0].semantics")]
fn a_spoilt_setting_is_one_line(#[case] key: &str, #[case] value: Value, #[case] named: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let (listen, at) = (a_port(), bulletin.at.to_string());
        let mut program =
            Program::start(&format!("{key}-{}", named.replace(['[', ']', '.'], "-")), &listen, &at);
        let caller = connect(&world, &listen).await;
        serves(&world, &caller, 1).await;
        let mut text = configuration(&listen, &at);
        text["settings"][key] = value;
        Program::write(&program.file, &text);
        program.signal("-HUP");
        let file = program.file.to_string_lossy().into_owned();
        program.says(&["not reloaded: ", &file, named]).await;
        serves(&world, &caller, 100).await;
        assert_eq!(program.times("not reloaded"), 1);
    });
}
