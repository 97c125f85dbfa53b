//! Call tokens (element 0x36): nothing is kept for an address before it has shown that it hears what is sent to it. A
//! token is the time and an HMAC of address and time, so that nothing need be remembered to know it again. No socket and
//! no clock here.

use std::net::{IpAddr, SocketAddr};

use hmac::{Hmac, Mac};
use serde::Deserialize;
use sha2::Sha256;

use crate::interface::{Span, Time};

/// A token is good for so long after it was given: a caller has a round trip, and its retransmissions, to show it.
const GOOD_FOR: Span = Span::from_millis(10_000);
/// Each key serves for so long; one that was given under the last key is still known.
const KEY_LIFE: Span = Span::from_millis(3_600_000);
/// Bytes of the HMAC that a token carries: as many as the half of SHA-256 (RFC 2104, 5).
const MAC: usize = 16;
/// Bytes of a token: milliseconds of its making, then the HMAC.
pub const LENGTH: usize = 8 + MAC;

/// Whether callers must show a token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TokenPolicy {
    /// None is asked for.
    #[default]
    Off,
    /// From callers whose NEW says that they know of tokens; others are taken as they are.
    Asked,
    /// From all; who knows of none is rejected.
    Required,
}

/// A token that lets nobody in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It has not the length of one.
    #[error("a call token of {0} bytes, where one has {LENGTH}")]
    Length(usize),
    /// It was given too long ago, or bears a time to come.
    #[error("a call token that is not of now")]
    Expired,
    /// It was not given here, or not to this address.
    #[error("a call token that was not given to this address")]
    Mismatch,
}

/// What makes tokens and knows them again.
#[derive(Clone)]
pub struct TokenIssuer {
    secret: [u8; 32],
}

impl std::fmt::Debug for TokenIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenIssuer(..)") // its secret goes to no log
    }
}

impl TokenIssuer {
    /// One with a secret that nobody else knows. Its keys follow from the secret and the hour.
    pub fn new(secret: [u8; 32]) -> TokenIssuer {
        TokenIssuer { secret }
    }

    fn mac(&self, to: SocketAddr, made_ms: u64) -> Hmac<Sha256> {
        let keyed =
            |key: &[u8]| Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("any length"));
        // The key of the hour: one that leaks tells nothing of the next.
        let mut hour = keyed(&self.secret);
        hour.update(&(made_ms / (KEY_LIFE.0 / 1000)).to_be_bytes());
        let mut mac = keyed(&hour.finalize().into_bytes());
        match to.ip() {
            IpAddr::V4(ip) => mac.update(&ip.to_ipv6_mapped().octets()),
            IpAddr::V6(ip) => mac.update(&ip.octets()),
        }
        mac.update(&to.port().to_be_bytes());
        mac.update(&made_ms.to_be_bytes());
        mac
    }

    /// A token for an address.
    pub fn issue(&self, to: SocketAddr, now: Time) -> Vec<u8> {
        let made_ms = now.0 / 1000;
        let mac = self.mac(to, made_ms).finalize().into_bytes();
        [&made_ms.to_be_bytes()[..], &mac[..MAC]].concat()
    }

    /// Whether a token was given to this address a moment ago. Compared in constant time.
    pub fn verify(&self, from: SocketAddr, token: &[u8], now: Time) -> Result<(), TokenError> {
        let (made, mac) = token.split_at_checked(8).ok_or(TokenError::Length(token.len()))?;
        let made: [u8; 8] = made.try_into().map_err(|_| TokenError::Length(token.len()))?;
        if mac.len() != MAC {
            return Err(TokenError::Length(token.len()));
        }
        let made_ms = u64::from_be_bytes(made);
        self.mac(from, made_ms).verify_truncated_left(mac).map_err(|_| TokenError::Mismatch)?;
        let made = Time(made_ms.saturating_mul(1000));
        if made > now || now.since(made) > GOOD_FOR {
            return Err(TokenError::Expired);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(ip: [u8; 4], port: u16) -> SocketAddr {
        SocketAddr::from((ip, port))
    }

    #[test]
    fn a_token_is_good_for_its_address_and_its_time_alone() {
        let (minter, now) = (TokenIssuer::new([7; 32]), Time(1_700_000_000_000_000));
        let here = place([127, 0, 0, 1], 4_569);
        let token = minter.issue(here, now);
        assert_eq!(token.len(), LENGTH);
        let after = |ms| now.plus(Span::from_millis(ms));
        assert_eq!(minter.verify(here, &token, after(9_999)), Ok(()));
        assert_eq!(minter.verify(here, &token, after(10_001)), Err(TokenError::Expired));
        assert_eq!(minter.verify(here, &token, Time(now.0 - 1_000)), Err(TokenError::Expired));
        for other in [place([127, 0, 0, 1], 4_570), place([127, 0, 0, 2], 4_569)] {
            assert_eq!(minter.verify(other, &token, now), Err(TokenError::Mismatch));
        }
        assert_eq!(TokenIssuer::new([8; 32]).verify(here, &token, now), Err(TokenError::Mismatch));
        for at in 0..LENGTH {
            let mut bent = token.clone();
            bent[at] ^= 1;
            assert!(minter.verify(here, &bent, now).is_err(), "byte {at}");
            assert_eq!(minter.verify(here, &token[..at], now), Err(TokenError::Length(at)));
        }
    }

    #[test]
    fn a_token_outlives_the_hour_of_its_key() {
        let minter = TokenIssuer::new([7; 32]);
        let hour = Time(3_600_000_000 * 472_222);
        let (before, after) = (Time(hour.0 - 1_000_000), Time(hour.0 + 1_000_000));
        let here = place([10, 0, 0, 1], 1);
        assert_eq!(minter.verify(here, &minter.issue(here, before), after), Ok(()));
        assert_ne!(minter.issue(here, before)[8..], minter.issue(here, after)[8..]);
    }
}
