//! The agent and the command line, run as an operator runs them.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../deploy/agent.toml");

/// A temporary directory, and an agent process that is killed at the end of the test.
struct AgentFixture {
    dir: PathBuf,
    process: Option<Child>,
}

impl AgentFixture {
    fn new(name: &str) -> AgentFixture {
        let dir = std::env::temp_dir().join(format!("lockpoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the directory is created");
        AgentFixture { dir, process: None }
    }
    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }
    fn run_tool(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.current_dir(&self.dir).env_remove("ROUTER_CONFIG").env_remove("LOCKPOINT_CONTROL");
        command.args(args).output().expect("the tool runs")
    }
    fn start(&mut self, file: &Path) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.current_dir(&self.dir).arg("agent").arg("--config").arg(file).stderr(Stdio::piped());
        self.process = Some(command.spawn().expect("the agent starts"));
        self.wait_until("the agent answers", |agent| agent.run_tool(&["status"]).status.success());
    }
    fn wait_until(&self, what: &str, condition: impl Fn(&AgentFixture) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !condition(self) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    /// Runs the tool, which must succeed, and returns its output.
    fn output_of(&self, args: &[&str]) -> String {
        let output = self.run_tool(args);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("the output is UTF-8")
    }
}

impl Drop for AgentFixture {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns the example file with ports chosen by the system, and with directories that do not answer. The example's own
/// addresses are replaced since other processes, such as `make demo`, may listen there.
fn example(directories: &SilentDirectories) -> String {
    let mut text = EXAMPLE.to_owned();
    for port in ["2905", "2906", "4569", "4570"] {
        text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
    }
    text.replace("127.0.0.1:4222", &directories.bulletin()).replace("127.0.0.1:5353", &directories.resolver())
}

/// A bulletin that accepts connections and sends nothing, and a resolver that does not answer.
struct SilentDirectories(std::net::TcpListener, std::net::UdpSocket);

impl SilentDirectories {
    fn new() -> SilentDirectories {
        let address = ("127.0.0.1", 0);
        SilentDirectories(
            std::net::TcpListener::bind(address).expect("a port is free"),
            std::net::UdpSocket::bind(address).expect("a port is free"),
        )
    }
    fn bulletin(&self) -> String {
        self.0.local_addr().expect("the socket is bound").to_string()
    }
    fn resolver(&self) -> String {
        self.1.local_addr().expect("the socket is bound").to_string()
    }
}

#[test]
fn the_agent_runs_the_example_file_and_executes_the_commands_of_the_tool() {
    let (mut agent, directories) = (AgentFixture::new("agent"), SilentDirectories::new());
    let file = agent.write_file("agent.toml", &example(&directories));
    agent.start(&file);
    let status = agent.output_of(&["status"]);
    assert!(status.contains("desks  waiting for a list  listen 127.0.0.1:"), "{status}");
    let judges: serde_json::Value =
        serde_json::from_str(&agent.output_of(&["status", "judges", "--json"])).expect("valid JSON");
    assert_eq!(judges["instances"].as_array().map(Vec::len), Some(1));
    assert!(agent.output_of(&["stats", "desks"]).starts_with("name=desks "));
    assert!(agent.output_of(&["stats", "desks"]).contains(" members=0 members_unavailable=0 "));
    // No list has been received yet: PING fails, and INFO returns metrics all the same.
    let ping = agent.run_tool(&["ping", "desks"]);
    let output = String::from_utf8_lossy(&ping.stdout).into_owned();
    assert!(ping.status.code() == Some(1) && output.starts_with("desks  FAILURE no list"), "{output}");
    let info = agent.output_of(&["info", "desks"]);
    assert!(
        info.contains("controller.downstream_requests.judge-call.completed:0|c") && info.contains("EOT"),
        "{info}"
    );
    // The console of the same instance executes the same commands.
    let status = agent.output_of(&["status", "desks"]);
    let console = status
        .lines()
        .next()
        .and_then(|l| l.split_once("console "))
        .expect("the status contains the console")
        .1;
    assert!(agent.output_of(&["info", "--console", console]).contains("controller.pending:0|g"));
    assert_eq!(agent.run_tool(&["ping", "--console", console]).status.code(), Some(1));
    let unreachable = agent.run_tool(&["ping", "--console", "127.0.0.1:9"]);
    assert_eq!((unreachable.status.code(), unreachable.stdout.len()), (Some(3), 0));
    // LAMEDUCK, under both of its names, and REJOIN affect only the instance that is named.
    for lameduck in ["lameduck", "drain"] {
        assert!(agent.output_of(&[lameduck, "desks"]).contains("SUCCESS"));
        agent.wait_until("the instance is empty", |agent| {
            agent.output_of(&["status", "desks"]).contains("desks  empty")
        });
        assert!(agent.output_of(&["status", "judges"]).contains("judges  waiting"));
        assert!(agent.output_of(&["rejoin", "desks"]).contains("SUCCESS"));
        assert!(agent.output_of(&["status", "desks"]).contains("desks  waiting"));
    }
    let unknown = agent.run_tool(&["drain", "nobody"]);
    assert_eq!(unknown.status.code(), Some(1));
    // A second agent does not replace the control socket of the first one.
    let second = agent.run_tool(&["agent", "--config", "agent.toml"]);
    assert_eq!(second.status.code(), Some(2));
    agent.output_of(&["stop", "desks"]);
    agent.wait_until("one instance is stopped", |agent| {
        let status = agent.output_of(&["status"]);
        status.contains("desks  stopped") && status.contains("judges  waiting")
    });
    assert_eq!(
        agent.run_tool(&["rejoin", "desks"]).status.code(),
        Some(1),
        "a stopped instance cannot rejoin"
    );
    // Its addresses are free again although the agent is still running.
    let status: serde_json::Value =
        serde_json::from_str(&agent.output_of(&["status", "desks", "--json"])).expect("valid JSON");
    let address =
        |key: &str| status["instances"][0][key].as_str().expect("the status has the address").to_owned();
    std::net::UdpSocket::bind(address("iax2")).expect("the address is free");
    std::net::TcpListener::bind(address("listen")).expect("the address is free");
    agent.output_of(&["stop"]);
    let exited = agent.process.take().expect("it was started").wait_with_output().expect("it exits");
    assert!(exited.status.success(), "{exited:?}");
    let log = String::from_utf8_lossy(&exited.stderr).into_owned();
    assert!(log.contains("name=desks ") && log.contains("name=judges "), "{log}");
    assert_eq!(agent.run_tool(&["status"]).status.code(), Some(3));
}

/// Guards against an invalid file replacing a valid configuration, and against instances that a reload does not reach.
#[test]
fn a_reload_applies_a_valid_file_and_keeps_the_previous_configuration_if_the_file_is_invalid() {
    let (mut agent, directories, other_directories) =
        (AgentFixture::new("reload"), SilentDirectories::new(), SilentDirectories::new());
    let file = agent.write_file("agent.toml", &example(&directories));
    agent.start(&file);
    agent.write_file("agent.toml", &example(&directories).replacen("worth = 1.0", "worth = \"much\"", 1));
    let refused = agent.run_tool(&["reload"]);
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(refused.status.code() == Some(1) && error.contains("instance[0].settings"), "{error}");
    assert!(agent.output_of(&["stats", "desks"]).contains(" reload_failures=1 reloads=0 "));
    // The bulletin of one instance changes, and another instance replaces the second one.
    let next = example(&directories)
        .replace("\"judges\"", "\"clubs\"")
        .replace(&directories.bulletin(), &other_directories.bulletin());
    agent.write_file("agent.toml", &next);
    agent.output_of(&["reload"]);
    agent.wait_until("the new instance runs and the unlisted one has stopped", |agent| {
        let status = agent.output_of(&["status"]);
        status.contains("clubs  waiting")
            && status.contains("judges  stopped")
            && status.contains("desks  waiting")
    });
    let counters = agent.output_of(&["stats", "desks"]);
    assert!(counters.contains(" reload_failures=1 reloads=1 "), "{counters}");
    // SIGHUP does the same.
    let id = agent.process.as_ref().map(Child::id).expect("the agent runs").to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().expect("kill runs").success());
    agent.wait_until("the file has been reread", |agent| {
        agent.output_of(&["stats", "clubs"]).contains(" reloads=1 ")
    });
    agent.output_of(&["stop"]);
}

/// Guards against an instance that is listed but does not run: the file listed it again while it was stopping.
#[test]
fn an_instance_that_is_listed_again_while_it_stops_is_restarted() {
    let (mut agent, directories) = (AgentFixture::new("again"), SilentDirectories::new());
    let file = agent.write_file("agent.toml", &example(&directories));
    agent.start(&file);
    let both = example(&directories);
    let second = both.match_indices("[[instance]]").nth(1).expect("two instances are listed").0;
    agent.write_file("agent.toml", &both[..second]);
    agent.output_of(&["reload"]);
    assert!(agent.output_of(&["status", "judges"]).contains("judges  ending"), "it takes a second to stop");
    agent.write_file("agent.toml", &both);
    agent.output_of(&["reload"]);
    agent.wait_until("the instance runs again", |agent| {
        agent.output_of(&["status", "judges"]).contains("judges  waiting")
    });
    assert!(agent.output_of(&["stats", "judges"]).contains(" reloads=0 "), "it is a new instance");
    agent.output_of(&["stop"]);
    let exited = agent.process.take().expect("it was started").wait_with_output().expect("it exits");
    assert!(exited.status.success(), "{exited:?}");
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line_with_file_and_key_and_an_exit_code() {
    let (agent, directories) = (AgentFixture::new("check"), SilentDirectories::new());
    agent.write_file("good.toml", &example(&directories));
    agent.write_file("bad.toml", &example(&directories).replacen("worth = 1.0", "worth = \"much\"", 1));
    assert!(agent.output_of(&["check", "good.toml"]).contains("2 instance(s)"));
    for args in [&["check", "bad.toml"][..], &["agent", "--config", "bad.toml"], &["check", "none.toml"], &[]]
    {
        let output = agent.run_tool(args);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), error.lines().count()), (Some(2), 1), "{args:?}: {error}");
        let source = args.last().map_or("ROUTER_CONFIG", |file| file);
        assert!(error.contains(source), "{error}");
    }
    let json = agent.run_tool(&["check", "bad.toml", "--json"]);
    let result: serde_json::Value = serde_json::from_slice(&json.stdout).expect("valid JSON");
    assert_eq!(
        (json.status.code(), &result["ok"], &result["key"]),
        (Some(2), &false.into(), &"instance[0].settings".into())
    );
}

#[test]
fn the_platform_controller_stops_gracefully_on_sigterm() {
    let mut agent = AgentFixture::new("platform");
    let class = serde_json::json!({"name": "judge-call", "goal-time-us": 2000000, "worth": 1.0});
    let config = serde_json::json!({"bulletin": "127.0.0.1:9", "settings": {"balancers": 1, "classes": [class],
        "bounds": {"max-attempts": 5},
        "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5}}});
    let file = agent.write_file("config.json", &config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
    command.env("ROUTER_CONFIG", file).env("ROUTER_LISTEN", "127.0.0.1:0").env("ROUTER_NAME", "n3");
    agent.process = Some(command.stderr(Stdio::piped()).spawn().expect("the controller starts"));
    let id = agent.process.as_ref().map(Child::id).expect("the controller runs");
    // The kernel reports when the handler of the signal is installed.
    agent.wait_until("the controller catches SIGTERM", |_| {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        caught
            .and_then(|bits| u64::from_str_radix(bits.trim(), 16).ok())
            .is_some_and(|bits| bits >> 14 & 1 == 1)
    });
    let signalled = Instant::now();
    let sent = Command::new("kill").arg("-TERM").arg(id.to_string()).status().expect("kill runs");
    assert!(sent.success());
    let output = agent.process.take().expect("it was started").wait_with_output().expect("it exits");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && log.contains("name=n3 "), "{log}");
    assert!(
        signalled.elapsed() >= Duration::from_millis(600),
        "it must accept connections for a while longer"
    );
}
