//! lockpoint's laboratory: stand-ins for all that a controller talks to, experiments with them, and a checker that
//! counts the rules from what the stand-ins saw.
//!
//! What decides (a processor, a datagram path, the callers' arrivals, the checker) knows no socket and reads no clock.
//! The stand-ins put it on loopback sockets, on ports that the system picks unless an address is given. All of them run
//! on one thread, in a `LocalSet`.

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
pub mod processor;
pub mod relay;
pub mod resolver;
pub mod results;
pub mod run;
pub mod scale;
pub mod server_model;
pub mod sip;
pub mod under_test;
