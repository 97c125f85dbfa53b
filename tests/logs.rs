//! The agent's log: a fault is logged once when it begins and once when it ends, and a log that is not read delays
//! nothing.

use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{self, Child, Stdio};
use std::time::{Duration, Instant};

use lockpoint::control::{send_request, Command, Reply, Request};
use lockpoint_lab::bulletin::Bulletin;
use lockpoint_lab::callers::Caller;
use lockpoint_lab::event_log::{on_one_thread, EventLog};
use lockpoint_lab::ports::free_address;
use serde_json::Value;

const FILE: &str = r#"
control = "CONTROL"
log = { level = "info", form = "json" }
[[instance]]
name = "desks"
listen = "127.0.0.1:0"
bulletin = "BULLETIN"
[instance.settings]
balancers = 1
bounds = { max-attempts = 5 }
rules = { cold-share = 0.36, cold-us = 14000000, overload-factor = 2.5, tip-after-us = 1000000 }
extra = { shape = "skills", this-node = -1 }
[[instance.settings.classes]]
name = "judge-call"
goal-time-us = 2000000
hard-limit-us = 9000000
worth = 1.0
"#;

struct Agent {
    dir: PathBuf,
    child: Child,
}

impl Agent {
    fn start(name: &str, bulletin: &str) -> Agent {
        Agent::start_at_level("info", name, bulletin)
    }
    fn start_at_level(level: &str, name: &str, bulletin: &str) -> Agent {
        let dir = std::env::temp_dir().join(format!("lockpoint-logs-{name}-{}", process::id()));
        std::fs::create_dir_all(&dir).expect("the directory is created");
        let control = dir.join("control.sock");
        let text = FILE.replace("CONTROL", &control.to_string_lossy()).replace("BULLETIN", bulletin);
        let text = text.replace("\"info\"", &format!("\"{level}\""));
        std::fs::write(dir.join("agent.toml"), text).expect("the file is written");
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.arg("agent").arg("--config").arg(dir.join("agent.toml")).env_remove("LOCKPOINT_LOG");
        let child = command.stderr(Stdio::piped()).spawn().expect("the agent starts");
        Agent { dir, child }
    }
    /// Sends a command, repeatedly until the agent answers.
    async fn send(&self, command: Command) -> Reply {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let request = Request { command, instance: None };
            match send_request(&self.dir.join("control.sock"), &request).await {
                Ok(reply) => return reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    async fn bulletin_failures(&self) -> u64 {
        let Reply::Stats { instances } = self.send(Command::Stats).await else { panic!("no counters") };
        instances[0]["bulletin_failures"].as_u64().expect("the counter is a number")
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Guards against an agent that counts failures without logging them, or logs each of them.
#[test]
fn an_outage_of_the_bulletin_is_logged_once_when_it_begins_and_once_when_it_ends() {
    on_one_thread(async {
        let address = free_address(Ipv4Addr::LOCALHOST.into()).expect("a port is free");
        let mut agent = Agent::start("outage", &address.to_string());
        while agent.bulletin_failures().await < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let world = EventLog::default();
        let bulletin = Bulletin::start_at(&world, address).await.expect("the same port is free");
        bulletin.publish(true, Vec::new());
        let stderr = agent.child.stderr.take().expect("standard error is piped");
        let reader = tokio::task::spawn_blocking(move || {
            let mut lines = Vec::new();
            for line in BufReader::new(stderr).lines() {
                let line: Value =
                    serde_json::from_str(&line.expect("a line is readable")).expect("valid JSON");
                let recovered = line["message"] == "recovered";
                lines.push(line);
                if recovered {
                    break;
                }
            }
            lines
        });
        let lines = tokio::time::timeout(Duration::from_secs(20), reader)
            .await
            .expect("the recovery is logged")
            .expect("the log is read");
        let of_bulletin: Vec<&Value> = lines.iter().filter(|line| line["party"] == "bulletin").collect();
        assert_eq!(of_bulletin.len(), 2, "{lines:#?}");
        assert_eq!(
            (&of_bulletin[0]["message"], &of_bulletin[0]["level"]),
            (&"failing".into(), &"WARN".into())
        );
        assert_eq!(of_bulletin[0]["at"], address.to_string());
        assert!(of_bulletin[1]["times"].as_u64() >= Some(3), "{of_bulletin:?}");
    });
}

/// Guards against calls that are delayed by writing the log. 2,000 lines are more than a pipe can buffer.
#[test]
fn a_log_that_is_not_read_delays_nothing() {
    on_one_thread(async {
        let agent = Agent::start("unread", "127.0.0.1:9");
        agent.send(Command::Ping).await;
        std::fs::write(agent.dir.join("agent.toml"), "control = 5").expect("the file is written");
        for _ in 0..2_000 {
            assert!(matches!(agent.send(Command::Reload).await, Reply::Error { .. }));
        }
        assert!(matches!(agent.send(Command::Ping).await, Reply::ConsoleAnswers { .. }));
    });
}

/// Guards against a report of operators that cannot be traced: a call's lines must name it, and say why it was refused and
/// why its connection ended.
#[test]
fn a_call_can_be_traced_with_the_reasons_for_its_refusal_and_for_the_end_of_its_connection() {
    on_one_thread(async {
        const SID: &str = "9b1f03aa00000001";
        let mut agent = Agent::start_at_level("lockpoint::calls=debug", "trace", "127.0.0.1:9");
        let Reply::Status { instances } = agent.send(Command::Status).await else { panic!("no status") };
        let at = instances[0].listen.as_ref().and_then(|at| at.parse().ok()).expect("an address");
        let events = EventLog::default();
        let caller = Caller::connect(&events, "c", at).await;
        caller.open(SID, 2_000, 0, "x").await;
        events.final_answer(SID).await;
        caller.drop_connection();
        let stderr = agent.child.stderr.take().expect("standard error is piped");
        let reader = tokio::task::spawn_blocking(move || {
            let mut seen = Vec::new();
            for line in BufReader::new(stderr).lines() {
                let line: Value =
                    serde_json::from_str(&line.expect("a line is readable")).expect("valid JSON");
                if line["sid"] == SID || line["message"] == "caller's connection ended" {
                    seen.push((line["message"].clone(), line["reason"].clone()));
                }
                if seen.len() == 3 {
                    break;
                }
            }
            seen
        });
        let seen = tokio::time::timeout(Duration::from_secs(20), reader).await;
        let seen = seen.expect("three lines").expect("the log is read");
        let expected = [
            ("set-up received", Value::Null),
            ("refused to the caller", "no capacity, or no list of call servers".into()),
            ("caller's connection ended", "closed by the peer".into()),
        ];
        assert_eq!(seen, expected.map(|(message, reason)| (Value::from(message), reason)));
    });
}
