//! IAX2 callers.
