//! What is done to the fleet from outside: the actions of a script.

use std::rc::Rc;

use lockpoint::core::{Input, Source};

use super::event::{Action, Event};
use super::{Simulation, DIRECTORY_DELAY};
use crate::path::random_fraction;
use crate::scale::address::{Address, AddressBook};
use crate::scale::control_plane::ChangeId;
use crate::scale::controller::HollowController;
use crate::scale::directory::{MACHINES, MACHINES_LEFT};
use crate::scale::spread::Spread;

impl Simulation {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Kill(member) => {
                self.end(member);
                self.dead.insert(member);
                let expected = self.expected_of_those_who_know(member);
                self.followed.deaths.insert(member, Spread::new(self.now, expected));
            }
            Action::Restart(member) => {
                self.dead.remove(&member);
                // That it was dead need not be known any more.
                self.followed.deaths.remove(&member);
                self.start(member);
            }
            Action::Replace(member) => {
                self.end(member);
                self.replaced.insert(member);
                self.give_new_address(member);
                let expected = self.expected_of_all_but(member);
                self.followed.replacements.insert(member, Spread::new(self.now, expected));
                self.start(member);
            }
            Action::KillServer(server) => {
                self.servers.kill(server);
                self.tell_all(server);
            }
            Action::StartServer(server) => {
                self.servers.start(self.now, server);
                self.tell_all(server);
            }
            Action::DrainToldTo(member, server) => self.tell_drain(member, server),
            Action::Propose(member, change) => self.propose(member, change),
            Action::CutRegion(region) => {
                self.links.cut_region = Some(region);
                self.directories.connect(self.config.controllers, MACHINES_LEFT);
            }
            Action::HealRegions => self.heal(),
            Action::LoseOfThousand(lost) => self.links.loss = f64::from(lost) / 1_000.0,
        }
    }

    /// All live controllers but this one.
    pub(super) fn expected_of_all_but(&self, member: u16) -> Vec<bool> {
        let alive = (0..self.config.controllers).map(|other| self.controllers[usize::from(other)].is_some());
        let mut expected: Vec<bool> = alive.collect();
        if let Some(own) = expected.get_mut(usize::from(member)) {
            *own = false;
        }
        expected
    }

    /// All live controllers but this one whose control plane, if they have any, knows it.
    pub(super) fn expected_of_those_who_know(&self, member: u16) -> Vec<bool> {
        let address = self.addresses[usize::from(member)];
        let knows = |controller: &Option<HollowController>| {
            let plane = controller.as_ref().and_then(|controller| controller.control_plane.as_ref());
            plane.is_none_or(|plane| plane.knows_member(address))
        };
        let expected = self.expected_of_all_but(member).into_iter();
        expected.zip(&self.controllers).map(|(alive, controller)| alive && knows(controller)).collect()
    }

    pub(super) fn give_new_address(&mut self, member: u16) {
        let address = Address(self.next_address);
        self.next_address += 1;
        self.addresses[usize::from(member)] = address;
        self.members.insert(address, member);
        // The list that a controller is started with from now on.
        let listed = self.addresses[..usize::from(self.config.controllers)].to_vec();
        self.address_book = Rc::new(AddressBook::new(listed));
    }

    pub(super) fn heal(&mut self) {
        let Some(region) = self.links.cut_region.take() else { return };
        self.directories.connect(self.config.controllers, MACHINES);
        let now = self.now;
        let topology = self.config.topology;
        let followed = &mut self.followed;
        for spread in followed.drains.values_mut().chain(followed.changes.values_mut()) {
            let known_inside = (0..self.config.controllers)
                .any(|m| topology.region_of(m) == region && spread.is_known_to(m));
            for member in 0..self.config.controllers {
                let inside = topology.region_of(member) == region;
                if inside != known_inside {
                    spread.reachable(now, member);
                }
            }
        }
    }

    /// All controllers hear the directory's line of a call server, each after a delay of its own.
    pub(super) fn tell_all(&mut self, server: u16) {
        let lines = Rc::new(vec![self.servers.line(server)]);
        for controller in 0..self.config.controllers {
            let at = self.now.plus(DIRECTORY_DELAY.scale(random_fraction(&mut self.rng)));
            self.schedule(at, Event::Listed { controller, lines: lines.clone(), whole: false });
        }
    }

    /// One directory alone says that a call server drains; the others are late.
    pub(super) fn tell_drain(&mut self, member: u16, server: u16) {
        self.servers.drain(server);
        let mut spread = Spread::new(self.now, self.expected_of_all_but(member));
        spread.known(self.now, member);
        self.followed.drains.insert(server, spread);
        let hosts = vec![self.servers.line(server)];
        self.directories.answer(member, &hosts);
        self.input(member, Input::List { source: Source::Bulletin, whole: false, hosts });
    }

    pub(super) fn propose(&mut self, member: u16, change: ChangeId) {
        self.followed.changes.insert(change, Spread::new(self.now, self.expected_of_all_but(u16::MAX)));
        let now = self.now;
        let controller = self.controllers.get_mut(usize::from(member)).and_then(Option::as_mut);
        if let Some(plane) = controller.and_then(|controller| controller.control_plane.as_mut()) {
            plane.propose(now, change);
            self.book(member);
        }
    }
}
