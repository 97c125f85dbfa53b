//! Events of a simulation and their order.

use std::cmp::Ordering;
use std::rc::Rc;

use lockpoint::core::{DirectoryEntry, ServerEvent, Sid};
use lockpoint::interface::Time;

use crate::scale::address::Address;
use crate::scale::arrivals::Arrival;
use crate::scale::control_plane::ChangeId;
use crate::scale::controller::Channel;

/// An action of a script on the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A controller's process ends and does not come back.
    Kill(u16),
    /// A controller that has ended starts again at its address, without state.
    Restart(u16),
    /// A controller ends, and one with the same number starts at a new address.
    Replace(u16),
    /// A call server's process ends, and the directories report it.
    KillServer(u16),
    /// A call server starts again, cold, and the directories report it.
    StartServer(u16),
    /// The directory of a single controller announces that a call server drains.
    NotifyDrain(u16, u16),
    /// An operator changes the configuration at a member.
    Propose(u16, ChangeId),
    /// A region is cut off from the others.
    CutRegion(u16),
    /// All regions reach each other again.
    HealRegions,
    /// From now on this many datagrams in a thousand are lost.
    SetLossPerThousand(u16),
}

/// A scheduled event.
pub(super) enum Event {
    Act(Action),
    Start(u16),
    Wake(u16, Address),
    Deliver(Delivery),
    Arrive(Arrival),
    ServerReplies { controller: u16, address: Address, server: u16, sid: Sid, reply: ServerEvent },
    CallEnds { controller: u16, address: Address, server: u16, sid: Sid },
    ListUpdate { controller: u16, lines: Rc<Vec<DirectoryEntry>>, whole: bool },
}

/// A datagram for a remote controller, or from one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteDatagram {
    /// Number of the sender.
    pub from: u16,
    /// Number of the receiver.
    pub to: u16,
    /// Payload.
    pub bytes: Rc<[u8]>,
}

/// A datagram in transit.
pub(super) struct Delivery {
    /// Sender.
    pub from: Address,
    /// Destination.
    pub to: Address,
    /// Which part of a controller it is for.
    pub channel: Channel,
    /// Payload.
    pub bytes: Rc<[u8]>,
}

/// An event and its place in the queue.
pub(super) struct Scheduled {
    /// When it is due.
    pub at: Time,
    /// Sequence number: events due at the same time are handled in the order in which they were scheduled.
    pub order: u64,
    /// The event.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
