//! The core, driven by given times.
