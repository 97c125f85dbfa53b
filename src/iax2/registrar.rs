//! Who is registered where (RFC 5456, 6.1), until when, and since when he is there. No socket and no clock here.
//!
//! The rules: one place a user. A registration from another address takes the place of the one before, since a machine
//! that moved cannot release its old one; but not within ten seconds of the last such change, so that two machines with
//! one secret do not throw each other out for ever. Who comes back, comes from elsewhere, or registers again long before
//! his time is a process that has just started: cold.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::interface::{Span, Time};

/// What a registration lasts that names no time (RFC 5456, 8.6.18: 60 s).
const USUAL_SECS: u32 = 60;
/// The shortest and the longest that is granted.
const GRANTED_SECS: (u32, u32) = (10, 3_600);
/// It is over when it was not renewed for its time and this share more: the renewal may be under way.
const GRACE: f64 = 0.1;
/// No change of place sooner than this after the last.
const SETTLES_IN: Span = Span::from_millis(10_000);
/// Renewed before this share of its time has passed: its process has started anew.
const EARLY: f64 = 0.3;
/// Users that may be registered at once.
const MOST: usize = 1_024;

/// Where a user is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// His address, as we see it.
    pub address: SocketAddr,
    /// Since when his process is taken to run.
    pub started: Time,
    /// His time is over then.
    pub expires: Time,
    address_changed: Time,
    renewed: Time,
    granted: Span,
}

/// A registration that is not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    /// He was registered from elsewhere a moment ago.
    #[error("registered from another address a moment ago")]
    MovedRecently,
    /// Too many are.
    #[error("too many are registered")]
    TableFull,
}

/// All who are registered.
#[derive(Debug, Default)]
pub struct Registrar(BTreeMap<String, Registration>);

impl Registrar {
    /// Registers a user who has shown that he is one. Returns for how many seconds.
    pub fn register(
        &mut self,
        user: &str,
        address: SocketAddr,
        secs: Option<u32>,
        now: Time,
    ) -> Result<u32, RegisterError> {
        let secs = secs.unwrap_or(USUAL_SECS).clamp(GRANTED_SECS.0, GRANTED_SECS.1);
        let granted = Span::from_millis(u64::from(secs) * 1000);
        let expires = now.plus(granted).plus(granted.scale(GRACE));
        let before = self.0.get(user).filter(|registration| registration.expires > now).copied();
        let fresh =
            Registration { address, started: now, expires, address_changed: now, renewed: now, granted };
        let registration = match before {
            None if self.0.len() >= MOST => return Err(RegisterError::TableFull),
            None => fresh,
            Some(registration)
                if registration.address != address
                    && now.since(registration.address_changed) < SETTLES_IN =>
            {
                return Err(RegisterError::MovedRecently);
            }
            Some(registration) if registration.address != address => fresh,
            Some(registration) if now.since(registration.renewed) < registration.granted.scale(EARLY) => {
                Registration { address_changed: registration.address_changed, ..fresh }
            }
            Some(registration) => Registration { expires, renewed: now, granted, ..registration },
        };
        self.0.insert(user.to_owned(), registration);
        Ok(secs)
    }

    /// A user leaves. From elsewhere than he is, it says nothing of the one who is there.
    pub fn release(&mut self, user: &str, address: SocketAddr) -> bool {
        let here = self.0.get(user).is_some_and(|registration| registration.address == address);
        here && self.0.remove(user).is_some()
    }

    /// Drops those whose time is over, and those who are `known` no longer. `true`: somebody left.
    pub fn expire(&mut self, now: Time, known: impl Fn(&str) -> bool) -> bool {
        let before = self.0.len();
        self.0.retain(|user, registration| registration.expires > now && known(user));
        self.0.len() != before
    }

    /// When the next time is over.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|registration| registration.expires).min()
    }

    /// Who is where.
    pub fn registrations(&self) -> impl Iterator<Item = (&str, &Registration)> {
        self.0.iter().map(|(user, registration)| (user.as_str(), registration))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(secs: u64) -> Time {
        Time(1_000_000 * secs)
    }

    fn place(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn born(registrar: &Registrar) -> Vec<(u16, u64)> {
        registrar
            .registrations()
            .map(|(_, registration)| (registration.address.port(), registration.started.0 / 1_000_000))
            .collect()
    }

    #[test]
    fn a_renewal_keeps_its_age_and_a_return_a_move_and_an_early_one_are_new() {
        let mut registrar = Registrar::default();
        assert_eq!(registrar.register("a", place(1), None, at(100)), Ok(60));
        assert_eq!(registrar.register("a", place(1), None, at(150)), Ok(60));
        assert_eq!(born(&registrar), [(1, 100)]);
        assert_eq!(registrar.register("a", place(1), None, at(155)), Ok(60));
        assert_eq!(born(&registrar), [(1, 155)], "its process has started anew");
        assert_eq!(registrar.register("a", place(2), Some(5), at(200)), Ok(10));
        assert_eq!(born(&registrar), [(2, 200)]);
        assert_eq!(registrar.register("a", place(1), None, at(205)), Err(RegisterError::MovedRecently));
        assert_eq!(registrar.next_deadline(), Some(at(211)));
        assert!(!registrar.expire(at(210), |_| true) && registrar.expire(at(211), |_| true));
        assert_eq!(registrar.register("a", place(2), Some(90_000), at(220)), Ok(3_600));
        assert_eq!(born(&registrar), [(2, 220)]);
    }

    #[test]
    fn a_release_counts_from_its_own_place_and_the_table_is_bounded() {
        let mut registrar = Registrar::default();
        assert_eq!(registrar.register("a", place(1), None, at(1)), Ok(60));
        assert!(!registrar.release("a", place(2)) && registrar.release("a", place(1)));
        assert!(!registrar.release("a", place(1)));
        let told = (0..2_000).filter(|n| registrar.register(&n.to_string(), place(1), None, at(1)).is_ok());
        assert_eq!(told.count(), MOST);
        assert_eq!(registrar.register("5", place(1), None, at(50)), Ok(60), "who is in may renew");
        assert!(registrar.expire(at(50), |user| user == "5"));
        assert_eq!(registrar.registrations().count(), 1);
    }
}
