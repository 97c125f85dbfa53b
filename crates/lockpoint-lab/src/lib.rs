//! lockpoint's laboratory: simulated callers, call servers and directories, experiments with them, and a checker that
//! verifies the controller's rules from the events at these simulated peers.
//!
//! The models (a processor, a datagram path, the callers' arrivals) and the checker use no socket and read no clock. The
//! simulated peers connect them to loopback sockets, on free ports unless an address is given. They all run on one
//! thread, in a `LocalSet`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod bench;
pub mod bulletin;
pub mod callers;
pub mod demo;
pub mod event_log;
pub mod experiment;
pub mod fleet;
pub mod flood;
pub mod iax2;
pub mod load;
pub mod path;
pub mod ports;
pub mod processor;
pub mod relay;
pub mod resolver;
pub mod results;
pub mod run;
pub mod scale;
pub mod server_model;
pub mod sip;
pub mod soak;
pub mod under_test;
