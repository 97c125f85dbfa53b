//! Registrations (RFC 5456, 6.1): which user is registered at which address, until when, and since when its process
//! runs. This module opens no socket and reads no clock.
//!
//! A user has one address. A registration from another address replaces the one before, since a call server that
//! moved cannot release its old registration; but not within ten seconds of the last change of address, so that two
//! call servers with one secret do not displace each other for ever. A user that returns, comes from another address,
//! or registers again long before its registration expires is taken for a process that has just started, and is cold.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::interface::{Span, Time};

/// The time granted where none is requested (RFC 5456, 8.6.18: 60 s).
const DEFAULT_SECS: u32 = 60;
/// The shortest and the longest time granted.
const GRANTED_SECS: (u32, u32) = (10, 3_600);
/// A registration expires this fraction of the granted time late, because its renewal may be in transit.
const GRACE_FRACTION: f64 = 0.1;
/// The shortest time between two changes of address.
const MIN_TIME_BETWEEN_MOVES: Span = Span::from_millis(10_000);
/// A renewal before this fraction of the granted time means that the process has restarted.
const EARLY_FRACTION: f64 = 0.3;
/// Users that may be registered at the same time.
const MAX_REGISTRATIONS: usize = 1_024;

/// The registration of one user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The address that the registration came from.
    pub address: SocketAddr,
    /// When the process of the user is taken to have started.
    pub started: Time,
    /// When the registration expires unless renewed.
    pub expires: Time,
    address_changed: Time,
    renewed: Time,
    granted: Span,
}

/// Why a registration is not granted. The text is sent to the registrant in CAUSE.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    /// The user was registered from another address a moment ago.
    #[error("registered from another address a moment ago")]
    MovedRecently,
    /// Too many users are registered.
    #[error("too many are registered")]
    TableFull,
}

/// All current registrations, by user.
#[derive(Debug, Default)]
pub struct Registrar(BTreeMap<String, Registration>);

impl Registrar {
    /// Registers a user that is already authenticated. Returns the granted time in seconds.
    pub fn register(
        &mut self,
        user: &str,
        address: SocketAddr,
        secs: Option<u32>,
        now: Time,
    ) -> Result<u32, RegisterError> {
        let secs = secs.unwrap_or(DEFAULT_SECS).clamp(GRANTED_SECS.0, GRANTED_SECS.1);
        let granted = Span::from_millis(u64::from(secs) * 1000);
        let expires = now.plus(granted).plus(granted.scale(GRACE_FRACTION));
        let before = self.0.get(user).filter(|registration| registration.expires > now).copied();
        let fresh =
            Registration { address, started: now, expires, address_changed: now, renewed: now, granted };
        let registration = match before {
            None if self.0.len() >= MAX_REGISTRATIONS => return Err(RegisterError::TableFull),
            None => fresh,
            Some(registration)
                if registration.address != address
                    && now.since(registration.address_changed) < MIN_TIME_BETWEEN_MOVES =>
            {
                return Err(RegisterError::MovedRecently);
            }
            Some(registration) if registration.address != address => fresh,
            Some(registration)
                if now.since(registration.renewed) < registration.granted.scale(EARLY_FRACTION) =>
            {
                Registration { address_changed: registration.address_changed, ..fresh }
            }
            Some(registration) => Registration { expires, renewed: now, granted, ..registration },
        };
        self.0.insert(user.to_owned(), registration);
        Ok(secs)
    }

    /// Removes the registration of a user, if it came from this address; one from another address stays.
    pub fn release(&mut self, user: &str, address: SocketAddr) -> bool {
        let registered_here = self.0.get(user).is_some_and(|registration| registration.address == address);
        registered_here && self.0.remove(user).is_some()
    }

    /// Removes registrations that have expired, and those of users that are no longer `known`. Returns whether any was
    /// removed.
    pub fn expire(&mut self, now: Time, known: impl Fn(&str) -> bool) -> bool {
        let before = self.0.len();
        self.0.retain(|user, registration| registration.expires > now && known(user));
        self.0.len() != before
    }

    /// When the next registration expires.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|registration| registration.expires).min()
    }

    /// All registrations with their users.
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

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn started(registrar: &Registrar) -> Vec<(u16, u64)> {
        registrar
            .registrations()
            .map(|(_, registration)| (registration.address.port(), registration.started.0 / 1_000_000))
            .collect()
    }

    #[test]
    fn a_renewal_keeps_the_start_time_and_a_return_a_move_or_an_early_renewal_sets_it_anew() {
        let mut registrar = Registrar::default();
        assert_eq!(registrar.register("a", address(1), None, at(100)), Ok(60));
        assert_eq!(registrar.register("a", address(1), None, at(150)), Ok(60));
        assert_eq!(started(&registrar), [(1, 100)]);
        assert_eq!(registrar.register("a", address(1), None, at(155)), Ok(60));
        assert_eq!(started(&registrar), [(1, 155)], "an early renewal means that the process has restarted");
        assert_eq!(registrar.register("a", address(2), Some(5), at(200)), Ok(10));
        assert_eq!(started(&registrar), [(2, 200)]);
        assert_eq!(registrar.register("a", address(1), None, at(205)), Err(RegisterError::MovedRecently));
        assert_eq!(registrar.next_deadline(), Some(at(211)));
        assert!(!registrar.expire(at(210), |_| true) && registrar.expire(at(211), |_| true));
        assert_eq!(registrar.register("a", address(2), Some(90_000), at(220)), Ok(3_600));
        assert_eq!(started(&registrar), [(2, 220)]);
    }

    #[test]
    fn a_release_works_only_from_the_registered_address_and_the_table_is_bounded() {
        let mut registrar = Registrar::default();
        assert_eq!(registrar.register("a", address(1), None, at(1)), Ok(60));
        assert!(!registrar.release("a", address(2)) && registrar.release("a", address(1)));
        assert!(!registrar.release("a", address(1)));
        let registered =
            (0..2_000).filter(|n| registrar.register(&n.to_string(), address(1), None, at(1)).is_ok());
        assert_eq!(registered.count(), MAX_REGISTRATIONS);
        assert_eq!(
            registrar.register("5", address(1), None, at(50)),
            Ok(60),
            "a registered user may renew even when the table is full"
        );
        assert!(registrar.expire(at(50), |user| user == "5"));
        assert_eq!(registrar.registrations().count(), 1);
    }
}
