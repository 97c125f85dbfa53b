//! The centre as it is today: directories to which every controller holds a long poll. A stand-in counts their
//! connections and the bytes of their answers; it is a model, no process.

use lockpoint::core::DirectoryEntry;

use crate::bulletin;

/// Machines of the centre while all regions are there.
pub const MACHINES: u16 = 6;
/// Machines that are left when a region is gone.
pub const MACHINES_LEFT: u16 = 3;

/// The machines of the centre and what they did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directories {
    /// Connections by machine.
    connections: Vec<u64>,
    /// The most connections that one machine had.
    pub most_connections: u64,
    /// Bytes that each machine has written in answers.
    pub bytes_out: Vec<u64>,
}

impl Directories {
    /// All machines there, nobody connected.
    pub fn new() -> Directories {
        let machines = usize::from(MACHINES);
        Directories { connections: vec![0; machines], most_connections: 0, bytes_out: vec![0; machines] }
    }

    /// Spreads this many connections over the first `machines` machines.
    pub fn connect(&mut self, controllers: u16, machines: u16) {
        self.connections.fill(0);
        for controller in 0..controllers {
            self.connections[usize::from(controller % machines)] += 1;
        }
        let most = self.connections.iter().copied().max().unwrap_or(0);
        self.most_connections = self.most_connections.max(most);
    }

    /// An answer with these lines goes to a controller.
    pub fn answer(&mut self, controller: u16, lines: &[DirectoryEntry]) {
        let machine = usize::from(controller) % self.bytes_out.len();
        self.bytes_out[machine] += lines.iter().map(line_bytes).sum::<u64>();
    }
}

fn line_bytes(line: &DirectoryEntry) -> u64 {
    bulletin::list_entry(&line.host, line.address, line.cell.0, "ready").to_string().len() as u64
}
