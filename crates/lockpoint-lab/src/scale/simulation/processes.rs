//! Processes of controllers: how they start, are woken and end.

use lockpoint::core::{CoreConfig, Input, Source};
use lockpoint::fleet::FleetConfig;
use lockpoint::interface::{Settings, Time};

use super::event::Event;
use super::{Simulation, CALLER_TIMEOUT};
use crate::scale::address::Address;
use crate::scale::control_plane::{ControlPlaneConfig, Role};
use crate::scale::controller::{Channel, SimulatedController, CLIENT};
use crate::scale::directory::CENTRAL_SERVERS;

impl Simulation {
    /// Ends a controller's process; its pending datagrams are lost.
    pub(super) fn end(&mut self, member: u16) {
        let Some(ended) = self.controllers[usize::from(member)].take() else { return };
        self.ended_control_time[usize::from(member)] += ended.control_time;
        self.suspected[usize::from(member)] = 0;
        let tracked = &mut self.tracked;
        let propagations = tracked
            .drains
            .values_mut()
            .chain(tracked.deaths.values_mut())
            .chain(tracked.changes.values_mut())
            .chain(tracked.replacements.values_mut());
        propagations.for_each(|propagation| propagation.stop_expecting(member));
    }

    pub(super) fn start(&mut self, member: u16) {
        let (now, address) = (self.now, self.addresses[usize::from(member)]);
        let seed =
            self.config.seed.wrapping_mul(0x9e37_79b9).wrapping_add(u64::from(address.0)).wrapping_add(now.0);
        let is_source = member >= self.config.controllers;
        let role = match is_source {
            true => Role::Source(member - self.config.controllers),
            false => Role::Replica,
        };
        let plane_config = ControlPlaneConfig {
            role,
            member,
            address,
            sources: self.sources_by_preference(member),
            region: self.config.topology.region_of(member),
            zone: self.config.topology.zone_of(member),
            incarnation: incarnation(now),
            seed,
        };
        let control_plane = self.config.make_control_plane.as_ref().map(|make| make(&plane_config, now));
        let core = self.core_config(member, is_source, seed);
        let controller = SimulatedController::new(core, address, self.address_book.clone(), control_plane);
        self.controllers[usize::from(member)] = Some(controller);
        if is_source {
            return self.schedule_wake(member);
        }
        self.input(member, Input::ClientUp(CLIENT));
        let hosts = self.servers.entries();
        self.directories.answer(member, &hosts);
        self.input(member, Input::List { source: Source::Bulletin, whole: true, hosts });
    }

    /// The sources in a member's order of preference: in its region, so that a cut region does not separate them, and in
    /// another zone, so that a member and its preferred source do not fail together with a zone.
    fn sources_by_preference(&self, member: u16) -> Vec<Address> {
        let topology = self.config.topology;
        let preference = |source: u16| {
            let other_region = topology.region_of(source) != topology.region_of(member);
            let same_zone = topology.zone_of(source) == topology.zone_of(member);
            (other_region, same_zone, (source + member) % CENTRAL_SERVERS)
        };
        let first = self.config.controllers;
        let mut sources: Vec<u16> = (first..first + self.sources).collect();
        sources.sort_by_key(|source| preference(*source));
        sources.into_iter().map(|source| self.addresses[usize::from(source)]).collect()
    }

    /// A source takes no calls and no part in the fleet: its core stays idle.
    pub(super) fn core_config(&self, member: u16, is_source: bool, seed: u64) -> CoreConfig {
        let fleet = FleetConfig {
            me: member,
            controllers: self.config.controllers,
            incarnation: incarnation(self.now),
            seed,
            ..FleetConfig::default()
        };
        CoreConfig {
            settings: if is_source { Settings::default() } else { self.settings.clone() },
            classes: self.class_names.clone(),
            tenants: Vec::new(),
            max_pending_calls: 20_000,
            max_pending_bytes: 8 << 20,
            max_caller_wait: CALLER_TIMEOUT,
            seed,
            fleet: (!is_source).then_some(fleet),
        }
    }

    pub(super) fn wake(&mut self, member: u16, address: Address) {
        let now = self.now;
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        // Rescheduled since, or scheduled by a process that has ended.
        if controller.address != address || controller.wake_at != Some(now) {
            return;
        }
        controller.wake_at = None;
        let (mut effects, mut sent) = (Vec::new(), Vec::new());
        controller.wake(now, &mut effects, &mut sent);
        for (to, bytes) in sent {
            self.send(member, to, Channel::ControlPlane, bytes);
        }
        self.check_control_plane(member);
        self.carry_out(member, effects);
    }

    /// Schedules a controller's next wake-up.
    pub(super) fn schedule_wake(&mut self, member: u16) {
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        let Some(due) = controller.next_due().map(|due| due.max(self.now)) else { return };
        if controller.wake_at.is_none_or(|wake_at| due < wake_at) {
            controller.wake_at = Some(due);
            let address = controller.address;
            self.schedule(due, Event::Wake(member, address));
        }
    }
}

fn incarnation(now: Time) -> u32 {
    (now.0 / 1_000) as u32
}
