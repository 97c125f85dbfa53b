//! Fleets of controllers under faults: the production code that exchanges observations between controllers, mostly run in
//! virtual time.

pub mod cold;
pub mod cold_budget;
pub mod core_simulation;
pub mod crash;
pub mod limits;
pub mod mesh;
pub mod processes;
pub mod real;
pub mod sim;
