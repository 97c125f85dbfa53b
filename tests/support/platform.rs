//! The real program, started as the platform starts it, with its console asked by the test.
#![allow(dead_code)] // each test file uses its own part

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::Value;

/// An address of the loopback network on which nobody listens, and which no other test of this machine is given.
pub fn free_address() -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 1 + process[1] % 254, process[2], process[3].max(1));
    TcpListener::bind((own, 0)).and_then(|listener| listener.local_addr()).expect("a port")
}

/// One controller; it ends with the test.
pub struct Platform {
    pub child: Child,
    pub at: SocketAddr,
    pub console: SocketAddr,
    file: PathBuf,
}

impl Platform {
    /// Starts one with this configuration, under a limit of the system's on its descriptors where one is given.
    pub fn start(name: &str, config: &Value, descriptors: Option<u32>) -> Platform {
        let (at, console) = (free_address(), free_address());
        let file = std::env::temp_dir().join(format!("lockpoint-{name}-{}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("written");
        let program = env!("CARGO_BIN_EXE_lockpoint");
        let mut command = match descriptors {
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\""), program]);
                shell
            }
            None => Command::new(program),
        };
        command.env("ROUTER_CONFIG", &file).env("ROUTER_LISTEN", at.to_string()).env("ROUTER_NAME", name);
        command.env("ROUTER_CONSOLE", console.to_string()).env_remove("ROUTER_FD");
        let child = command.stderr(Stdio::null()).spawn().expect("it starts");
        Platform { child, at, console, file }
    }

    /// Calls its console; `None`: nobody answers there.
    pub fn call(&self, word: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(format!("{word}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("it runs").success());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
