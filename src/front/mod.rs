//! Protocol adapters towards callers.

pub mod iax2;
pub mod jsonl;
