//! The scale run: how the control traffic of a large fleet behaves while machines, links and whole regions fail.
//!
//! Hollow controllers (the very `lockpoint::core` and `lockpoint::fleet`, without sockets) run many in one process and in
//! simulated time; call servers, links and directories are the laboratory's stand-ins. Beside them some real processes
//! take calls and see the whole fleet's control traffic over loopback, in real time. What is counted is counted by the
//! links and the stand-ins.

pub mod address;
pub mod arrivals;
pub mod bounds;
pub mod chart;
pub mod control_plane;
pub mod controller;
pub mod directory;
pub mod links;
pub mod options;
pub mod real;
pub mod real_links;
pub mod replicated;
pub mod report;
pub mod run;
pub mod scenario;
pub mod servers;
pub mod services;
pub mod simulation;
pub mod spread;
pub mod topology;
pub mod traffic;

pub use options::Options;
pub use run::run;
