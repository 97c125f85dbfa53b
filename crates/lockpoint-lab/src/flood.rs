//! A flood of forged NEWs that runs beside the regular callers: from many addresses, each with a new call number. It has
//! its own thread, so that its work does not delay the simulated peers. Replies are not read.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lockpoint::iax2::frame::{ie, Elements, Frame, Iax, Kind, MAX_CALL_NUMBER};
use serde::Deserialize;

/// The number of source addresses.
const SOURCE_ADDRESSES: u8 = 200;
/// The interval at which the thread sends the NEWs that are due.
const SEND_INTERVAL: Duration = Duration::from_millis(1);

/// The properties of a flood.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodConfig {
    /// NEWs per second.
    pub rate: f64,
    /// The call token of the NEWs.
    #[serde(default)]
    pub token: CallToken,
}

/// The call token element of a forged NEW.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallToken {
    /// No call token element.
    None,
    /// An empty element, which requests a token.
    #[default]
    Empty,
    /// A token that was never issued.
    Forged,
}

/// A running flood; it stops when this is dropped.
#[derive(Debug)]
pub struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn forged_new(n: u64, token: CallToken) -> Vec<u8> {
    let elements = Elements::default()
        .with(ie::VERSION, &[0, 2])
        .with(ie::CALLED_NUMBER, b"7f3a9c21e0b4d655")
        .with(ie::CALLED_CONTEXT, b"judge-call");
    let elements = match token {
        CallToken::None => elements,
        CallToken::Empty => elements.with(ie::CALLTOKEN, &[]),
        CallToken::Forged => elements.with(ie::CALLTOKEN, &[7; 24]),
    };
    let source = (n / u64::from(SOURCE_ADDRESSES) % u64::from(MAX_CALL_NUMBER)) as u16 + 1;
    let (kind, data, timestamp) = (Kind::Iax(Iax::New), Vec::new(), n as u32);
    Frame { source, dest: 0, retransmitted: false, timestamp, oseq: 0, iseq: 0, kind, elements, data }.bytes()
}

impl Flood {
    /// Starts a flood towards an address.
    pub fn start(config: &FloodConfig, to: SocketAddr) -> std::io::Result<Flood> {
        let from = |n| UdpSocket::bind((Ipv4Addr::new(127, 2, 0, n), 0));
        let sockets = (1..=SOURCE_ADDRESSES).map(from).collect::<std::io::Result<Vec<UdpSocket>>>()?;
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, counted, FloodConfig { rate, token }) = (stop.clone(), sent.clone(), config.clone());
        let thread = std::thread::spawn(move || {
            let (start, mut n) = (Instant::now(), 0_u64);
            while !stopped.load(Ordering::Relaxed) {
                let due = (start.elapsed().as_secs_f64() * rate) as u64;
                while n < due {
                    let address = (n % u64::from(SOURCE_ADDRESSES)) as usize;
                    let _ = sockets[address].send_to(&forged_new(n, token), to);
                    n += 1;
                }
                counted.store(n, Ordering::Relaxed);
                std::thread::sleep(SEND_INTERVAL);
            }
        });
        Ok(Flood { stop, sent, thread: Some(thread) })
    }

    /// Stops the flood and returns how many NEWs were sent.
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
