//! Process requirements of the full-size continuous run, which starts the controller through the `run` script: one process,
//! no Unix socket, no child process, and threads that sleep while idle. The tests start the real program as the platform does.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// A controller process started as the platform starts it, with its own directory as `$TMPDIR` and no inherited listener.
struct Platform {
    child: Child,
    log: BufReader<ChildStderr>,
    tmpdir: PathBuf,
}

impl Platform {
    fn start(test: &str) -> Platform {
        let dir = std::env::temp_dir().join(format!("lockpoint-standing-{test}-{}", std::process::id()));
        let tmpdir = dir.join("tmp");
        std::fs::create_dir_all(&tmpdir).expect("the temporary directory is created");
        let class = serde_json::json!({"name": "judge-call", "goal-time-us": 2000000, "worth": 1.0});
        // Nobody listens on the bulletin's port. The controller logs that, which shows that its event loop runs.
        let config = serde_json::json!({"bulletin": "127.0.0.1:9", "settings": {"balancers": 1, "classes": [class],
            "bounds": {"max-attempts": 5},
            "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5}}});
        let file = dir.join("config.json");
        std::fs::write(&file, config.to_string()).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", &file).env("ROUTER_LISTEN", "127.0.0.1:0").env("ROUTER_NAME", "n3");
        command.env("TMPDIR", &tmpdir).env_remove("ROUTER_FD").env_remove("ROUTER_CONSOLE");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        Platform { child, log, tmpdir }
    }

    /// Reads the log until a line contains `words`; the event loop runs from then on.
    fn wait_for_log(&mut self, words: &str) {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.log.read_line(&mut line).expect("a log");
            assert!(read > 0, "the controller ended before it logged {words:?}");
            if line.contains(words) {
                return;
            }
        }
    }

    fn proc(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.child.id()))
    }

    /// Processor time of all threads, from the scheduler's `schedstat` (nanoseconds).
    fn processor_time(&self) -> Duration {
        let tasks = std::fs::read_dir(self.proc().join("task")).expect("its threads");
        let mut total = 0u64;
        for task in tasks.flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            total += text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
        }
        Duration::from_nanos(total)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The inodes of the sockets that a process has open.
fn sockets_of(proc: &Path) -> BTreeSet<u64> {
    let fds = std::fs::read_dir(proc.join("fd")).expect("its descriptors");
    let inode = |link: PathBuf| {
        let text = link.to_string_lossy().into_owned();
        text.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    fds.flatten().filter_map(|fd| std::fs::read_link(fd.path()).ok()).filter_map(inode).collect()
}

/// The Unix sockets in the process's network namespace: inode, whether it listens, path.
fn unix_sockets(proc: &Path) -> Vec<(u64, bool, Option<String>)> {
    let table = std::fs::read_to_string(proc.join("net/unix")).expect("the table of Unix sockets");
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let listens = u32::from_str_radix(fields.get(3)?, 16).ok()? & 0x0001_0000 != 0;
        Some((fields.get(6)?.parse().ok()?, listens, fields.get(7).map(|p| (*p).to_owned())))
    };
    table.lines().skip(1).filter_map(row).collect()
}

#[test]
fn the_controller_opens_no_unix_socket_starts_no_program_and_leaves_tmpdir_empty() {
    let mut platform = Platform::start("unix");
    platform.wait_for_log("bulletin");
    let proc = platform.proc();
    let sockets = sockets_of(&proc);
    assert!(!sockets.is_empty(), "the listener for callers must show up among the sockets");
    let unix: Vec<_> =
        unix_sockets(&proc).into_iter().filter(|(inode, ..)| sockets.contains(inode)).collect();
    // Built alone, as `build` does, the controller has no Unix socket (docs/mass.md). Built with the workspace, whose
    // laboratory starts programs, tokio includes its signal driver, which opens an unnamed, unreachable socket pair.
    let named: Vec<_> = unix.iter().filter(|(_, listens, path)| *listens || path.is_some()).collect();
    assert!(named.is_empty() && unix.len() <= 2, "Unix sockets open: {unix:?}");
    let left: Vec<_> =
        std::fs::read_dir(&platform.tmpdir).expect("its folder").flatten().map(|e| e.path()).collect();
    assert!(left.is_empty(), "written to TMPDIR: {left:?}");
    for task in std::fs::read_dir(proc.join("task")).expect("its threads").flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        assert!(children.trim().is_empty(), "programs started: {children}");
    }
    assert!(platform.child.try_wait().expect("a state").is_none(), "the controller still runs");
}

#[test]
fn an_idle_controller_uses_under_1_percent_of_a_core() {
    let mut platform = Platform::start("idle");
    platform.wait_for_log("bulletin");
    // Start-up work is done once the bulletin has been polled; from then on the controller only waits for events.
    let (before, since) = (platform.processor_time(), Instant::now());
    std::thread::sleep(Duration::from_secs(2));
    let used = platform.processor_time().saturating_sub(before).as_secs_f64() / since.elapsed().as_secs_f64();
    println!("an idle controller uses {:.3}% of a core", used * 100.0);
    assert!(used < 0.01, "{:.3}% of a core while idle", used * 100.0);
    assert!(platform.child.try_wait().expect("a state").is_none(), "the controller still runs");
}
