//! The agent's log: what fails is said once and when it is back; a reader that does not read holds nothing up.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lockpoint::control::{ask, Command as Asked, Reply, Request};
use lockpoint_lab::bulletin::Bulletin;
use lockpoint_lab::event_log::{on_one_thread, EventLog};
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
        let dir = std::env::temp_dir().join(format!("lockpoint-logs-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let control = dir.join("control.sock");
        let text = FILE.replace("CONTROL", &control.to_string_lossy()).replace("BULLETIN", bulletin);
        std::fs::write(dir.join("agent.toml"), text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.arg("agent").arg("--config").arg(dir.join("agent.toml")).env_remove("LOCKPOINT_LOG");
        let child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        Agent { dir, child }
    }
    async fn ask(&self, command: Asked) -> Reply {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let request = Request { command, instance: None };
            match ask(&self.dir.join("control.sock"), &request).await {
                Ok(reply) => return reply,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    async fn failures(&self) -> u64 {
        let Reply::Stats { instances } = self.ask(Asked::Stats).await else { panic!("no counters") };
        instances[0]["bulletin_failures"].as_u64().expect("a count")
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Guards against an agent that counts failures and says nothing, or says each of them.
#[test]
fn a_bulletin_that_does_not_answer_is_said_once_and_when_it_is_back() {
    on_one_thread(async {
        let at = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let mut agent = Agent::start("outage", &at.to_string());
        while agent.failures().await < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let world = EventLog::default();
        let bulletin = Bulletin::start_at(&world, at).await.expect("the same port");
        bulletin.publish(true, Vec::new());
        let stderr = agent.child.stderr.take().expect("its log");
        let read = tokio::task::spawn_blocking(move || {
            let mut said = Vec::new();
            for line in BufReader::new(stderr).lines() {
                let line: Value = serde_json::from_str(&line.expect("a line")).expect("JSON");
                let back = line["message"] == "is back";
                said.push(line);
                if back {
                    break;
                }
            }
            said
        });
        let said =
            tokio::time::timeout(Duration::from_secs(20), read).await.expect("it is back").expect("read");
        let of_bulletin: Vec<&Value> = said.iter().filter(|line| line["party"] == "bulletin").collect();
        assert_eq!(of_bulletin.len(), 2, "{said:#?}");
        assert_eq!((&of_bulletin[0]["message"], &of_bulletin[0]["level"]), (&"fails".into(), &"WARN".into()));
        assert_eq!(of_bulletin[0]["at"], at.to_string());
        assert!(of_bulletin[1]["times"].as_u64() >= Some(3), "{of_bulletin:?}");
    });
}

/// Guards against calls that wait for the log: 2,000 lines are more than a pipe holds.
#[test]
fn a_log_that_nobody_reads_holds_up_nothing() {
    on_one_thread(async {
        let agent = Agent::start("unread", "127.0.0.1:9");
        agent.ask(Asked::Ping).await;
        std::fs::write(agent.dir.join("agent.toml"), "control = 5").expect("written");
        for _ in 0..2_000 {
            assert!(matches!(agent.ask(Asked::Reload).await, Reply::Error { .. }));
        }
        assert!(matches!(agent.ask(Asked::Ping).await, Reply::Called { .. }));
    });
}
