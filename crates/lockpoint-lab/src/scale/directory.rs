//! Model of the directories on the central servers, to which every controller keeps a long poll. It counts their
//! connections and the bytes of their answers; no process is started.

use lockpoint::core::DirectoryEntry;

use crate::bulletin;

/// Number of central servers while all regions are reachable.
pub const CENTRAL_SERVERS: u16 = 6;
/// Number of central servers that remain reachable when a region is cut off.
pub const SERVERS_AFTER_REGION_LOSS: u16 = 3;

/// Counters of the directories on the central servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directories {
    /// Connections by central server.
    connections: Vec<u64>,
    /// Highest number of connections of one central server.
    pub max_connections: u64,
    /// Bytes of answers sent by each central server.
    pub bytes_out: Vec<u64>,
}

impl Directories {
    /// All central servers, without connections.
    pub fn new() -> Directories {
        let servers = usize::from(CENTRAL_SERVERS);
        Directories { connections: vec![0; servers], max_connections: 0, bytes_out: vec![0; servers] }
    }

    /// Distributes the controllers' connections over the first `servers` central servers.
    pub fn connect(&mut self, controllers: u16, servers: u16) {
        self.connections.fill(0);
        for controller in 0..controllers {
            self.connections[usize::from(controller % servers)] += 1;
        }
        let most = self.connections.iter().copied().max().unwrap_or(0);
        self.max_connections = self.max_connections.max(most);
    }

    /// Counts an answer with these entries to a controller.
    pub fn answer(&mut self, controller: u16, entries: &[DirectoryEntry]) {
        let server = usize::from(controller) % self.bytes_out.len();
        self.bytes_out[server] += entries.iter().map(entry_bytes).sum::<u64>();
    }
}

fn entry_bytes(entry: &DirectoryEntry) -> u64 {
    bulletin::list_entry(&entry.host, entry.address, entry.cell.0, "ready").to_string().len() as u64
}
