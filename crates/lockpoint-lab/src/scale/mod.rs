//! The scale run: how the control traffic of a large fleet behaves while call servers, controllers, links and whole regions fail.
//!
//! Simulated controllers (the program's `lockpoint::core` and `lockpoint::fleet`, without sockets) run in one process and in
//! simulated time; call servers, links and directories are models of the laboratory. Real processes can run beside them in
//! real time: they take calls and receive the whole fleet's control traffic over loopback. The links and the models count
//! what is reported.

pub mod address;
pub mod arrivals;
pub mod bounds;
pub mod chart;
pub mod control_plane;
pub mod controller;
pub mod directory;
pub mod links;
pub mod options;
pub mod propagation;
pub mod real;
pub mod real_links;
pub mod replicated;
pub mod report;
pub mod run;
pub mod scenario;
pub mod servers;
pub mod services;
pub mod simulation;
pub mod topology;
pub mod traffic;

pub use options::Options;
pub use run::run;
