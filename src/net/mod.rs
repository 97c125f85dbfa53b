//! Sockets: buffers of one size from a pool, queues of whole messages to write, connections, peer datagrams.

pub mod client_connections;
pub mod conn;
pub mod peers;
pub mod pool;
pub mod queue;
