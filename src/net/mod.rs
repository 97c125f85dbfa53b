//! Sockets: pooled read buffers, write queues of whole messages, connections, datagrams between peers.

pub mod client_connections;
pub mod conn;
pub mod peers;
pub mod pool;
pub mod queue;
