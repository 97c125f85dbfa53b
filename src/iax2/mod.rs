//! IAX2 signalling (RFC 5456): frames, and the reliable exchange of them on a call leg. The IAX2 front (callers) and
//! the IAX2 upstream (call servers) are both built on this module. It opens no socket and reads no clock.

pub mod auth;
pub mod bounds;
pub mod describe;
pub mod frame;
pub mod leg;
pub mod legs;
pub mod registrant;
pub mod registrar;
pub mod round_trip;
pub mod tokens;
