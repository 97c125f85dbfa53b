//! Configuration reloads under load, on real sockets and with the real program.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use serde_json::{json, Value};
use support::{
    list_entry, name, on_one_thread, settings, Bulletin, Caller, Controller, EventKind, EventLog,
    ServerBehaviour, SipServer,
};

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// Guards against updates lost on a change of the bulletin, and against calls or counts lost by a reload.
#[test]
fn a_reload_moves_to_the_new_bulletin_and_loses_no_call_and_no_count() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, old) = Controller::with_servers(&world, &[answers("a")]).await;
        let other = SipServer::start(&world, "s1", answers("b")).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        // The new bulletin continues the event numbers: it has the old events and one that the old bulletin never
        // sent.
        let next = Bulletin::start(&world).await;
        next.publish(true, vec![list_entry("s0", servers[0].at, 0, "ready")]);
        next.publish(
            false,
            vec![list_entry("s0", servers[0].at, 0, "gone"), list_entry("s1", other.at, 1, "ready")],
        );
        assert!(controller.instance.reload(support::config(next.at)).is_empty());
        controller.wait_for("the new list", |i| i.servers().iter().any(|line| line.host == "s1")).await;
        // Events of the old bulletin are ignored from now on.
        old.publish(false, vec![list_entry("s1", other.at, 1, "gone")]);
        caller.open(&name(2), 2_000, 1, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("b".into()));
        servers[0].release(&name(1), 16);
        let released =
            |seen: &support::RecordedEvent| seen.sid == name(1) && seen.kind == EventKind::Close(16, None);
        world.wait_for("the release of the call established before the reload", released).await;
        let c = controller.instance.counters();
        assert_eq!((c.taken, c.completed, c.clients, c.reloads), (2, 2, 1, 1));
    });
}

/// Values that a reload cannot change stay, and their keys are reported.
#[test]
fn a_reload_names_what_only_a_restart_can_change() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, bulletin) = Controller::with_servers(&world, &[answers("a")]).await;
        let mut config = support::config(bulletin.at);
        config.listen = Some("127.0.0.1:9".parse().expect("an address"));
        config.console = Some("127.0.0.1:10".parse().expect("an address"));
        config.core.classes.push("another".into());
        assert_eq!(controller.instance.reload(config), ["listen", "console", "settings.classes"]);
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
    });
}

/// The real program, killed at the end of its test.
struct Program(Child);

impl Program {
    fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.0.id().to_string()]).status();
        assert!(kill.expect("it runs").success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn write(file: &Path, bulletin: &TcpListener) {
    let at = bulletin.local_addr().expect("an address").to_string();
    let text: Value = json!({"name": "n1", "listen": "127.0.0.1:0", "bulletin": at, "settings": settings(1)});
    std::fs::write(file, text.to_string()).expect("written");
}

/// Guards against a program that ends on SIGHUP, and against a bad file that replaces a good configuration.
#[test]
fn sighup_reloads_the_file_and_a_bad_file_is_reported_and_ignored() {
    let file = std::env::temp_dir().join(format!("lockpoint-reload-{}.json", std::process::id()));
    let bulletin = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (first, second) = (bulletin(), bulletin());
    write(&file, &first);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
    command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
    let mut program = Program(command.stderr(Stdio::piped()).spawn().expect("it starts"));
    let mut log = BufReader::new(program.0.stderr.take().expect("its log"));
    first.accept().expect("the first bulletin is followed");
    write(&file, &second);
    program.signal("-HUP");
    second.accept().expect("the second bulletin is followed");
    std::fs::write(&file, "{\"listen\":5}").expect("written");
    program.signal("-HUP");
    let mut lines = log.by_ref().lines().map(|line| line.expect("a line"));
    let line = lines.find(|line| line.contains("not reloaded: ")).expect("it is reported");
    assert!(line.contains("'listen'"), "{line}");
    program.signal("-TERM");
    let mut rest = String::new();
    log.read_to_string(&mut rest).expect("its log");
    assert!(rest.contains(" reload_failures=1 reloads=1 "), "{rest}");
    assert_eq!(program.0.wait().expect("it ends").code(), Some(0));
    let _ = std::fs::remove_file(&file);
}

/// Guards against a SIGTERM that is lost, or kills the program, while it still reads its file at the start.
#[test]
fn sigterm_while_the_file_is_still_read_ends_the_program_in_order() {
    let file = std::env::temp_dir().join(format!("lockpoint-early-{}.fifo", std::process::id()));
    let _ = std::fs::remove_file(&file);
    assert!(Command::new("mkfifo").arg(&file).status().expect("it runs").success());
    let bulletin = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
    command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
    command.env_remove("ROUTER_FD").env_remove("ROUTER_CONSOLE");
    let mut program = Program(command.stderr(Stdio::piped()).spawn().expect("it starts"));
    // The program has the file open and waits for its content.
    let mut writer = std::fs::OpenOptions::new().write(true).open(&file).expect("it reads");
    program.signal("-TERM");
    let at = bulletin.local_addr().expect("an address").to_string();
    let text = json!({"name": "n1", "listen": "127.0.0.1:0", "bulletin": at, "settings": settings(1)});
    std::io::Write::write_all(&mut writer, text.to_string().as_bytes()).expect("written");
    drop(writer);
    let mut log = String::new();
    program.0.stderr.take().expect("its log").read_to_string(&mut log).expect("its log");
    assert_eq!(program.0.wait().expect("it ends").code(), Some(0), "{log}");
    assert!(log.contains("name=n1 "), "its counters: {log}");
    let _ = std::fs::remove_file(&file);
}
