//! The call servers of a scale run: processors that start cold, and the count of what they were sent meanwhile.

use lockpoint::core::{
    AttemptError, DirectoryEntry, Progress, Protocol, Refusal, ServerEvent, TransportError,
};
use lockpoint::interface::{Cause, Cell, ServerState, Span, Time};
use std::net::SocketAddr;

use crate::processor::{Admission, Processor, ProcessorConfig};

/// How long a connection to a call server that is not there takes to fail.
const REFUSED_AFTER: Span = Span::from_millis(2);
/// The port of every call server; its number is in its address.
const PORT: u16 = 5_060;

/// What cold call servers were sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdCounts {
    /// Set-ups.
    pub set_ups: u64,
    /// The most within the rule's window, as a share of N + 2 sqrt(N) + 2 for a budget of N calls.
    pub most_of_budget: f64,
    /// Call servers that fell over.
    pub fell: u64,
}

struct Server {
    processor: Processor,
    line: DirectoryEntry,
    down: bool,
}

/// All call servers.
pub struct Servers {
    each: Vec<Server>,
    config: ProcessorConfig,
    /// What was counted so far.
    pub cold: ColdCounts,
}

/// The address of a call server.
fn dial_of(server: u16) -> SocketAddr {
    let [high, low] = server.to_be_bytes();
    SocketAddr::from(([127, 1, high, low], PORT))
}

/// The call server at an address.
pub fn server_at(dial: SocketAddr) -> Option<u16> {
    match dial {
        SocketAddr::V4(dial) => {
            let [.., high, low] = dial.ip().octets();
            Some(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => None,
    }
}

impl Servers {
    /// So many, all warm and ready.
    pub fn new(count: u16, config: ProcessorConfig, seed: u64) -> Servers {
        let server = |number: u16| Server {
            processor: Processor::new(config, seed.wrapping_add(u64::from(number))),
            line: DirectoryEntry {
                host: format!("s{number}"),
                address: dial_of(number),
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

    /// How many there are.
    pub fn count(&self) -> u16 {
        self.each.len() as u16
    }

    /// All lines of the directory.
    pub fn lines(&self) -> Vec<DirectoryEntry> {
        self.each.iter().map(|server| server.line.clone()).collect()
    }

    /// The line of one call server.
    pub fn line(&self, server: u16) -> DirectoryEntry {
        self.each[usize::from(server)].line.clone()
    }

    /// Its process ends.
    pub fn kill(&mut self, server: u16) {
        let server = &mut self.each[usize::from(server)];
        server.down = true;
        server.line.state = ServerState::Gone;
    }

    /// It is there again, and cold.
    pub fn start(&mut self, now: Time, server: u16) {
        let server = &mut self.each[usize::from(server)];
        server.processor.start(now);
        server.down = false;
        server.line.started_ms = now.0 / 1_000;
        server.line.state = ServerState::Ready;
    }

    /// Its directory says that it takes no new calls.
    pub fn drain(&mut self, server: u16) {
        self.each[usize::from(server)].line.state = ServerState::Draining;
    }

    /// A set-up reaches it: when it says what.
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
            self.cold.most_of_budget = self.cold.most_of_budget.max(sent / allowed);
        }
        match offer {
            Admission::Accepted(at) => (at, ServerEvent::Answered("y".into())),
            Admission::Rejected(at, wait) => {
                (at, ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(wait), Vec::new()))
            }
            Admission::Crashed => {
                self.each[usize::from(number)].down = true;
                self.cold.fell += 1;
                (now.plus(REFUSED_AFTER), not_connected())
            }
        }
    }

    /// A call that stood ends: when its release is said.
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
