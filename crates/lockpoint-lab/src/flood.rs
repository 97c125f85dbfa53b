//! A flood of forged NEWs beside honest callers: from many addresses, each with a new call number, by a thread of its own
//! so that the stand-ins' loop is not what is measured. Nobody reads what comes back.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lockpoint::iax2::frame::{ie, Elements, Frame, Iax, Kind, MAX_CALL_NUMBER};
use serde::Deserialize;

/// Addresses that it comes from.
const PLACES: u8 = 200;
/// How often the thread sends what is due.
const EVERY: Duration = Duration::from_millis(1);

/// What a flood is like.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodConfig {
    /// NEWs a second.
    pub rate: f64,
    /// What they bear for a call token.
    #[serde(default)]
    pub token: CallToken,
}

/// What a forged NEW bears for a call token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallToken {
    /// No such element.
    None,
    /// It asks for one.
    #[default]
    Empty,
    /// One that was never given.
    Forged,
}

/// A flood under way; ends with this.
#[derive(Debug)]
pub struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn new(n: u64, shows: CallToken) -> Vec<u8> {
    let elements = Elements::default()
        .with(ie::VERSION, &[0, 2])
        .with(ie::CALLED_NUMBER, b"7f3a9c21e0b4d655")
        .with(ie::CALLED_CONTEXT, b"judge-call");
    let elements = match shows {
        CallToken::None => elements,
        CallToken::Empty => elements.with(ie::CALLTOKEN, &[]),
        CallToken::Forged => elements.with(ie::CALLTOKEN, &[7; 24]),
    };
    let source = (n / u64::from(PLACES) % u64::from(MAX_CALL_NUMBER)) as u16 + 1;
    let (kind, data, timestamp) = (Kind::Iax(Iax::New), Vec::new(), n as u32);
    Frame { source, dest: 0, retransmitted: false, timestamp, oseq: 0, iseq: 0, kind, elements, data }.bytes()
}

impl Flood {
    /// Starts one towards an address.
    pub fn start(config: &FloodConfig, to: SocketAddr) -> std::io::Result<Flood> {
        let from = |n| UdpSocket::bind((Ipv4Addr::new(127, 2, 0, n), 0));
        let sockets = (1..=PLACES).map(from).collect::<std::io::Result<Vec<UdpSocket>>>()?;
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, counted, FloodConfig { rate, token }) = (stop.clone(), sent.clone(), config.clone());
        let thread = std::thread::spawn(move || {
            let (start, mut n) = (Instant::now(), 0_u64);
            while !stopped.load(Ordering::Relaxed) {
                let due = (start.elapsed().as_secs_f64() * rate) as u64;
                while n < due {
                    let place = (n % u64::from(PLACES)) as usize;
                    let _ = sockets[place].send_to(&new(n, token), to);
                    n += 1;
                }
                counted.store(n, Ordering::Relaxed);
                std::thread::sleep(EVERY);
            }
        });
        Ok(Flood { stop, sent, thread: Some(thread) })
    }

    /// Ends it: how many were sent.
    pub fn stop(&mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.sent.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop();
    }
}
