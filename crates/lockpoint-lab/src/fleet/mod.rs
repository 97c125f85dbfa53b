//! Fleets of controllers under faults: the very code that tells them what the others saw, on driven time.

pub mod cold;
pub mod cold_budget;
pub mod core_simulation;
pub mod crash;
pub mod limits;
pub mod mesh;
pub mod processes;
pub mod real;
pub mod sim;
