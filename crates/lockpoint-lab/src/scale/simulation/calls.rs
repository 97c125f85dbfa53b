//! Call arrivals, and the effects of the controllers' cores.

use lockpoint::core::{Effect, Input, ServerEvent, SetUp, Sid};
use lockpoint::interface::{Cell, ServerId};

use super::event::Event;
use super::{Simulation, CALLER_TIMEOUT, CALL_DURATION};
use crate::scale::address::Address;
use crate::scale::arrivals::Arrival;
use crate::scale::controller::{Channel, CLIENT};
use crate::scale::servers::server_at;

impl Simulation {
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let next = self.arrivals.next(self.now);
        self.schedule(next.at, Event::Arrive(next));
        self.calls.0 += 1;
        self.calls_made += 1;
        let set_up = SetUp {
            sid: Sid::from_number(self.calls_made),
            class: self.class_names[usize::from(arrival.service)].clone(),
            tenant: None,
            left: CALLER_TIMEOUT,
            number: "7f".into(),
            dest: Some(Cell(arrival.server)),
            redialled: false,
            body: "x".into(),
        };
        self.input(arrival.controller, Input::SetUp(CLIENT, set_up));
    }

    pub(super) fn server_replies(
        &mut self,
        member: u16,
        address: Address,
        server: u16,
        sid: Sid,
        reply: ServerEvent,
    ) {
        if matches!(reply, ServerEvent::Answered(_)) {
            let ends = Event::CallEnds { controller: member, address, server, sid };
            self.schedule(self.now.plus(CALL_DURATION), ends);
        }
        let Some(controller) = self.controllers[usize::from(member)].as_ref() else { return };
        if controller.address != address {
            return;
        }
        if let Some(id) = controller.server_id(server) {
            self.input(member, Input::Server(id, sid, reply));
        }
    }

    pub(super) fn input(&mut self, member: u16, input: Input) {
        let now = self.now;
        let Some(controller) = self.controllers[usize::from(member)].as_mut() else { return };
        let mut effects = Vec::new();
        controller.handle(now, input, &mut effects);
        self.carry_out(member, effects);
    }

    pub(super) fn carry_out(&mut self, member: u16, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect { server, address, .. } => self.server_connected(member, server, address),
                Effect::Invite { server, sid, .. } => self.invite(member, server, sid),
                Effect::Answer(..) => self.calls.1 += 1,
                Effect::Release(_, sid, _) => self.input(member, Input::ReleaseConfirmed(sid)),
                Effect::SendToPeers(Some(to), bytes) => self.send_to_peer(member, to, bytes),
                Effect::CancelQueued(server) => self.queue_cancelled(member, server),
                Effect::Log(_) => self.check_suspicions(member),
                _ => {}
            }
        }
        self.schedule_wake(member);
    }

    pub(super) fn server_connected(&mut self, member: u16, id: ServerId, dial: std::net::SocketAddr) {
        let controller = self.controllers[usize::from(member)].as_mut();
        if let (Some(controller), Some(server)) = (controller, server_at(dial)) {
            controller.note_server(id, server);
        }
    }

    pub(super) fn send_to_peer(&mut self, member: u16, to: u16, bytes: Vec<u8>) {
        let Some(controller) = self.controllers[usize::from(member)].as_ref() else { return };
        if let Some(to) = controller.address_book.address_of(to) {
            self.send(member, to, Channel::Fleet, bytes);
        }
    }

    /// Handles a set-up that reaches a call server.
    pub(super) fn invite(&mut self, member: u16, id: ServerId, sid: Sid) {
        let Some(controller) = self.controllers[usize::from(member)].as_ref() else { return };
        let (address, Some(server)) = (controller.address, controller.server(id)) else { return };
        let (at, reply) = self.servers.offer(self.now, server);
        self.schedule(at, Event::ServerReplies { controller: member, address, server, sid, reply });
    }

    /// A controller cancels its queue for a call server: it has been notified of the drain.
    pub(super) fn queue_cancelled(&mut self, member: u16, id: ServerId) {
        let server = self.controllers[usize::from(member)].as_ref().and_then(|c| c.server(id));
        let propagation = server.and_then(|server| self.tracked.drains.get_mut(&server));
        if let Some(propagation) = propagation {
            propagation.record(self.now, member);
        }
    }
}
