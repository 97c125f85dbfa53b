//! Registers the controller at other registrars, from the address at which it takes calls. [`Registrant`]
//! holds the state machine.

use std::net::SocketAddr;

use super::{mix, CallerLeg, Callers};
use crate::core::{DeadlineOwner, Sid};
use crate::iax2::auth::Account;
use crate::iax2::frame::{ie, Elements, Frame, Iax, Kind};
use crate::iax2::registrant::{Registrant, RegistrantAction, REQUESTED_REFRESH_SECS};
use crate::interface::Time;
use crate::upstream::AdapterOutput;

/// Target of the log lines of this module. Log filters and log readers use the name, so it does not follow the path.
const LOG_TARGET: &str = "lockpoint::front::iax2::registers";

/// Key of the first registrant's deadline; the others follow in order.
pub(super) const FIRST_KEY: u64 = 1 << 33;

/// The controller's own registrations.
#[derive(Debug, Default)]
pub(super) struct OutboundRegistrations {
    account: Option<Account>,
    registrants: Vec<Registrant>,
    /// The legs to registrars: their client number and the index of their registrant.
    legs: Vec<(u64, usize)>,
}

impl OutboundRegistrations {
    /// The index of the registrant that a leg belongs to, if any.
    fn registrant_of(&self, client: u64) -> Option<usize> {
        self.legs.iter().find(|(of, _)| *of == client).map(|(_, index)| *index)
    }
}

impl Callers {
    /// Sets the registrars to register at. A registrant that stays keeps its state.
    pub fn register_at(
        &mut self,
        account: Option<&Account>,
        at: &[SocketAddr],
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let OutboundRegistrations { registrants, .. } = std::mem::take(&mut self.registrations);
        let seed = self.defaults.seed;
        let one = |(n, at): (usize, &SocketAddr)| {
            let before = registrants.iter().find(|registrant| registrant.address == *at).cloned();
            before.unwrap_or_else(|| Registrant::new(*at, now, mix(seed.wrapping_add(n as u64))))
        };
        let registrants = at.iter().enumerate().map(one).collect();
        self.registrations =
            OutboundRegistrations { account: account.cloned(), registrants, legs: Vec::new() };
        (0..at.len()).for_each(|index| self.arm_registrant(index, output));
    }

    /// Number of registrars at which the controller is registered.
    pub fn registered_at(&self, now: Time) -> usize {
        self.registrations.registrants.iter().filter(|registrant| registrant.is_registered(now)).count()
    }

    fn arm_registrant(&self, index: usize, output: &mut AdapterOutput) {
        if let Some(registrant) = self.registrations.registrants.get(index) {
            output.deadlines.push((
                registrant.next_deadline(),
                DeadlineOwner::Iax2Front,
                FIRST_KEY + index as u64,
            ));
        }
    }

    /// Runs the deadline of one registrant.
    pub(super) fn registrant_due(&mut self, index: usize, now: Time, output: &mut AdapterOutput) {
        let Some(registrant) = self.registrations.registrants.get_mut(index) else { return };
        match registrant.run_timer(now) {
            RegistrantAction::Wait => {}
            RegistrantAction::GiveUp => {
                tracing::warn!(target: LOG_TARGET, at = %registrant.address, "registrar does not answer");
                self.registrations.legs.retain(|(_, of)| *of != index);
            }
            RegistrantAction::SendRequest => self.send_registration(index, now, output),
        }
        self.arm_registrant(index, output);
    }

    fn send_registration(&mut self, index: usize, now: Time, output: &mut AdapterOutput) {
        let (Some(account), Some(registrant)) =
            (&self.registrations.account, self.registrations.registrants.get(index))
        else {
            return;
        };
        self.last_client += 1;
        let caller = CallerLeg { client: self.last_client, sid: Sid::from_number(0) };
        let elements = Elements::default()
            .with(ie::USERNAME, account.username.as_bytes())
            .with(ie::REFRESH, &REQUESTED_REFRESH_SECS.to_be_bytes())
            .with(ie::CALLTOKEN, &[]);
        // Without a free call number no request leaves; the registrant times out and tries again.
        let Some(no) = self.legs.open_outgoing(registrant.address, caller, now) else { return };
        self.registrations.legs.push((caller.client, index));
        self.legs.send(no, Kind::Iax(Iax::RegReq), elements, now, &mut output.to_callers);
        self.arm(no, output);
    }

    /// Handles a frame on a leg to a registrar. Returns `false` if the leg is none.
    pub(super) fn handle_registrar_frame(
        &mut self,
        no: u16,
        caller: CallerLeg,
        frame: &Frame,
        now: Time,
        output: &mut AdapterOutput,
    ) -> bool {
        let Some(index) = self.registrations.registrant_of(caller.client) else { return false };
        let OutboundRegistrations { account, registrants, legs } = &mut self.registrations;
        let Some(registrant) = registrants.get_mut(index) else { return true };
        match frame.kind {
            Kind::Iax(Iax::RegAuth) => {
                let answer = account.as_ref().and_then(|account| account.respond(&frame.elements));
                let answer =
                    answer.unwrap_or_default().with(ie::REFRESH, &REQUESTED_REFRESH_SECS.to_be_bytes());
                self.legs.send(no, Kind::Iax(Iax::RegReq), answer, now, &mut output.to_callers);
                return true;
            }
            Kind::Iax(Iax::RegAck) => {
                if !registrant.is_registered(now) {
                    tracing::info!(target: LOG_TARGET, at = %registrant.address, "registered at registrar");
                }
                let secs = frame.elements.number(ie::REFRESH).unwrap_or(u32::from(REQUESTED_REFRESH_SECS));
                registrant.granted(secs, now);
            }
            Kind::Iax(Iax::RegRej | Iax::Reject | Iax::Hangup | Iax::Unsupport) => {
                let why = frame.elements.text(ie::CAUSE).unwrap_or("no reason given").to_owned();
                tracing::warn!(target: LOG_TARGET, at = %registrant.address, why, "registrar refused the registration");
                registrant.failed(now);
            }
            _ => return true,
        }
        legs.retain(|(of, _)| *of != caller.client);
        self.legs.end(no, now);
        self.arm_registrant(index, output);
        true
    }
}
