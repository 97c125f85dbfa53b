//! Registration at the IAX2 front: who has shown who he is, is registered; a call server among the users becomes one
//! that is listed, and is gone when it says so or its time is over.

use std::net::{IpAddr, SocketAddr};

use super::{Callers, Examined, Want, ANSWERS_WITHIN, CAUSE_NOT_LET_IN};
use crate::core::{DeadlineOwner, DirectoryEntry, Input, Protocol, Source};
use crate::front::iax2::call_token_gate::answer;
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::registrar::Registration;
use crate::interface::{Cell, ServerState, Time};
use crate::upstream::AdapterOutput;

/// Q.850: the facility is rejected.
const CAUSE_NOT_SERVED: u8 = 29;
/// The key of the registrar's own deadline; legs have their numbers.
pub(super) const EXPIRY: u64 = 1 << 32;

impl Callers {
    /// A REGREQ or REGREL of a leg that is not known.
    pub(super) fn registers(&mut self, from: SocketAddr, first: &Frame, now: Time, todo: &mut AdapterOutput) {
        let want = if first.kind == Kind::Iax(Iax::RegRel) { Want::Release } else { Want::Register };
        let Some(examiner) = &mut self.examiner else {
            let elements = rejected("registration is not served here", CAUSE_NOT_SERVED);
            return todo.to_callers.push((from, answer(first, Iax::RegRej, elements).bytes()));
        };
        let user = first.elements.text(ie::USERNAME).unwrap_or_default();
        let (elements, asked) = examiner.challenge(user);
        let Some((no, client)) = self.leg_for(from, first, now, todo) else { return };
        self.examined.insert(client, Examined { asked, want, since: now, until: now.plus(ANSWERS_WITHIN) });
        self.legs.send(no, Kind::Iax(Iax::RegAuth), elements, now, &mut todo.to_callers);
        self.arm(no, todo);
    }

    /// Who wants to register or to leave has said who he is.
    pub(super) fn registered(
        &mut self,
        no: u16,
        examined: Examined,
        frame: &Frame,
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        let Examined { asked, want, .. } = examined;
        let (Some(examiner), Some(from)) = (&mut self.examiner, self.legs.peer(no)) else { return };
        let elements = match examiner.verify(from.ip(), &asked, &frame.elements, now) {
            Err(error) => {
                tracing::info!(%from, %error, "a registration was refused");
                self.counts.not_let_in += 1;
                Err(rejected("not let in", CAUSE_NOT_LET_IN as u8))
            }
            Ok(()) if matches!(want, Want::Release) => {
                if self.registrar.release(asked.user(), from) {
                    self.list(todo);
                }
                Ok(Elements::default())
            }
            Ok(()) => {
                let secs = frame.elements.number(ie::REFRESH);
                match self.registrar.register(asked.user(), from, secs, now) {
                    Ok(secs) => {
                        self.list(todo);
                        let secs = u16::try_from(secs).unwrap_or(u16::MAX);
                        Ok(Elements::default()
                            .with(ie::USERNAME, asked.user().as_bytes())
                            .with(ie::APPARENT_ADDR, &apparent(from))
                            .with(ie::REFRESH, &secs.to_be_bytes()))
                    }
                    Err(error) => {
                        tracing::warn!(user = asked.user(), %from, %error, "a registration was refused");
                        Err(rejected(&error.to_string(), CAUSE_NOT_LET_IN as u8))
                    }
                }
            }
        };
        let (iax, elements) = match elements {
            Ok(elements) => (Iax::RegAck, elements),
            Err(elements) => (Iax::RegRej, elements),
        };
        self.legs.send(no, Kind::Iax(iax), elements, now, &mut todo.to_callers);
        self.legs.end(no, now);
        self.arm(no, todo);
        self.arm_expiry(todo);
    }

    /// Does what is due of registrations: those whose time is over, or whose user is none any more, have left.
    pub fn expire(&mut self, now: Time, todo: &mut AdapterOutput) {
        let Callers { registrar, examiner, .. } = self;
        let known = |user: &str| examiner.as_ref().is_some_and(|examiner| examiner.has_user(user));
        if registrar.expire(now, known) {
            self.list(todo);
        }
        self.arm_expiry(todo);
    }

    fn arm_expiry(&self, todo: &mut AdapterOutput) {
        if let Some(at) = self.registrar.next_deadline() {
            todo.deadlines.push((at, DeadlineOwner::Iax2Front, EXPIRY));
        }
    }

    /// Tells of all call servers that are registered. One that was told of before and is none any more has left.
    fn list(&self, todo: &mut AdapterOutput) {
        let line = |(user, place): (&str, &Registration)| {
            let server = self.examiner.as_ref()?.server(user)?;
            let zone = self.usual.zones.iter().position(|zone| *zone == server.zone);
            Some(DirectoryEntry {
                host: user.to_owned(),
                address: place.address,
                protocol: Protocol::Iax2,
                cell: Cell(server.cell),
                zone: zone.and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX),
                started_ms: place.started.0 / 1000,
                state: ServerState::Ready,
            })
        };
        let hosts = self.registrar.registrations().filter_map(line).collect();
        todo.inputs.push(Input::List { source: Source::Registered, whole: true, hosts });
    }
}

fn rejected(why: &str, cause: u8) -> Elements {
    Elements::default().with(ie::CAUSE, why.as_bytes()).with(ie::CAUSE_CODE, &[cause])
}

/// APPARENT ADDR (8.6.17): a socket address as C has it; the family in the byte order of the machines that began it.
pub fn apparent(at: SocketAddr) -> Vec<u8> {
    let port = at.port().to_be_bytes();
    match at.ip() {
        IpAddr::V4(ip) => [&[2, 0][..], &port, &ip.octets(), &[0; 8]].concat(),
        IpAddr::V6(ip) => [&[10, 0][..], &port, &[0; 4], &ip.octets(), &[0; 4]].concat(),
    }
}
