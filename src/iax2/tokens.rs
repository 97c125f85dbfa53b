//! Call tokens (element 0x36): no state is kept for an address before it has shown that it receives what is sent to
//! it. A token is the time of issue and an HMAC of address and time, so that it can be verified without any stored
//! state. This module opens no socket and reads no clock.

use std::net::{IpAddr, SocketAddr};

use hmac::{Hmac, Mac};
use serde::Deserialize;
use sha2::Sha256;

use crate::interface::{Span, Time};

/// How long a token is valid: enough for a round trip and the retransmissions of the caller.
const VALIDITY: Span = Span::from_millis(10_000);
/// How long each key is used. A token made with an earlier key stays valid, because its time of issue tells the key.
const KEY_PERIOD: Span = Span::from_millis(3_600_000);
/// Bytes of the HMAC in a token: half of those of SHA-256 (RFC 2104, 5).
const MAC_BYTES: usize = 16;
/// Bytes of a token: the time of issue in milliseconds, then the HMAC.
pub const TOKEN_BYTES: usize = 8 + MAC_BYTES;

/// Whether callers must present a token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TokenPolicy {
    /// No token is requested.
    #[default]
    Off,
    /// A token is requested from callers whose NEW shows that they support tokens; others are accepted without.
    Asked,
    /// A token is requested from all callers; those that do not support tokens are rejected.
    Required,
}

/// Why a token is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The length is wrong. Length 0 is a request for a token.
    #[error("call token has {0} bytes instead of {TOKEN_BYTES}")]
    Length(usize),
    /// Issued too long ago, or at a time in the future.
    #[error("call token has expired or was issued in the future")]
    Expired,
    /// Not issued by this controller, or not to this address.
    #[error("call token was not issued to this address")]
    Mismatch,
}

/// Issues and verifies call tokens.
#[derive(Clone)]
pub struct TokenIssuer {
    secret: [u8; 32],
}

impl std::fmt::Debug for TokenIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenIssuer(..)") // without the secret, so that it gets into no log
    }
}

impl TokenIssuer {
    /// Creates an issuer. Its keys are derived from the secret and the hour.
    pub fn new(secret: [u8; 32]) -> TokenIssuer {
        TokenIssuer { secret }
    }

    fn mac(&self, address: SocketAddr, issued_ms: u64) -> Hmac<Sha256> {
        let keyed = |key: &[u8]| {
            Hmac::<Sha256>::new_from_slice(key)
                .unwrap_or_else(|_| unreachable!("HMAC takes a key of any length"))
        };
        // Each hour has its own key: a leaked one does not reveal the next.
        let mut hour_key = keyed(&self.secret);
        hour_key.update(&(issued_ms / (KEY_PERIOD.0 / 1000)).to_be_bytes());
        let mut mac = keyed(&hour_key.finalize().into_bytes());
        match address.ip() {
            IpAddr::V4(ip) => mac.update(&ip.to_ipv6_mapped().octets()),
            IpAddr::V6(ip) => mac.update(&ip.octets()),
        }
        mac.update(&address.port().to_be_bytes());
        mac.update(&issued_ms.to_be_bytes());
        mac
    }

    /// Issues a token to an address.
    pub fn issue(&self, to: SocketAddr, now: Time) -> Vec<u8> {
        let issued_ms = now.0 / 1000;
        let mac = self.mac(to, issued_ms).finalize().into_bytes();
        [&issued_ms.to_be_bytes()[..], &mac[..MAC_BYTES]].concat()
    }

    /// Verifies that a token was issued to this address within the validity time. The HMAC is compared in constant
    /// time.
    pub fn verify(&self, from: SocketAddr, token: &[u8], now: Time) -> Result<(), TokenError> {
        let (issued, mac) = token.split_at_checked(8).ok_or(TokenError::Length(token.len()))?;
        let issued: [u8; 8] = issued.try_into().map_err(|_| TokenError::Length(token.len()))?;
        if mac.len() != MAC_BYTES {
            return Err(TokenError::Length(token.len()));
        }
        let issued_ms = u64::from_be_bytes(issued);
        self.mac(from, issued_ms).verify_truncated_left(mac).map_err(|_| TokenError::Mismatch)?;
        let issued = Time(issued_ms.saturating_mul(1000));
        if issued > now || now.since(issued) > VALIDITY {
            return Err(TokenError::Expired);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(ip: [u8; 4], port: u16) -> SocketAddr {
        SocketAddr::from((ip, port))
    }

    #[test]
    fn a_token_is_valid_only_for_its_address_and_for_ten_seconds() {
        let (issuer, now) = (TokenIssuer::new([7; 32]), Time(1_700_000_000_000_000));
        let here = address([127, 0, 0, 1], 4_569);
        let token = issuer.issue(here, now);
        assert_eq!(token.len(), TOKEN_BYTES);
        let after = |ms| now.plus(Span::from_millis(ms));
        assert_eq!(issuer.verify(here, &token, after(9_999)), Ok(()));
        assert_eq!(issuer.verify(here, &token, after(10_001)), Err(TokenError::Expired));
        assert_eq!(issuer.verify(here, &token, Time(now.0 - 1_000)), Err(TokenError::Expired));
        for other in [address([127, 0, 0, 1], 4_570), address([127, 0, 0, 2], 4_569)] {
            assert_eq!(issuer.verify(other, &token, now), Err(TokenError::Mismatch));
        }
        assert_eq!(TokenIssuer::new([8; 32]).verify(here, &token, now), Err(TokenError::Mismatch));
        for at in 0..TOKEN_BYTES {
            let mut altered = token.clone();
            altered[at] ^= 1;
            assert!(issuer.verify(here, &altered, now).is_err(), "byte {at}");
            assert_eq!(issuer.verify(here, &token[..at], now), Err(TokenError::Length(at)));
        }
    }

    #[test]
    fn a_token_stays_valid_when_the_key_changes() {
        let issuer = TokenIssuer::new([7; 32]);
        let hour = Time(3_600_000_000 * 472_222);
        let (before, after) = (Time(hour.0 - 1_000_000), Time(hour.0 + 1_000_000));
        let here = address([10, 0, 0, 1], 1);
        assert_eq!(issuer.verify(here, &issuer.issue(here, before), after), Ok(()));
        assert_ne!(issuer.issue(here, before)[8..], issuer.issue(here, after)[8..]);
    }
}
