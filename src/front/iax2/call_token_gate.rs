//! Decides which new IAX2 calls are admitted. Where call tokens are required, no state is kept for an address
//! before it has returned a token.
//!
//! Holds no sockets and reads no clock.

use std::net::SocketAddr;

use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::tokens::{TokenError, TokenIssuer, TokenPolicy};
use crate::interface::Time;

/// Q.850: call rejected.
const CAUSE_REJECTED: u8 = 21;
/// Source call number of replies that belong to no call here.
const NO_CALL: u16 = 1;

/// Decision on a NEW.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted.
    Admitted,
    /// It gets this reply, and no state is kept.
    Reply(Frame),
    /// The sender's address cannot be genuine; it gets no reply.
    Dropped(TokenError),
}

/// Checks call tokens of new calls.
#[derive(Debug, Clone)]
pub struct CallTokenGate {
    tokens: TokenPolicy,
    issuer: TokenIssuer,
}

/// A reply to a NEW for which no state is kept (RFC 5456, 7.1: it uses no sequence number that matters
/// later).
pub(super) fn reply(new: &Frame, iax: Iax, elements: Elements) -> Frame {
    Frame { source: NO_CALL, kind: Kind::Iax(iax), elements, ..new.inval() }
}

impl CallTokenGate {
    /// `secret` signs the tokens and must be known to nobody else.
    pub fn new(tokens: TokenPolicy, secret: [u8; 32]) -> CallTokenGate {
        CallTokenGate { tokens, issuer: TokenIssuer::new(secret) }
    }

    /// Changes the policy. Tokens already issued stay valid.
    pub fn reconfigure(&mut self, tokens: TokenPolicy) {
        self.tokens = tokens;
    }

    /// Checks the first frame of an unknown call.
    pub fn check(&self, from: SocketAddr, new: &Frame, now: Time) -> Admission {
        let shown = match (self.tokens, new.elements.get(ie::CALLTOKEN)) {
            (TokenPolicy::Off, _) | (TokenPolicy::Asked, None) => return Admission::Admitted,
            (TokenPolicy::Required, None) => {
                let elements = Elements::default()
                    .with(ie::CAUSE, b"a call token is required")
                    .with(ie::CAUSE_CODE, &[CAUSE_REJECTED]);
                let reject = if new.kind == Kind::Iax(Iax::New) { Iax::Reject } else { Iax::RegRej };
                return Admission::Reply(reply(new, reject, elements));
            }
            (_, Some(shown)) => shown,
        };
        match self.issuer.verify(from, shown, now) {
            Ok(()) => Admission::Admitted,
            // The caller asks for a token or shows an expired one: it gets a new one, and must receive it at
            // its address.
            Err(TokenError::Expired | TokenError::Length(0)) => {
                let elements = Elements::default().with(ie::CALLTOKEN, &self.issuer.issue(from, now));
                Admission::Reply(reply(new, Iax::CallToken, elements))
            }
            Err(error) => Admission::Dropped(error),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Span;

    fn new(elements: Elements) -> Frame {
        let (kind, data) = (Kind::Iax(Iax::New), Vec::new());
        Frame {
            source: 9,
            dest: 0,
            retransmitted: false,
            timestamp: 3,
            oseq: 0,
            iseq: 0,
            kind,
            elements,
            data,
        }
    }

    fn new_with_token(token: &[u8]) -> Frame {
        new(Elements::default().with(ie::CALLED_NUMBER, b"7").with(ie::CALLTOKEN, token))
    }

    #[test]
    fn a_requested_token_admits_its_address_until_it_expires() {
        let (from, now) = (SocketAddr::from(([127, 0, 0, 1], 7)), Time(1_700_000_000_000_000));
        let plain = new(Elements::default());
        for (tokens, without) in
            [(TokenPolicy::Off, true), (TokenPolicy::Asked, true), (TokenPolicy::Required, false)]
        {
            let mut gate = CallTokenGate::new(TokenPolicy::Off, [1; 32]);
            gate.reconfigure(tokens);
            let admission = gate.check(from, &plain, now);
            assert_eq!(admission == Admission::Admitted, without, "{tokens:?}");
            if let Admission::Reply(reject) = admission {
                assert_eq!((reject.kind, reject.dest, reject.iseq), (Kind::Iax(Iax::Reject), 9, 1));
            }
            let Admission::Reply(given) = gate.check(from, &new_with_token(b""), now) else {
                assert_eq!(tokens, TokenPolicy::Off);
                continue;
            };
            assert_eq!((given.kind, given.dest), (Kind::Iax(Iax::CallToken), 9));
            // The reply is not longer than the request, so the gate cannot be used for amplification.
            assert!(given.bytes().len() <= 48);
            let token = given.elements.get(ie::CALLTOKEN).expect("a token");
            assert_eq!(gate.check(from, &new_with_token(token), now), Admission::Admitted);
            let elsewhere = SocketAddr::from(([127, 0, 0, 2], 7));
            assert_eq!(
                gate.check(elsewhere, &new_with_token(token), now),
                Admission::Dropped(TokenError::Mismatch)
            );
            let later = now.plus(Span::from_millis(60_000));
            assert!(matches!(gate.check(from, &new_with_token(token), later), Admission::Reply(_)));
            assert_eq!(
                gate.check(from, &new_with_token(&token[1..]), now),
                Admission::Dropped(TokenError::Length(23))
            );
        }
    }
}
