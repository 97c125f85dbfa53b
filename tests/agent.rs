//! The agent and its tool, as an operator uses them.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../deploy/agent.toml");

/// A folder of its own, gone with the test, and an agent that does not outlive it.
struct Desk {
    dir: PathBuf,
    agent: Option<Child>,
}

impl Desk {
    fn new(name: &str) -> Desk {
        let dir = std::env::temp_dir().join(format!("lockpoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Desk { dir, agent: None }
    }
    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
    fn tool(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.current_dir(&self.dir).env_remove("ROUTER_CONFIG").env_remove("LOCKPOINT_CONTROL");
        command.args(args).output().expect("it runs")
    }
    fn start(&mut self, file: &Path) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.current_dir(&self.dir).arg("agent").arg("--config").arg(file).stderr(Stdio::piped());
        self.agent = Some(command.spawn().expect("it starts"));
        self.until("the agent answers", |desk| desk.tool(&["status"]).status.success());
    }
    fn until(&self, what: &str, holds: impl Fn(&Desk) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(Instant::now() < end, "never: {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    fn says(&self, args: &[&str]) -> String {
        let output = self.tool(args);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The example with ports that the system picks, and with directories that answer nothing as long as `quiet` is held:
/// whoever listens at the example's own addresses, such as `make demo`, is not asked.
fn example(quiet: &Quiet) -> String {
    let mut text = EXAMPLE.to_owned();
    for port in ["2905", "2906", "4569", "4570"] {
        text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
    }
    text.replace("127.0.0.1:4222", &quiet.bulletin()).replace("127.0.0.1:5353", &quiet.resolver())
}

/// A bulletin that takes connections and tells nothing, and a resolver that does not answer.
struct Quiet(std::net::TcpListener, std::net::UdpSocket);

impl Quiet {
    fn new() -> Quiet {
        let at = ("127.0.0.1", 0);
        Quiet(
            std::net::TcpListener::bind(at).expect("a port"),
            std::net::UdpSocket::bind(at).expect("a port"),
        )
    }
    fn bulletin(&self) -> String {
        self.0.local_addr().expect("an address").to_string()
    }
    fn resolver(&self) -> String {
        self.1.local_addr().expect("an address").to_string()
    }
}

#[test]
fn the_agent_runs_the_example_and_obeys_the_tool() {
    let (mut desk, quiet) = (Desk::new("agent"), Quiet::new());
    let file = desk.file("agent.toml", &example(&quiet));
    desk.start(&file);
    let status = desk.says(&["status"]);
    assert!(status.contains("desks  waiting for a list  listen 127.0.0.1:"), "{status}");
    let one: serde_json::Value =
        serde_json::from_str(&desk.says(&["status", "judges", "--json"])).expect("JSON");
    assert_eq!(one["instances"].as_array().map(Vec::len), Some(1));
    assert!(desk.says(&["stats", "desks"]).starts_with("name=desks "));
    assert!(desk.says(&["stats", "desks"]).contains(" members=0 members_unavailable=0 "));
    // No list has come yet: it cannot serve, and says so; its figures are there all the same.
    let ping = desk.tool(&["ping", "desks"]);
    let said = String::from_utf8_lossy(&ping.stdout).into_owned();
    assert!(ping.status.code() == Some(1) && said.starts_with("desks  FAILURE no list"), "{said}");
    let info = desk.says(&["info", "desks"]);
    assert!(
        info.contains("controller.downstream_requests.judge-call.completed:0|c") && info.contains("EOT"),
        "{info}"
    );
    // The console of the same instance answers to the same names, and to the tool.
    let status = desk.says(&["status", "desks"]);
    let console = status.lines().next().and_then(|l| l.split_once("console ")).expect("a console").1;
    assert!(desk.says(&["info", "--console", console]).contains("controller.pending:0|g"));
    assert_eq!(desk.tool(&["ping", "--console", console]).status.code(), Some(1));
    let gone = desk.tool(&["ping", "--console", "127.0.0.1:9"]);
    assert_eq!((gone.status.code(), gone.stdout.len()), (Some(3), 0));
    // Emptied and brought back, by either name; the others are not touched.
    for lameduck in ["lameduck", "drain"] {
        assert!(desk.says(&[lameduck, "desks"]).contains("SUCCESS"));
        desk.until("it is empty", |desk| desk.says(&["status", "desks"]).contains("desks  empty"));
        assert!(desk.says(&["status", "judges"]).contains("judges  waiting"));
        assert!(desk.says(&["rejoin", "desks"]).contains("SUCCESS"));
        assert!(desk.says(&["status", "desks"]).contains("desks  waiting"));
    }
    let unknown = desk.tool(&["drain", "nobody"]);
    assert_eq!(unknown.status.code(), Some(1));
    // A second agent keeps its hands off the first one's socket.
    let second = desk.tool(&["agent", "--config", "agent.toml"]);
    assert_eq!(second.status.code(), Some(2));
    desk.says(&["stop", "desks"]);
    desk.until("one is stopped", |desk| {
        let status = desk.says(&["status"]);
        status.contains("desks  stopped") && status.contains("judges  waiting")
    });
    assert_eq!(desk.tool(&["rejoin", "desks"]).status.code(), Some(1), "what has ended cannot come back");
    // Its addresses are free again, though the agent lives on.
    let status: serde_json::Value =
        serde_json::from_str(&desk.says(&["status", "desks", "--json"])).expect("JSON");
    let at = |key: &str| status["instances"][0][key].as_str().expect("an address").to_owned();
    std::net::UdpSocket::bind(at("iax2")).expect("free");
    std::net::TcpListener::bind(at("listen")).expect("free");
    desk.says(&["stop"]);
    let agent = desk.agent.take().expect("started").wait_with_output().expect("it ends");
    assert!(agent.status.success(), "{agent:?}");
    let log = String::from_utf8_lossy(&agent.stderr).into_owned();
    assert!(log.contains("name=desks ") && log.contains("name=judges "), "{log}");
    assert_eq!(desk.tool(&["status"]).status.code(), Some(3));
}

/// Guards against a bad file that takes the place of a good one, and against instances that a new file does not reach.
#[test]
fn the_agent_rereads_its_file_and_keeps_the_old_one_where_the_new_one_is_bad() {
    let (mut desk, quiet, elsewhere) = (Desk::new("reload"), Quiet::new(), Quiet::new());
    let file = desk.file("agent.toml", &example(&quiet));
    desk.start(&file);
    desk.file("agent.toml", &example(&quiet).replacen("worth = 1.0", "worth = \"much\"", 1));
    let refused = desk.tool(&["reload"]);
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(refused.status.code() == Some(1) && said.contains("instance[0].settings"), "{said}");
    assert!(desk.says(&["stats", "desks"]).contains(" reload_failures=1 reloads=0 "));
    // Another bulletin for one, another instance in place of the other.
    let next =
        example(&quiet).replace("\"judges\"", "\"clubs\"").replace(&quiet.bulletin(), &elsewhere.bulletin());
    desk.file("agent.toml", &next);
    desk.says(&["reload"]);
    desk.until("the new one runs and the old one ends", |desk| {
        let status = desk.says(&["status"]);
        status.contains("clubs  waiting")
            && status.contains("judges  stopped")
            && status.contains("desks  waiting")
    });
    let kept = desk.says(&["stats", "desks"]);
    assert!(kept.contains(" reload_failures=1 reloads=1 "), "{kept}");
    // SIGHUP does the same.
    let id = desk.agent.as_ref().map(Child::id).expect("an id").to_string();
    assert!(Command::new("kill").args(["-HUP", &id]).status().expect("sent").success());
    desk.until("it was reread", |desk| desk.says(&["stats", "clubs"]).contains(" reloads=1 "));
    desk.says(&["stop"]);
}

/// Guards against an instance that is listed and does not run: its file named it again while it was ending.
#[test]
fn an_instance_that_is_listed_again_while_it_ends_starts_anew() {
    let (mut desk, quiet) = (Desk::new("again"), Quiet::new());
    let file = desk.file("agent.toml", &example(&quiet));
    desk.start(&file);
    let one = example(&quiet);
    let second = one.match_indices("[[instance]]").nth(1).expect("two are listed").0;
    desk.file("agent.toml", &one[..second]);
    desk.says(&["reload"]);
    assert!(desk.says(&["status", "judges"]).contains("judges  ending"), "it takes a second to end");
    desk.file("agent.toml", &one);
    desk.says(&["reload"]);
    desk.until("it is there anew", |desk| desk.says(&["status", "judges"]).contains("judges  waiting"));
    assert!(desk.says(&["stats", "judges"]).contains(" reloads=0 "), "and is another than before");
    desk.says(&["stop"]);
    let agent = desk.agent.take().expect("started").wait_with_output().expect("it ends");
    assert!(agent.status.success(), "{agent:?}");
}

#[test]
fn bad_configuration_is_one_line_that_names_file_and_key_and_an_exit_code() {
    let (desk, quiet) = (Desk::new("check"), Quiet::new());
    desk.file("good.toml", &example(&quiet));
    desk.file("bad.toml", &example(&quiet).replacen("worth = 1.0", "worth = \"much\"", 1));
    assert!(desk.says(&["check", "good.toml"]).contains("2 instance(s)"));
    for args in [&["check", "bad.toml"][..], &["agent", "--config", "bad.toml"], &["check", "none.toml"], &[]]
    {
        let output = desk.tool(args);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{args:?}: {said}");
        let names = args.last().map_or("ROUTER_CONFIG", |file| file);
        assert!(said.contains(names), "{said}");
    }
    let json = desk.tool(&["check", "bad.toml", "--json"]);
    let said: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(
        (json.status.code(), &said["ok"], &said["key"]),
        (Some(2), &false.into(), &"instance[0].settings".into())
    );
}

#[test]
fn the_platform_s_controller_ends_in_order_when_told_to() {
    let mut desk = Desk::new("platform");
    let class = serde_json::json!({"name": "judge-call", "goal-time-us": 2000000, "worth": 1.0});
    let config = serde_json::json!({"bulletin": "127.0.0.1:9", "settings": {"balancers": 1, "classes": [class],
        "bounds": {"max-attempts": 5},
        "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5}}});
    let file = desk.file("config.json", &config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
    command.env("ROUTER_CONFIG", file).env("ROUTER_LISTEN", "127.0.0.1:0").env("ROUTER_NAME", "n3");
    desk.agent = Some(command.stderr(Stdio::piped()).spawn().expect("it starts"));
    let id = desk.agent.as_ref().map(Child::id).expect("an id");
    // It catches the signal as soon as its handler stands, which the kernel tells.
    desk.until("it catches SIGTERM", |_| {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        caught
            .and_then(|bits| u64::from_str_radix(bits.trim(), 16).ok())
            .is_some_and(|bits| bits >> 14 & 1 == 1)
    });
    let told = Instant::now();
    let sent = Command::new("kill").arg("-TERM").arg(id.to_string()).status().expect("sent");
    assert!(sent.success());
    let output = desk.agent.take().expect("started").wait_with_output().expect("it ends");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && log.contains("name=n3 "), "{log}");
    assert!(told.elapsed() >= Duration::from_millis(600), "it must go on accepting for a while");
}
