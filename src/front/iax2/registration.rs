//! Registrar of the IAX2 front. Authenticated users are registered; a user that is a call server is listed
//! while its registration lasts, and is gone when it releases the registration or lets it expire.

use std::net::{IpAddr, SocketAddr};

use super::{Callers, Challenged, Purpose, AUTH_TIMEOUT, CAUSE_REJECTED};
use crate::core::{DeadlineOwner, DirectoryEntry, Input, Protocol, Source};
use crate::front::iax2::call_token_gate::reply;
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::registrar::Registration;
use crate::interface::{Cell, ServerState, Time};
use crate::upstream::AdapterOutput;

/// Q.850: facility rejected.
const CAUSE_FACILITY_REJECTED: u8 = 29;
/// Key of the registrar's expiry deadline; the keys of legs are their call numbers.
pub(super) const EXPIRY_KEY: u64 = 1 << 32;

impl Callers {
    /// Handles a REGREQ or REGREL that begins a new leg: challenges the sender.
    pub(super) fn challenge_registration(
        &mut self,
        from: SocketAddr,
        first: &Frame,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let purpose = if first.kind == Kind::Iax(Iax::RegRel) { Purpose::Release } else { Purpose::Register };
        let Some(authenticator) = &mut self.authenticator else {
            let elements = rejected("registration is not served here", CAUSE_FACILITY_REJECTED);
            return output.to_callers.push((from, reply(first, Iax::RegRej, elements).bytes()));
        };
        let user = first.elements.text(ie::USERNAME).unwrap_or_default();
        let (elements, challenge) = authenticator.challenge(user);
        let Some((no, client)) = self.leg_for(from, first, now, output) else { return };
        self.challenged
            .insert(client, Challenged { challenge, purpose, since: now, until: now.plus(AUTH_TIMEOUT) });
        self.legs.send(no, Kind::Iax(Iax::RegAuth), elements, now, &mut output.to_callers);
        self.arm(no, output);
    }

    /// Handles the answer to the challenge of a registration or release.
    pub(super) fn handle_registration(
        &mut self,
        no: u16,
        challenged: Challenged,
        frame: &Frame,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let Challenged { challenge, purpose, .. } = challenged;
        let (Some(authenticator), Some(from)) = (&mut self.authenticator, self.legs.peer(no)) else { return };
        let elements = match authenticator.verify(from.ip(), &challenge, &frame.elements, now) {
            Err(error) => {
                tracing::info!(%from, %error, "registration refused");
                self.counts.not_let_in += 1;
                Err(rejected("not let in", CAUSE_REJECTED as u8))
            }
            Ok(()) if matches!(purpose, Purpose::Release) => {
                if self.registrar.release(challenge.user(), from) {
                    self.report_servers(output);
                }
                Ok(Elements::default())
            }
            Ok(()) => {
                let secs = frame.elements.number(ie::REFRESH);
                match self.registrar.register(challenge.user(), from, secs, now) {
                    Ok(secs) => {
                        self.report_servers(output);
                        let secs = u16::try_from(secs).unwrap_or(u16::MAX);
                        Ok(Elements::default()
                            .with(ie::USERNAME, challenge.user().as_bytes())
                            .with(ie::APPARENT_ADDR, &apparent(from))
                            .with(ie::REFRESH, &secs.to_be_bytes()))
                    }
                    Err(error) => {
                        tracing::warn!(user = challenge.user(), %from, %error, "registration refused");
                        Err(rejected(&error.to_string(), CAUSE_REJECTED as u8))
                    }
                }
            }
        };
        let (iax, elements) = match elements {
            Ok(elements) => (Iax::RegAck, elements),
            Err(elements) => (Iax::RegRej, elements),
        };
        self.legs.send(no, Kind::Iax(iax), elements, now, &mut output.to_callers);
        self.legs.end(no, now);
        self.arm(no, output);
        self.arm_expiry(output);
    }

    /// Removes registrations that have expired or whose user no longer exists.
    pub fn expire(&mut self, now: Time, output: &mut AdapterOutput) {
        let Callers { registrar, authenticator, .. } = self;
        let is_known =
            |user: &str| authenticator.as_ref().is_some_and(|authenticator| authenticator.has_user(user));
        if registrar.expire(now, is_known) {
            self.report_servers(output);
        }
        self.arm_expiry(output);
    }

    fn arm_expiry(&self, output: &mut AdapterOutput) {
        if let Some(at) = self.registrar.next_deadline() {
            output.deadlines.push((at, DeadlineOwner::Iax2Front, EXPIRY_KEY));
        }
    }

    /// Reports all registered call servers. One that was reported before and is missing now is gone.
    fn report_servers(&self, output: &mut AdapterOutput) {
        let entry = |(user, registration): (&str, &Registration)| {
            let server = self.authenticator.as_ref()?.server(user)?;
            let zone = self.defaults.zones.iter().position(|zone| *zone == server.zone);
            Some(DirectoryEntry {
                host: user.to_owned(),
                address: registration.address,
                protocol: Protocol::Iax2,
                cell: Cell(server.cell),
                zone: zone.and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX),
                started_ms: registration.started.0 / 1000,
                state: ServerState::Ready,
            })
        };
        let hosts = self.registrar.registrations().filter_map(entry).collect();
        output.inputs.push(Input::List { source: Source::Registered, whole: true, hosts });
    }
}

fn rejected(why: &str, cause: u8) -> Elements {
    Elements::default().with(ie::CAUSE, why.as_bytes()).with(ie::CAUSE_CODE, &[cause])
}

/// APPARENT ADDR (RFC 5456, 8.6.17): a `sockaddr` as in C, with the address family in little-endian order.
pub fn apparent(at: SocketAddr) -> Vec<u8> {
    let port = at.port().to_be_bytes();
    match at.ip() {
        IpAddr::V4(ip) => [&[2, 0][..], &port, &ip.octets(), &[0; 8]].concat(),
        IpAddr::V6(ip) => [&[10, 0][..], &port, &[0; 4], &ip.octets(), &[0; 4]].concat(),
    }
}
