//! Executes the actions of a script on the fleet.

use std::rc::Rc;

use lockpoint::core::{Input, Source};

use super::event::{Action, Event};
use super::{Simulation, MAX_DIRECTORY_DELAY};
use crate::path::random_fraction;
use crate::scale::address::{Address, AddressBook};
use crate::scale::control_plane::ChangeId;
use crate::scale::controller::SimulatedController;
use crate::scale::directory::{CENTRAL_SERVERS, SERVERS_AFTER_REGION_LOSS};
use crate::scale::propagation::Propagation;

impl Simulation {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Kill(member) => {
                self.end(member);
                self.dead.insert(member);
                let expected = self.expected_by_membership(member);
                self.tracked.deaths.insert(member, Propagation::new(self.now, expected));
            }
            Action::Restart(member) => {
                self.dead.remove(&member);
                // Its death no longer has to be detected.
                self.tracked.deaths.remove(&member);
                self.start(member);
            }
            Action::Replace(member) => {
                self.end(member);
                self.replaced.insert(member);
                self.assign_new_address(member);
                let expected = self.expected_except(member);
                self.tracked.replacements.insert(member, Propagation::new(self.now, expected));
                self.start(member);
            }
            Action::KillServer(server) => {
                self.servers.kill(server);
                self.publish_server(server);
            }
            Action::StartServer(server) => {
                self.servers.start(self.now, server);
                self.publish_server(server);
            }
            Action::NotifyDrain(member, server) => self.notify_drain(member, server),
            Action::Propose(member, change) => self.propose(member, change),
            Action::CutRegion(region) => {
                self.links.cut_region = Some(region);
                self.directories.connect(self.config.controllers, SERVERS_AFTER_REGION_LOSS);
            }
            Action::HealRegions => self.heal(),
            Action::SetLossPerThousand(lost) => self.links.loss = f64::from(lost) / 1_000.0,
        }
    }

    /// All running controllers except this one.
    pub(super) fn expected_except(&self, member: u16) -> Vec<bool> {
        let alive = (0..self.config.controllers).map(|other| self.controllers[usize::from(other)].is_some());
        let mut expected: Vec<bool> = alive.collect();
        if let Some(own) = expected.get_mut(usize::from(member)) {
            *own = false;
        }
        expected
    }

    /// All running controllers except this one whose control plane, if any, has it as a member.
    pub(super) fn expected_by_membership(&self, member: u16) -> Vec<bool> {
        let address = self.addresses[usize::from(member)];
        let knows = |controller: &Option<SimulatedController>| {
            let plane = controller.as_ref().and_then(|controller| controller.control_plane.as_ref());
            plane.is_none_or(|plane| plane.knows_member(address))
        };
        let expected = self.expected_except(member).into_iter();
        expected.zip(&self.controllers).map(|(alive, controller)| alive && knows(controller)).collect()
    }

    pub(super) fn assign_new_address(&mut self, member: u16) {
        let address = Address(self.next_address);
        self.next_address += 1;
        self.addresses[usize::from(member)] = address;
        self.members.insert(address, member);
        // The list for controllers that start from now on.
        let listed = self.addresses[..usize::from(self.config.controllers)].to_vec();
        self.address_book = Rc::new(AddressBook::new(listed));
    }

    pub(super) fn heal(&mut self) {
        let Some(region) = self.links.cut_region.take() else { return };
        self.directories.connect(self.config.controllers, CENTRAL_SERVERS);
        let now = self.now;
        let topology = self.config.topology;
        let tracked = &mut self.tracked;
        for propagation in tracked.drains.values_mut().chain(tracked.changes.values_mut()) {
            let known_inside = (0..self.config.controllers)
                .any(|m| topology.region_of(m) == region && propagation.has_reached(m));
            for member in 0..self.config.controllers {
                let inside = topology.region_of(member) == region;
                if inside != known_inside {
                    propagation.reachable(now, member);
                }
            }
        }
    }

    /// Sends a call server's directory entry to all controllers, each after a random delay.
    pub(super) fn publish_server(&mut self, server: u16) {
        let lines = Rc::new(vec![self.servers.entry(server)]);
        for controller in 0..self.config.controllers {
            let at = self.now.plus(MAX_DIRECTORY_DELAY.scale(random_fraction(&mut self.rng)));
            self.schedule(at, Event::ListUpdate { controller, lines: lines.clone(), whole: false });
        }
    }

    /// Announces a call server's drain to a single controller; the other directories have not updated yet.
    pub(super) fn notify_drain(&mut self, member: u16, server: u16) {
        self.servers.drain(server);
        let mut propagation = Propagation::new(self.now, self.expected_except(member));
        propagation.record(self.now, member);
        self.tracked.drains.insert(server, propagation);
        let hosts = vec![self.servers.entry(server)];
        self.directories.answer(member, &hosts);
        self.input(member, Input::List { source: Source::Bulletin, whole: false, hosts });
    }

    pub(super) fn propose(&mut self, member: u16, change: ChangeId) {
        self.tracked.changes.insert(change, Propagation::new(self.now, self.expected_except(u16::MAX)));
        let now = self.now;
        let controller = self.controllers.get_mut(usize::from(member)).and_then(Option::as_mut);
        if let Some(plane) = controller.and_then(|controller| controller.control_plane.as_mut()) {
            plane.propose(now, change);
            self.schedule_wake(member);
        }
    }
}
