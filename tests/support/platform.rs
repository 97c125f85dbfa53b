//! The real program, started as the platform starts it, with its console called by the test.
#![allow(dead_code)] // each test file uses only some of the items

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;

/// A loopback address on which nobody listens, and which no other test gets: neither one of another test process on this
/// machine, nor one in another thread of this process, to which the system might give the same port again.
pub fn free_address() -> SocketAddr {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let process = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 1 + process[1] % 254, process[2], process[3].max(1));
    let mut given = GIVEN.lock().expect("no test panics while it holds the lock");
    loop {
        let at = lockpoint_lab::ports::free_address(own.into()).expect("a port");
        if given.insert(at) {
            return at;
        }
    }
}

/// A controller process, killed when dropped.
pub struct Platform {
    pub child: Child,
    pub at: SocketAddr,
    pub console: SocketAddr,
    file: PathBuf,
}

impl Platform {
    /// Starts a controller with this configuration and, if given, this limit on open file descriptors (`ulimit -n`).
    pub fn start(name: &str, config: &Value, descriptors: Option<u32>) -> Platform {
        let (at, console) = (free_address(), free_address());
        let file = std::env::temp_dir().join(format!("lockpoint-{name}-{}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("written");
        let program = env!("CARGO_BIN_EXE_lockpoint");
        let mut process = match descriptors {
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\""), program]);
                shell
            }
            None => Command::new(program),
        };
        process.env("ROUTER_CONFIG", &file).env("ROUTER_LISTEN", at.to_string()).env("ROUTER_NAME", name);
        process.env("ROUTER_CONSOLE", console.to_string()).env_remove("ROUTER_FD");
        let child = process.stderr(Stdio::null()).spawn().expect("the controller starts");
        Platform { child, at, console, file }
    }

    /// Sends a command to the console; `None` if there is no answer.
    pub fn call(&self, command: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(format!("{command}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// The number of file descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
