//! Shared test support: the laboratory's simulated peers, and a controller that runs in the test's own process.
#![allow(dead_code, unused_imports)] // each test file uses only some of the items

pub mod iax2;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use lockpoint::config::{parse_platform, InstanceConfig};
use lockpoint::core::Sid;
use lockpoint::counters::Counters;
use lockpoint::instance::{BoundInstance, Instance};
pub use lockpoint_lab::bulletin::{list_entry, list_entry_started_at, Bulletin, ResponseFault};
pub use lockpoint_lab::callers::Caller;
pub use lockpoint_lab::event_log::{on_one_thread, EventKind, EventLog, RecordedEvent};
pub use lockpoint_lab::sip::{ServerBehaviour, SipServer};
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

// ---- The controller --------------------------------------------------------------------------------------

pub fn settings(controllers: u32) -> Value {
    json!({"balancers": controllers, "new_key": {"a": 1},
        "bounds": {"cancel": true, "connect-timeout-us": 500000, "max-attempts": 5, "max-retry-after-us": 2000000,
            "may-tell": true, "most-held": 2000, "probing": false, "retry-after": true, "second-copies": false},
        "classes": [{"dedup-scope": "all", "goal-time-us": 2000000, "hard-limit-us": 9000000, "late-worth": 0.1,
            "name": "judge-call", "semantics": "free", "streamed": true, "window-us": 5000000, "worth": 1.0}],
        "discovery": "push",
        "extra": {"class-cells": [[0, 1, 2, 3]], "clear-wait-us": 500000, "holding-us": [9800000], "shape": "skills",
            "this-node": -1, "widths": [1], "says-wait": true},
        "granularity-us": 5000,
        "report": {"how": "inline", "names": ["idle", "circuits", "cpu_share", "pending"]},
        "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5, "tip-after-us": 1000000},
        "zones": ["east"]})
}

pub fn config(bulletin: SocketAddr) -> InstanceConfig {
    let text = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "unknown": true,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": bulletin.to_string(),
        "settings": settings(1)});
    parse_platform(Path::new("config.json"), text.to_string().as_bytes()).expect("a configuration")
}

pub struct Controller {
    pub at: SocketAddr,
    pub iax2_at: Option<SocketAddr>,
    pub console_at: Option<SocketAddr>,
    pub instance: Instance,
    stop: Rc<Notify>,
    running: JoinHandle<Counters>,
}

impl Controller {
    pub async fn start(config: InstanceConfig) -> Controller {
        let bound = BoundInstance::open(config).await.expect("free ports");
        let stop = Rc::new(Notify::new());
        let (at, iax2_at, instance) = (bound.listens_at(), bound.iax2_at(), bound.handle());
        let console_at = bound.console_at();
        let stopped = stop.clone();
        let running = spawn_local(bound.run(async move { stopped.notified().await }));
        Controller { at: at.expect("a port"), iax2_at, console_at, instance, stop, running }
    }

    /// Starts with one simulated SIP call server per cell, and waits until the list has been received.
    pub async fn with_servers(
        world: &EventLog,
        does: &[ServerBehaviour],
    ) -> (Controller, Vec<Rc<SipServer>>, Rc<Bulletin>) {
        let bulletin = Bulletin::start(world).await;
        let mut servers = Vec::new();
        for (cell, does) in does.iter().enumerate() {
            servers.push(SipServer::start(world, &format!("s{cell}"), does.clone()).await);
        }
        let hosts =
            servers.iter().enumerate().map(|(cell, s)| list_entry(&s.name, s.at, cell as u16, "ready"));
        bulletin.publish(true, hosts.collect());
        let controller = Controller::start(config(bulletin.at)).await;
        controller.wait_for_list().await;
        (controller, servers, bulletin)
    }

    pub async fn wait_for_list(&self) {
        self.wait_for("the list has been received", |instance| instance.ready()).await;
    }

    /// Waits until the controller meets a condition.
    pub async fn wait_for(&self, name: &str, condition: impl Fn(&Instance) -> bool) {
        let waited = tokio::time::timeout(Duration::from_secs(20), async {
            while !condition(&self.instance) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        assert!(waited.await.is_ok(), "timed out: {name}; {:?}", self.instance.counters());
    }

    pub async fn stop(self) -> Counters {
        self.stop.notify_one();
        tokio::time::timeout(Duration::from_secs(20), self.running)
            .await
            .expect("the controller ends")
            .expect("no panic")
    }

    pub fn ask_to_stop(&self) {
        self.stop.notify_one();
    }
}

pub fn name(n: u64) -> String {
    Sid::from_number(0x9b1f_03aa_0000_0000 + n).to_string()
}

// ---- A call server scripted by the test -------------------------------------------------------------------

/// A call server that accepts, reads and sends only when the test makes it do so.
pub struct ScriptedServer {
    pub at: SocketAddr,
    pub name: String,
    listener: tokio::net::TcpListener,
}

/// A connection that a scripted call server has accepted.
pub struct ServerConnection {
    pub stream: tokio::net::TcpStream,
    bytes: Vec<u8>,
}

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for an event that must occur; panics after [`TIMEOUT`].
pub async fn in_time<T>(name: &str, future: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future).await.unwrap_or_else(|_| panic!("timed out: {name}"))
}

impl ScriptedServer {
    pub async fn start(name: &str) -> ScriptedServer {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        ScriptedServer { at: listener.local_addr().expect("an address"), name: name.to_owned(), listener }
    }
    /// A call server with a small receive buffer: its connections accept few bytes before they are read.
    pub async fn with_small_receive_buffer(name: &str) -> ScriptedServer {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("set");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("the socket listens");
        ScriptedServer { at: listener.local_addr().expect("an address"), name: name.to_owned(), listener }
    }
    /// Fills the accept queue: no further connection is established until those in the queue are accepted.
    pub fn fill_backlog(&self) -> Vec<std::net::TcpStream> {
        let mut fill = Vec::new();
        while let Ok(stream) = std::net::TcpStream::connect_timeout(&self.at, Duration::from_millis(200)) {
            fill.push(stream);
            assert!(fill.len() < 16, "the accept queue is bounded");
        }
        fill
    }
    /// A call server whose accept queue is full, so that no connection to it is established until it accepts. Returns the
    /// connections in the queue as well.
    pub async fn with_full_backlog(name: &str) -> (ScriptedServer, Vec<std::net::TcpStream>) {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("the socket listens");
        let server = ScriptedServer {
            at: listener.local_addr().expect("an address"),
            name: name.to_owned(),
            listener,
        };
        let fill = server.fill_backlog();
        (server, fill)
    }
    /// Accepts the next connection without sending anything on it.
    pub async fn accept(&self) -> ServerConnection {
        let (stream, _) = in_time("a connection", self.listener.accept()).await.expect("accepted");
        stream.set_nodelay(true).expect("set");
        ServerConnection { stream, bytes: Vec::new() }
    }
    /// Accepts the next connection and reports the call server's state on it, so that the controller uses it for set-ups.
    pub async fn accept_ready(&self) -> ServerConnection {
        let mut connection = self.accept().await;
        connection.send("NOTIFY sip:peer@net SIP/2.0\r\nCSeq: 1 NOTIFY\r\nP-Report: x0:500;x1:500\r\nContent-Length: 0\r\n\r\n")
            .await;
        connection
    }
    /// The call server's entry in the list.
    pub fn host(&self, cell: u16, health: &str) -> Value {
        list_entry(&self.name, self.at, cell, health)
    }
}

impl ServerConnection {
    pub async fn send(&mut self, text: &str) {
        use tokio::io::AsyncWriteExt;
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }
    /// The call of the next request of this method; skips requests of other methods.
    pub async fn expect_request(&mut self, method: &str) -> String {
        in_time(method, async {
            loop {
                let (m, call) =
                    self.next().await.unwrap_or_else(|| panic!("the connection ended before {method}"));
                if m == method {
                    return call;
                }
            }
        })
        .await
    }
    /// The method and call of the next request; `None` if the connection has ended.
    pub async fn next(&mut self) -> Option<(String, String)> {
        use lockpoint::upstream::sip::message::{parse, StartLine};
        use tokio::io::AsyncReadExt;
        loop {
            if let Ok(Some((message, used))) = parse(&self.bytes) {
                self.bytes.drain(..used);
                if let StartLine::Request(method) = message.start {
                    return Some((method, message.call_id));
                }
                continue;
            }
            if self.stream.read_buf(&mut self.bytes).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }
    pub async fn answers(&mut self, sid: &str, description: &str) {
        self.replies(sid, 200, description).await;
    }
    pub async fn replies(&mut self, sid: &str, code: u16, description: &str) {
        let length = description.len();
        self.send(&format!(
            "SIP/2.0 {code} X\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n{description}"
        ))
        .await;
    }
    /// Releases an established call with this cause.
    pub async fn releases(&mut self, sid: &str, cause: u16) {
        self.send(&format!(
            "BYE sip:peer@net SIP/2.0\r\nCall-ID: {sid}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
        ))
        .await;
    }
    /// Resets the connection, as when the call server's process dies.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("set");
    }
}

impl Controller {
    /// Starts with these call servers, one per cell, listed by a bulletin.
    pub async fn with_scripted_servers(
        world: &EventLog,
        servers: &[&ScriptedServer],
        change: impl FnOnce(&mut InstanceConfig),
    ) -> (Controller, Rc<Bulletin>) {
        let bulletin = Bulletin::start(world).await;
        bulletin.publish(true, (0..).zip(servers).map(|(cell, server)| server.host(cell, "ready")).collect());
        let mut config = config(bulletin.at);
        change(&mut config);
        let controller = Controller::start(config).await;
        controller.wait_for_list().await;
        (controller, bulletin)
    }
}

/// Sets set-up targets so long that no call is refused for missing them, however busy the machine is.
pub fn long_setup_target(config: &mut InstanceConfig) {
    let target = lockpoint::interface::Span::from_millis(600_000);
    config.core.settings.classes.iter_mut().for_each(|class| class.setup_target = target);
}
