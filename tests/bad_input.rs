//! Log lines about malformed input: one line that names its source, after which the previous state stays in use. The
//! tests start the program and read its log.

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

/// The program with a configuration of the platform, and a thread that reads its log.
struct Program {
    child: Child,
    lines: Receiver<String>,
    log: Vec<String>,
    file: PathBuf,
}

impl Program {
    fn start(test: &str, listen: &str, bulletin: &str) -> Program {
        let file = std::env::temp_dir().join(format!("lockpoint-bad-{test}-{}.json", std::process::id()));
        Program::write(&file, &configuration(listen, bulletin));
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
        command.env_remove("ROUTER_FD").env_remove("ROUTER_CONSOLE").env_remove("LOCKPOINT_LOG");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
        });
        Program { child, lines, log: Vec::new(), file }
    }
    fn write(file: &std::path::Path, text: &Value) {
        std::fs::write(file, text.to_string()).expect("the file is written");
    }
    fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }
    /// Waits until a line of the log contains all of these words.
    async fn wait_for_log(&mut self, words: &[&str]) {
        in_time(&format!("{words:?}"), async {
            loop {
                while let Ok(line) = self.lines.try_recv() {
                    let found = words.iter().all(|word| line.contains(word));
                    self.log.push(line);
                    if found {
                        return;
                    }
                }
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        })
        .await;
    }
    /// Returns how many lines of the log contain these words.
    fn count_in_log(&mut self, words: &str) -> usize {
        self.log.extend(self.lines.try_iter());
        self.log.iter().filter(|line| line.contains(words)).count()
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

/// Returns a free address. The program cannot choose a port itself, since it does not report which one it got.
fn free_address() -> String {
    let id = std::process::id();
    let ip = std::net::Ipv4Addr::from([127, 3, (id % 250) as u8, (id / 250 % 250) as u8]);
    lockpoint_lab::ports::free_address(ip.into()).expect("a port is free").to_string()
}

async fn connect(world: &EventLog, address: &str) -> Caller {
    in_time("the program listens", async {
        loop {
            match Caller::try_connect(world, "c", address.parse().expect("a valid address")).await {
                Ok(caller) => return caller,
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
            }
        }
    })
    .await
}

/// Waits until a call is established; the calls are numbered from `n`.
async fn establish_call(world: &EventLog, caller: &Caller, n: u64) {
    in_time("a call is established", async {
        let mut n = n;
        loop {
            caller.open(&name(n), 2_000, 0, "x").await;
            match world.final_answer(&name(n)).await.kind {
                EventKind::Ready(_) => return,
                _ => n += 1, // the program has no list yet
            }
        }
    })
    .await;
}

/// The log line names the bulletin, the event and what is wrong with it; the known call servers stay in use.
#[rstest]
#[case::invalid_event_number("event", json!({"no": "two"}), "an event")]
#[case::unknown_state("state", json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": [
    {"host": "s0", "dial": "127.0.0.1:1", "health": "dr\u{fffd}ning"}]}}), "host 's0': 'dr\u{fffd}ning' is no state")]
#[case::invalid_address("address", json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": [
    {"host": "s0", "dial": "nowhere", "health": "gone"}]}}), "event 2: a line")]
fn a_malformed_list_is_logged_in_one_line(#[case] test: &str, #[case] malformed: Value, #[case] why: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let (listen, at) = (free_address(), bulletin.at.to_string());
        let mut program = Program::start(test, &listen, &at);
        let caller = connect(&world, &listen).await;
        establish_call(&world, &caller, 1).await;
        bulletin.publish_raw(malformed);
        program.wait_for_log(&["failing", "party=\"bulletin\"", &at, "follows its event 1", why]).await;
        program.wait_for_log(&["unreadable entries skipped; the known list stays", why]).await;
        establish_call(&world, &caller, 100).await;
        assert_eq!(program.count_in_log("unreadable entries skipped"), 1);
        assert_eq!(program.count_in_log(" failing "), 1, "{:#?}", program.log);
    });
}

/// The log line names the call server.
#[test]
fn a_malformed_sip_message_is_logged_in_one_line() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let listen = free_address();
        let mut program = Program::start("answer", &listen, &bulletin.at.to_string());
        let caller = connect(&world, &listen).await;
        establish_call(&world, &caller, 1).await;
        server.send(b"SIP/2.0 OK 200\r\nContent-Length: nine\r\n\r\n");
        let at = server.at.to_string();
        program.wait_for_log(&["failing", "party=\"call server's messages\"", &at, "message"]).await;
        establish_call(&world, &caller, 100).await;
        program.wait_for_log(&["recovered", "party=\"call server's messages\"", &at]).await;
    });
}

/// A reload of a file with an invalid setting: the log line names the file and the key, and the previous settings stay
/// in use.
#[rstest]
#[case::word_instead_of_list("classes", json!("none"), "settings")]
#[case::negative_number("bounds", json!({"max-attempts": -1}), "bounds.max-attempts")]
#[case::word_instead_of_number("rules", json!({"cold-share": "much"}), "rules.cold-share")]
#[case::missing_setting("rules", json!({"cold-share": 0.3}), "cold-us")]
#[case::negative_quota("parties", json!([{"name": "a", "quota-per-s": 5}, {"name": "b", "quota-per-s": -5}]), "settings.parties[1].quota-per-s")]
#[case::tenant_without_name("parties", json!([{"quota-per-s": 5}]), "settings.parties")]
#[case::worth_out_of_range("over-share-worth", json!(1.5), "settings.over-share-worth")]
#[case::unknown_word("classes", json!([{"name": "judge-call", "goal-time-us": 1, "worth": 1, "semantics": "at_times"}]), "settings.classes[0].semantics")]
fn an_invalid_setting_is_logged_in_one_line(#[case] key: &str, #[case] value: Value, #[case] named: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let (listen, at) = (free_address(), bulletin.at.to_string());
        let mut program =
            Program::start(&format!("{key}-{}", named.replace(['[', ']', '.'], "-")), &listen, &at);
        let caller = connect(&world, &listen).await;
        establish_call(&world, &caller, 1).await;
        let mut text = configuration(&listen, &at);
        text["settings"][key] = value;
        Program::write(&program.file, &text);
        program.signal("-HUP");
        let file = program.file.to_string_lossy().into_owned();
        program.wait_for_log(&["not reloaded: ", &file, named]).await;
        establish_call(&world, &caller, 100).await;
        assert_eq!(program.count_in_log("not reloaded"), 1);
    });
}
