//! Processes of controllers: how they start, are woken and end.

use lockpoint::core::{CoreConfig, Input, Source};
use lockpoint::fleet::FleetConfig;
use lockpoint::interface::{Settings, Time};

use super::event::Event;
use super::{Simulation, PATIENCE};
use crate::scale::address::Address;
use crate::scale::control_plane::{ControlPlaneConfig, Role};
use crate::scale::controller::{Channel, HollowController, CLIENT};
use crate::scale::directory::MACHINES;

impl Simulation {
    /// A controller's process ends; whatever it had to say is lost.
    pub(super) fn end(&mut self, member: u16) {
        let Some(ended) = self.controllers[usize::from(member)].take() else { return };
        self.ended_control_time[usize::from(member)] += ended.control_time;
        self.suspected[usize::from(member)] = 0;
        let followed = &mut self.followed;
        let spreads = followed
            .drains
            .values_mut()
            .chain(followed.deaths.values_mut())
            .chain(followed.changes.values_mut())
            .chain(followed.replacements.values_mut());
        spreads.for_each(|spread| spread.excuse(member));
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
        let controller = HollowController::new(core, address, self.address_book.clone(), control_plane);
        self.controllers[usize::from(member)] = Some(controller);
        if is_source {
            return self.book(member);
        }
        self.input(member, Input::ClientUp(CLIENT));
        let hosts = self.servers.lines();
        self.directories.answer(member, &hosts);
        self.input(member, Input::List { source: Source::Bulletin, whole: true, hosts });
    }

    /// The sources, the best home of a member first: of its region, so that a cut does not part them, and of another zone,
    /// so that a zone does not fail together with the homes of its members.
    fn sources_by_preference(&self, member: u16) -> Vec<Address> {
        let topology = self.config.topology;
        let preference = |source: u16| {
            let other_region = topology.region_of(source) != topology.region_of(member);
            let same_zone = topology.zone_of(source) == topology.zone_of(member);
            (other_region, same_zone, (source + member) % MACHINES)
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
            max_caller_wait: PATIENCE,
            seed,
            fleet: (!is_source).then_some(fleet),
        }
    }

    pub(super) fn wake(&mut self, member: u16, address: Address) {
        let now = self.now;
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        // Booked for another moment since, or by a process that has ended.
        if controller.address != address || controller.booked != Some(now) {
            return;
        }
        controller.booked = None;
        let (mut effects, mut sent) = (Vec::new(), Vec::new());
        controller.wake(now, &mut effects, &mut sent);
        for (to, bytes) in sent {
            self.send(member, to, Channel::ControlPlane, bytes);
        }
        self.check_control_plane(member);
        self.carry_out(member, effects);
    }

    /// Notes when a controller has something to do next.
    pub(super) fn book(&mut self, member: u16) {
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        let Some(due) = controller.next_due().map(|due| due.max(self.now)) else { return };
        if controller.booked.is_none_or(|booked| due < booked) {
            controller.booked = Some(due);
            let address = controller.address;
            self.schedule(due, Event::Wake(member, address));
        }
    }
}

fn incarnation(now: Time) -> u32 {
    (now.0 / 1_000) as u32
}
