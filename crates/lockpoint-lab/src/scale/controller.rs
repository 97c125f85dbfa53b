//! A simulated controller: the program's core, connected to simulated links instead of sockets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::{Client, Core, CoreConfig, Effect, FrontKind, Input};
use lockpoint::interface::{ServerId, Time};

use super::address::{Address, AddressBook};
use super::control_plane::ControlPlane;

/// The single connection that all callers of a simulated controller share.
pub const CLIENT: Client = Client { front: FrontKind::JsonLines, no: 1 };

/// Which part of a controller a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// Datagrams of `lockpoint::fleet`.
    Fleet,
    /// Datagrams of the control plane.
    ControlPlane,
}

/// A controller without sockets.
pub struct SimulatedController {
    /// Its network address.
    pub address: Address,
    /// The members that it knows.
    pub address_book: Rc<AddressBook>,
    /// Distributes configuration changes; `None`: nothing does.
    pub control_plane: Option<Box<dyn ControlPlane>>,
    /// When its next wake-up is scheduled, if any.
    pub wake_at: Option<Time>,
    /// Processing time of control traffic: datagrams and deadlines.
    pub control_time: Duration,
    /// Processing time of input from callers, call servers and directories.
    pub call_time: Duration,
    core: Core,
    server_by_id: BTreeMap<ServerId, u16>,
    id_by_server: BTreeMap<u16, ServerId>,
}

impl SimulatedController {
    /// A new controller, without state but its configuration.
    pub fn new(
        config: CoreConfig,
        address: Address,
        address_book: Rc<AddressBook>,
        control_plane: Option<Box<dyn ControlPlane>>,
    ) -> SimulatedController {
        SimulatedController {
            address,
            address_book,
            control_plane,
            wake_at: None,
            control_time: Duration::ZERO,
            call_time: Duration::ZERO,
            core: Core::new(config),
            server_by_id: BTreeMap::new(),
            id_by_server: BTreeMap::new(),
        }
    }

    /// Handles input from callers, call servers or directories.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        let began = Instant::now();
        self.core.handle(now, input, out);
        self.call_time += began.elapsed();
    }

    /// Handles a datagram; one from an unknown sender is dropped. `true`: it was accepted.
    pub fn receive(
        &mut self,
        now: Time,
        from: Address,
        channel: Channel,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> bool {
        let began = Instant::now();
        let accepted = match (channel, &mut self.control_plane) {
            (Channel::Fleet, _) => match self.address_book.number_of(from) {
                Some(from) => {
                    self.core.handle(now, Input::PeerMessage(from, bytes.to_vec()), out);
                    true
                }
                None => false,
            },
            (Channel::ControlPlane, Some(plane)) => {
                plane.receive(now, from, bytes);
                true
            }
            (Channel::ControlPlane, None) => false,
        };
        self.control_time += began.elapsed();
        accepted
    }

    /// Handles expired deadlines; appends the datagrams that the control plane sends.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Effect>, plane_out: &mut Vec<(Address, Vec<u8>)>) {
        let began = Instant::now();
        let _ = self.core.expire_deadlines(now, out);
        if let Some(plane) = self.control_plane.as_mut().filter(|plane| plane.next_due() <= now) {
            plane.poll(now, plane_out);
        }
        self.control_time += began.elapsed();
    }

    /// When [`SimulatedController::wake`] is to be called next.
    pub fn next_due(&self) -> Option<Time> {
        let plane = self.control_plane.as_ref().map(|plane| plane.next_due());
        [self.core.deadlines.next_at(), plane].into_iter().flatten().min()
    }

    /// Records the id that the core uses for a call server.
    pub fn note_server(&mut self, id: ServerId, server: u16) {
        self.server_by_id.insert(id, server);
        self.id_by_server.insert(server, id);
    }

    /// The call server with this id.
    pub fn server(&self, id: ServerId) -> Option<u16> {
        self.server_by_id.get(&id).copied()
    }

    /// The core's id of a call server.
    pub fn server_id(&self, server: u16) -> Option<ServerId> {
        self.id_by_server.get(&server).copied()
    }

    /// Number of members that it considers lost.
    pub fn lost_members(&self) -> usize {
        self.core.fleet_peers().lost
    }

    /// Number of call servers of which it has an observation, its own or a peer's.
    pub fn entries_held(&self, now: Time) -> usize {
        self.core.fleet_view(now).iter().filter(|view| view.own.is_some() || view.age.0 > 0).count()
    }
}
