//! Whom the front lets in: nothing is kept for an address before it has shown a call token, where those are asked for.
//! No socket and no clock here.

use std::net::SocketAddr;

use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::tokens::{TokenError, TokenIssuer, TokenPolicy};
use crate::interface::Time;

/// Q.850: the call is rejected.
const CAUSE_REJECTED: u8 = 21;
/// The number that answers bear which belong to no call here.
const NO_CALL: u16 = 1;

/// What becomes of a NEW.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Admitted,
    /// It is answered, and forgotten.
    Reply(Frame),
    /// Whoever sent it cannot be who he says: he gets no answer.
    Dropped(TokenError),
}

/// The door.
#[derive(Debug, Clone)]
pub struct CallTokenGate {
    tokens: TokenPolicy,
    minter: TokenIssuer,
}

/// An answer to a NEW that nothing is kept of (RFC 5456, 7.1: it takes no sequence number that anything goes by).
pub(super) fn answer(new: &Frame, iax: Iax, elements: Elements) -> Frame {
    Frame { source: NO_CALL, kind: Kind::Iax(iax), elements, ..new.inval() }
}

impl CallTokenGate {
    /// A door that asks for tokens or not; `secret` is known to nobody else.
    pub fn new(tokens: TokenPolicy, secret: [u8; 32]) -> CallTokenGate {
        CallTokenGate { tokens, minter: TokenIssuer::new(secret) }
    }

    /// From now on it asks for tokens or not. Those that were given stay good.
    pub fn reconfigure(&mut self, tokens: TokenPolicy) {
        self.tokens = tokens;
    }

    /// Looks at a NEW of a call that is not known.
    pub fn check(&self, from: SocketAddr, new: &Frame, now: Time) -> Admission {
        let shown = match (self.tokens, new.elements.get(ie::CALLTOKEN)) {
            (TokenPolicy::Off, _) | (TokenPolicy::Asked, None) => return Admission::Admitted,
            (TokenPolicy::Required, None) => {
                let elements = Elements::default()
                    .with(ie::CAUSE, b"a call token is required")
                    .with(ie::CAUSE_CODE, &[CAUSE_REJECTED]);
                let reject = if new.kind == Kind::Iax(Iax::New) { Iax::Reject } else { Iax::RegRej };
                return Admission::Reply(answer(new, reject, elements));
            }
            (_, Some(shown)) => shown,
        };
        match self.minter.verify(from, shown, now) {
            Ok(()) => Admission::Admitted,
            // It asks for one, or shows one that was good a while ago: it hears what is sent to it.
            Err(TokenError::Expired | TokenError::Length(0)) => {
                let elements = Elements::default().with(ie::CALLTOKEN, &self.minter.issue(from, now));
                Admission::Reply(answer(new, Iax::CallToken, elements))
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

    fn showing(token: &[u8]) -> Frame {
        new(Elements::default().with(ie::CALLED_NUMBER, b"7").with(ie::CALLTOKEN, token))
    }

    #[test]
    fn a_token_is_given_to_who_asks_and_lets_in_who_shows_it() {
        let (from, now) = (SocketAddr::from(([127, 0, 0, 1], 7)), Time(1_700_000_000_000_000));
        let plain = new(Elements::default());
        for (tokens, without) in
            [(TokenPolicy::Off, true), (TokenPolicy::Asked, true), (TokenPolicy::Required, false)]
        {
            let mut door = CallTokenGate::new(TokenPolicy::Off, [1; 32]);
            door.reconfigure(tokens);
            let entry = door.check(from, &plain, now);
            assert_eq!(entry == Admission::Admitted, without, "{tokens:?}");
            if let Admission::Reply(reject) = entry {
                assert_eq!((reject.kind, reject.dest, reject.iseq), (Kind::Iax(Iax::Reject), 9, 1));
            }
            let Admission::Reply(given) = door.check(from, &showing(b""), now) else {
                assert_eq!(tokens, TokenPolicy::Off);
                continue;
            };
            assert_eq!((given.kind, given.dest), (Kind::Iax(Iax::CallToken), 9));
            // No more is sent than came: the door is no amplifier.
            assert!(given.bytes().len() <= 48);
            let token = given.elements.get(ie::CALLTOKEN).expect("a token");
            assert_eq!(door.check(from, &showing(token), now), Admission::Admitted);
            let elsewhere = SocketAddr::from(([127, 0, 0, 2], 7));
            assert_eq!(door.check(elsewhere, &showing(token), now), Admission::Dropped(TokenError::Mismatch));
            let later = now.plus(Span::from_millis(60_000));
            assert!(matches!(door.check(from, &showing(token), later), Admission::Reply(_)));
            assert_eq!(
                door.check(from, &showing(&token[1..]), now),
                Admission::Dropped(TokenError::Length(23))
            );
        }
    }
}
