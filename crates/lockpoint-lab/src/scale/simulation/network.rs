//! Datagrams between controllers, and the tracking of the updates that they carry.

use super::event::{Delivery, Event, RemoteDatagram};
use super::Simulation;
use crate::scale::address::Address;
use crate::scale::controller::Channel;

impl Simulation {
    pub(super) fn send(&mut self, from: u16, to: Address, channel: Channel, bytes: Vec<u8>) {
        self.traffic[usize::from(from)].sent(bytes.len());
        let Some(target) = self.members.get(&to).copied() else { return };
        let Some(delay) = self.links.delay(from, target, &mut self.rng) else { return };
        let delivery = Delivery { from: self.addresses[usize::from(from)], to, channel, bytes: bytes.into() };
        self.schedule(self.now.plus(delay), Event::Deliver(delivery));
    }

    pub(super) fn deliver(&mut self, delivery: &Delivery) {
        let Some(member) = self.members.get(&delivery.to).copied() else { return };
        let now = self.now;
        if self.is_remote(member) {
            return self.deliver_to_remote(member, delivery);
        }
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        if controller.address != delivery.to {
            return;
        }
        self.traffic[usize::from(member)].received(delivery.bytes.len());
        let mut effects = Vec::new();
        let taken = controller.receive(now, delivery.from, delivery.channel, &delivery.bytes, &mut effects);
        if !taken {
            self.from_unknown_senders += 1;
            return;
        }
        if delivery.channel == Channel::ControlPlane {
            self.check_control_plane(member);
        } else if let Some(sender) = self.members.get(&delivery.from) {
            if let Some(propagation) = self.tracked.replacements.get_mut(sender) {
                propagation.record(now, member);
            }
        }
        self.carry_out(member, effects);
    }

    pub(super) fn is_remote(&self, member: u16) -> bool {
        let Simulation { config, .. } = self;
        (config.controllers - config.remote..config.controllers).contains(&member)
    }

    pub(super) fn deliver_to_remote(&mut self, to: u16, delivery: &Delivery) {
        let Some(from) = self.members.get(&delivery.from).copied() else { return };
        self.traffic[usize::from(to)].received(delivery.bytes.len());
        self.outbox.push(RemoteDatagram { from, to, bytes: delivery.bytes.clone() });
    }

    /// Records the tracked updates that a controller has received through the control plane.
    pub(super) fn check_control_plane(&mut self, member: u16) {
        let now = self.now;
        if member >= self.config.controllers {
            return;
        }
        let Some(controller) = self.controllers[usize::from(member)].as_ref() else { return };
        let Some(plane) = controller.control_plane.as_ref() else { return };
        for (change, propagation) in &mut self.tracked.changes {
            if !propagation.has_reached(member) && plane.is_in_force(*change) {
                propagation.record(now, member);
            }
        }
        for (dead, propagation) in &mut self.tracked.deaths {
            if !propagation.has_reached(member) && !plane.knows_member(self.addresses[usize::from(*dead)]) {
                propagation.record(now, member);
            }
        }
        for (replaced, propagation) in &mut self.tracked.replacements {
            if !propagation.has_reached(member) && plane.knows_member(self.addresses[usize::from(*replaced)])
            {
                propagation.record(now, member);
            }
        }
    }

    /// Compares the peers that a controller considers lost with those that are down or unreachable.
    pub(super) fn check_suspicions(&mut self, member: u16) {
        let Some(controller) = self.controllers[usize::from(member)].as_ref() else { return };
        let lost = controller.lost_members();
        let before = std::mem::replace(&mut self.suspected[usize::from(member)], lost);
        let others = (0..self.config.controllers).filter(|other| *other != member);
        // A replaced controller does not answer at its old address, so a controller with an old list rightly considers it lost.
        let gone = |other: &u16| {
            self.dead.contains(other)
                || self.replaced.contains(other)
                || self.links.are_partitioned(member, *other)
        };
        let justified = others.filter(gone).count();
        if lost > before {
            self.false_suspicions += lost.saturating_sub(justified.max(before)) as u64;
        }
        // With a control plane, deaths are detected through it.
        if controller.control_plane.is_none() && lost >= self.dead.len() {
            let now = self.now;
            self.tracked.deaths.values_mut().for_each(|propagation| propagation.record(now, member));
        }
    }
}
