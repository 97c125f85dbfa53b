//! The controller registers elsewhere, from the address at which it takes calls: [`Registrant`] decides when.

use std::net::SocketAddr;

use super::{mixed, Caller, Callers};
use crate::core::{DeadlineOwner, Sid};
use crate::iax2::auth::Account;
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::registrant::{Registrant, RegistrantAction, REQUESTED_REFRESH_SECS};
use crate::interface::Time;
use crate::upstream::AdapterOutput;

/// Keys of the registrants' deadlines: this and their places after it.
pub(super) const FIRST: u64 = 1 << 33;

/// Our registrations.
#[derive(Debug, Default)]
pub(super) struct OutboundRegistrations {
    account: Option<Account>,
    all: Vec<Registrant>,
    /// Which registrant each leg is for, by its caller's number.
    asking: Vec<(u64, usize)>,
}

impl OutboundRegistrations {
    /// The registrant that a leg is for, if it is for one.
    fn of(&self, client: u64) -> Option<usize> {
        self.asking.iter().find(|(of, _)| *of == client).map(|(_, place)| *place)
    }
}

impl Callers {
    /// From now on the controller is registered at these. One that stays keeps its time.
    pub fn register_at(
        &mut self,
        account: Option<&Account>,
        at: &[SocketAddr],
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        let OutboundRegistrations { all, .. } = std::mem::take(&mut self.registers);
        let seed = self.usual.seed;
        let one = |(n, at): (usize, &SocketAddr)| {
            let before = all.iter().find(|registrant| registrant.address == *at).cloned();
            before.unwrap_or_else(|| Registrant::new(*at, now, mixed(seed.wrapping_add(n as u64))))
        };
        let all = at.iter().enumerate().map(one).collect();
        self.registers = OutboundRegistrations { account: account.cloned(), all, asking: Vec::new() };
        (0..at.len()).for_each(|place| self.arm_registrant(place, todo));
    }

    /// How many registrars hold us registered.
    pub fn registered_at(&self, now: Time) -> usize {
        self.registers.all.iter().filter(|registrant| registrant.is_registered(now)).count()
    }

    fn arm_registrant(&self, place: usize, todo: &mut AdapterOutput) {
        if let Some(registrant) = self.registers.all.get(place) {
            todo.deadlines.push((registrant.next_deadline(), DeadlineOwner::Iax2Front, FIRST + place as u64));
        }
    }

    /// Does what is due at one registrar.
    pub(super) fn registrant_due(&mut self, place: usize, now: Time, todo: &mut AdapterOutput) {
        let Some(registrant) = self.registers.all.get_mut(place) else { return };
        match registrant.run_timer(now) {
            RegistrantAction::Wait => {}
            RegistrantAction::GiveUp => {
                tracing::warn!(at = %registrant.address, "a registrar does not answer");
                self.registers.asking.retain(|(_, of)| *of != place);
            }
            RegistrantAction::SendRequest => self.ask_registrar(place, now, todo),
        }
        self.arm_registrant(place, todo);
    }

    fn ask_registrar(&mut self, place: usize, now: Time, todo: &mut AdapterOutput) {
        let (Some(account), Some(registrant)) = (&self.registers.account, self.registers.all.get(place))
        else {
            return;
        };
        self.next += 1;
        let caller = Caller { client: self.next, sid: Sid::from_number(0) };
        let elements = Elements::default()
            .with(ie::USERNAME, account.username.as_bytes())
            .with(ie::REFRESH, &REQUESTED_REFRESH_SECS.to_be_bytes())
            .with(ie::CALLTOKEN, &[]);
        // Where no number is free, the time for an answer passes, and it is tried again.
        let Some(no) = self.legs.open_outgoing(registrant.address, caller, now) else { return };
        self.registers.asking.push((caller.client, place));
        self.legs.send(no, Kind::Iax(Iax::RegReq), elements, now, &mut todo.to_callers);
        self.arm(no, todo);
    }

    /// A frame on a leg of ours to a registrar. `false`: the leg is none.
    pub(super) fn registrar_says(
        &mut self,
        no: u16,
        caller: Caller,
        frame: &Frame,
        now: Time,
        todo: &mut AdapterOutput,
    ) -> bool {
        let Some(place) = self.registers.of(caller.client) else { return false };
        let OutboundRegistrations { account, all, asking } = &mut self.registers;
        let Some(registrant) = all.get_mut(place) else { return true };
        match frame.kind {
            Kind::Iax(Iax::RegAuth) => {
                let answer = account.as_ref().and_then(|account| account.respond(&frame.elements));
                let answer =
                    answer.unwrap_or_default().with(ie::REFRESH, &REQUESTED_REFRESH_SECS.to_be_bytes());
                self.legs.send(no, Kind::Iax(Iax::RegReq), answer, now, &mut todo.to_callers);
                return true;
            }
            Kind::Iax(Iax::RegAck) => {
                if !registrant.is_registered(now) {
                    tracing::info!(at = %registrant.address, "registered");
                }
                let secs = frame.elements.number(ie::REFRESH).unwrap_or(u32::from(REQUESTED_REFRESH_SECS));
                registrant.granted(secs, now);
            }
            Kind::Iax(Iax::RegRej | Iax::Reject | Iax::Hangup | Iax::Unsupport) => {
                let why = frame.elements.text(ie::CAUSE).unwrap_or("no reason given").to_owned();
                tracing::warn!(at = %registrant.address, why, "a registrar refuses us");
                registrant.failed(now);
            }
            _ => return true,
        }
        asking.retain(|(of, _)| *of != caller.client);
        self.legs.end(no, now);
        self.arm_registrant(place, todo);
        true
    }
}
