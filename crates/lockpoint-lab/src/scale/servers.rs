//! The call servers of a scale run: processors that start cold, and counters of the load on them while they are cold.

use lockpoint::core::{
    AttemptError, DirectoryEntry, Progress, Protocol, Refusal, ServerEvent, TransportError,
};
use lockpoint::interface::{Cause, Cell, ServerState, Span, Time};
use std::net::SocketAddr;

use crate::processor::{Admission, Processor, ProcessorConfig};

/// Time until a connection to a call server that is down fails.
const REFUSED_AFTER: Span = Span::from_millis(2);
/// The port of every call server; its number is in its address.
const PORT: u16 = 5_060;

/// Load on cold call servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdCounts {
    /// Set-ups sent to them.
    pub set_ups: u64,
    /// Highest load within the overload window, as a share of N + 2 sqrt(N) + 2 for a budget of N calls.
    pub max_budget_share: f64,
    /// Call servers that failed under overload.
    pub failed_servers: u64,
}

struct Server {
    processor: Processor,
    entry: DirectoryEntry,
    down: bool,
}

/// All call servers.
pub struct Servers {
    each: Vec<Server>,
    config: ProcessorConfig,
    /// Counters of the load on cold call servers.
    pub cold: ColdCounts,
}

/// The address of a call server.
fn address_of_server(server: u16) -> SocketAddr {
    let [high, low] = server.to_be_bytes();
    SocketAddr::from(([127, 1, high, low], PORT))
}

/// The call server at an address.
pub fn server_at(address: SocketAddr) -> Option<u16> {
    match address {
        SocketAddr::V4(address) => {
            let [.., high, low] = address.ip().octets();
            Some(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => None,
    }
}

impl Servers {
    /// `count` call servers, all warm and ready.
    pub fn new(count: u16, config: ProcessorConfig, seed: u64) -> Servers {
        let server = |number: u16| Server {
            processor: Processor::new(config, seed.wrapping_add(u64::from(number))),
            entry: DirectoryEntry {
                host: format!("s{number}"),
                address: address_of_server(number),
                protocol: Protocol::Sip,
                cell: Cell(number),
                zone: 0,
                started_ms: 0,
                state: ServerState::Ready,
            },
            down: false,
        };
        Servers { each: (0..count).map(server).collect(), config, cold: ColdCounts::default() }
    }

    /// Number of call servers.
    pub fn count(&self) -> u16 {
        self.each.len() as u16
    }

    /// All directory entries.
    pub fn entries(&self) -> Vec<DirectoryEntry> {
        self.each.iter().map(|server| server.entry.clone()).collect()
    }

    /// The directory entry of one call server.
    pub fn entry(&self, server: u16) -> DirectoryEntry {
        self.each[usize::from(server)].entry.clone()
    }

    /// Ends a call server's process.
    pub fn kill(&mut self, server: u16) {
        let server = &mut self.each[usize::from(server)];
        server.down = true;
        server.entry.state = ServerState::Gone;
    }

    /// Starts a call server again, cold.
    pub fn start(&mut self, now: Time, server: u16) {
        let server = &mut self.each[usize::from(server)];
        server.processor.start(now);
        server.down = false;
        server.entry.started_ms = now.0 / 1_000;
        server.entry.state = ServerState::Ready;
    }

    /// Drains a call server: its directory entry reports that it takes no new calls.
    pub fn drain(&mut self, server: u16) {
        self.each[usize::from(server)].entry.state = ServerState::Draining;
    }

    /// Handles a set-up; returns the call server's reply and its time.
    pub fn offer(&mut self, now: Time, number: u16) -> (Time, ServerEvent) {
        let server = &mut self.each[usize::from(number)];
        if server.down {
            return (now.plus(REFUSED_AFTER), not_connected());
        }
        let share = server.processor.capacity_share(now);
        let offer = server.processor.offer(now);
        if share < 1.0 {
            let budget = self.config.overload_factor * self.config.capacity * share * self.window_seconds();
            let sent = self.each[usize::from(number)].processor.overload_share(now) * budget;
            let allowed = budget + 2.0 * budget.sqrt() + 2.0;
            self.cold.set_ups += 1;
            self.cold.max_budget_share = self.cold.max_budget_share.max(sent / allowed);
        }
        match offer {
            Admission::Accepted(at) => (at, ServerEvent::Answered("y".into())),
            Admission::Rejected(at, wait) => {
                (at, ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(wait), Vec::new()))
            }
            Admission::Crashed => {
                self.each[usize::from(number)].down = true;
                self.cold.failed_servers += 1;
                (now.plus(REFUSED_AFTER), not_connected())
            }
        }
    }

    /// Ends an established call; returns when its release is confirmed.
    pub fn release(&mut self, now: Time, server: u16) -> Time {
        self.each[usize::from(server)].processor.release(now)
    }

    fn window_seconds(&self) -> f64 {
        self.config.tip_ms as f64 / 1_000.0
    }
}

fn not_connected() -> ServerEvent {
    ServerEvent::Lost(AttemptError { error: TransportError::ConnectFailed, progress: Progress::NotConnected })
}
