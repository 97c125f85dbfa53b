//! A hollow controller: the program's core with stand-ins in the place of its sockets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::{Client, Core, CoreConfig, Effect, FrontKind, Input};
use lockpoint::interface::{ServerId, Time};

use super::address::{Address, AddressBook};
use super::control_plane::ControlPlane;

/// The one connection on which all callers of a hollow controller come.
pub const CLIENT: Client = Client { front: FrontKind::JsonLines, no: 1 };

/// Which part of a controller a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// What `lockpoint::fleet` says.
    Fleet,
    /// What the control plane says.
    ControlPlane,
}

/// A hollow controller.
pub struct HollowController {
    /// Where it is reached.
    pub address: Address,
    /// The members that it knows.
    pub address_book: Rc<AddressBook>,
    /// What spreads changes of configuration; `None`: nothing does.
    pub control_plane: Option<Box<dyn ControlPlane>>,
    /// The moment for which it is woken next, if any.
    pub booked: Option<Time>,
    /// Time that it spent on control: datagrams and deadlines.
    pub control_time: Duration,
    /// Time that it spent on what callers, call servers and directories said.
    pub call_time: Duration,
    core: Core,
    server_by_id: BTreeMap<ServerId, u16>,
    id_by_server: BTreeMap<u16, ServerId>,
}

impl HollowController {
    /// One that knows nothing but its configuration.
    pub fn new(
        config: CoreConfig,
        address: Address,
        address_book: Rc<AddressBook>,
        control_plane: Option<Box<dyn ControlPlane>>,
    ) -> HollowController {
        HollowController {
            address,
            address_book,
            control_plane,
            booked: None,
            control_time: Duration::ZERO,
            call_time: Duration::ZERO,
            core: Core::new(config),
            server_by_id: BTreeMap::new(),
            id_by_server: BTreeMap::new(),
        }
    }

    /// Takes an input of the calls' side.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        let began = Instant::now();
        self.core.handle(now, input, out);
        self.call_time += began.elapsed();
    }

    /// Takes a datagram; one of a stranger is dropped. `true`: it was taken.
    pub fn receive(
        &mut self,
        now: Time,
        from: Address,
        channel: Channel,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> bool {
        let began = Instant::now();
        let taken = match (channel, &mut self.control_plane) {
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
        taken
    }

    /// Does what has fallen due; appends what the control plane sends.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Effect>, plane_out: &mut Vec<(Address, Vec<u8>)>) {
        let began = Instant::now();
        let _ = self.core.expire_deadlines(now, out);
        if let Some(plane) = self.control_plane.as_mut().filter(|plane| plane.next_due() <= now) {
            plane.poll(now, plane_out);
        }
        self.control_time += began.elapsed();
    }

    /// When [`HollowController::wake`] is to be called next.
    pub fn next_due(&self) -> Option<Time> {
        let plane = self.control_plane.as_ref().map(|plane| plane.next_due());
        [self.core.deadlines.next_at(), plane].into_iter().flatten().min()
    }

    /// Notes the number under which the core knows a call server.
    pub fn note_server(&mut self, id: ServerId, server: u16) {
        self.server_by_id.insert(id, server);
        self.id_by_server.insert(server, id);
    }

    /// The call server of a number of the core's.
    pub fn server(&self, id: ServerId) -> Option<u16> {
        self.server_by_id.get(&id).copied()
    }

    /// The core's number of a call server.
    pub fn server_id(&self, server: u16) -> Option<ServerId> {
        self.id_by_server.get(&server).copied()
    }

    /// Members that it heard and does not hear any more.
    pub fn lost_members(&self) -> usize {
        self.core.fleet_peers().lost
    }

    /// Call servers of which it holds something that the fleet told or that it saw itself.
    pub fn entries_held(&self, now: Time) -> usize {
        self.core.fleet_view(now).iter().filter(|view| view.own.is_some() || view.age.0 > 0).count()
    }
}
