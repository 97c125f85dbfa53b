//! How soon restarted processes are ready in each state of discovery. Many processes of the real program are started
//! at once, each with an initial list of call servers in its configuration.

#[path = "support/platform.rs"]
mod platform;
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform::{free_address, Platform};
use serde_json::{json, Value};
use support::{name, on_one_thread, settings, ScriptedServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};

/// Processes started at once.
const PROCESSES: usize = 30;
/// Nine in ten processes must be ready within this.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Delay of a slow discovery, beyond the time for which an answer is awaited.
const SLOW_ANSWER: Duration = Duration::from_secs(4);

/// State of discovery.
#[derive(Debug, Clone, Copy)]
enum Discovery {
    /// Its host is down: connections are never established.
    Down,
    /// It answers late.
    Slow,
    /// It accepts connections and sends nothing.
    Silent,
    /// Connections are refused.
    Refused,
}

/// Address of discovery, and what keeps it in its state.
struct DiscoveryServer {
    at: SocketAddr,
    serving: Option<JoinHandle<()>>,
    _full_backlog: Option<(ScriptedServer, Vec<std::net::TcpStream>)>,
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        if let Some(serving) = self.serving.take() {
            serving.abort();
        }
    }
}

async fn start_discovery(discovery: Discovery) -> DiscoveryServer {
    match discovery {
        Discovery::Refused => DiscoveryServer { at: free_address(), serving: None, _full_backlog: None },
        Discovery::Down => {
            let backlog = ScriptedServer::with_full_backlog("discovery").await;
            DiscoveryServer { at: backlog.0.at, serving: None, _full_backlog: Some(backlog) }
        }
        Discovery::Slow | Discovery::Silent => {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = listener.local_addr().expect("an address");
            let answers = matches!(discovery, Discovery::Slow);
            let serving = spawn_local(async move {
                let mut kept = Vec::new();
                while let Ok((stream, _)) = listener.accept().await {
                    match answers {
                        true => drop(spawn_local(answers_late(stream))),
                        false => kept.push(stream),
                    }
                }
            });
            DiscoveryServer { at, serving: Some(serving), _full_backlog: None }
        }
    }
}

async fn answers_late(mut stream: TcpStream) {
    let mut asked = [0; 1_024];
    while stream.read(&mut asked).await.is_ok_and(|read| read > 0) {
        tokio::time::sleep(SLOW_ANSWER).await;
        let body = json!({"no": 1, "items": []}).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Whether the front end's health check passes.
async fn health_check_passes(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at).await else { return false };
    let probe = json!({"msg": "probe", "sid": name(9_999), "attrs": {}, "code": 0});
    if stream.write_all(format!("{probe}\n").as_bytes()).await.is_err() {
        return false;
    }
    let mut bytes = [0; 256];
    let read = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut bytes)).await;
    let read = read.ok().and_then(Result::ok).unwrap_or(0);
    std::str::from_utf8(&bytes[..read]).is_ok_and(|text| text.contains("\"code\":1"))
}

async fn ready_after(at: SocketAddr, started: Instant) -> Duration {
    while started.elapsed() < 2 * READY_WITHIN && !health_check_passes(at).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

fn config_of(discovery: SocketAddr, hosts: &[Value]) -> Value {
    let event = json!({"no": 1, "roster": {"seq": 1, "whole": true, "hosts": hosts}});
    json!({"bulletin": discovery.to_string(), "known": {"no": 1, "items": [event]}, "settings": settings(30)})
}

/// Guards against a start that waits for a discovery that does not answer.
#[test]
fn nine_in_ten_of_thirty_processes_started_at_once_are_ready_whatever_discovery_does() {
    on_one_thread(async {
        let server = ScriptedServer::start("s0").await;
        for discovery in [Discovery::Down, Discovery::Slow, Discovery::Silent, Discovery::Refused] {
            let discovery_server = start_discovery(discovery).await;
            let config = config_of(discovery_server.at, &[server.host(0, "ready")]);
            let (mut processes, mut waits) = (Vec::new(), Vec::new());
            for n in 0..PROCESSES {
                let started = Instant::now();
                let process = Platform::start(&format!("ready-{discovery:?}-{n}"), &config, None);
                waits.push(spawn_local(ready_after(process.at, started)));
                processes.push(process);
            }
            let mut ready = Vec::new();
            for wait in waits {
                ready.push(wait.await.expect("no panic"));
            }
            ready.sort();
            let (median, ninth, most) =
                (ready[PROCESSES / 2], ready[PROCESSES * 9 / 10 - 1], ready[PROCESSES - 1]);
            println!(
                "{discovery:?}: {PROCESSES} processes, p50 {median:?}, nine in ten {ninth:?}, max {most:?}"
            );
            assert!(ninth < READY_WITHIN, "{discovery:?}: {ready:?}");
        }
    });
}
