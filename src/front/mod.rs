//! The callers' wires.

pub mod iax2;
pub mod jsonl;
