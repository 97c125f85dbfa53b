//! Fleets of controllers under faults: the very code that tells them what the others saw, on driven time.

pub mod cold;
pub mod cold_budget;
pub mod crash;
pub mod driven;
pub mod limits;
pub mod mesh;
pub mod processes;
pub mod real;
pub mod sim;
