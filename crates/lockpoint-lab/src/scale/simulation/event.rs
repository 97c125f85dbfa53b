//! What can happen in a simulation, and the order in which it does.

use std::cmp::Ordering;
use std::rc::Rc;

use lockpoint::core::{DirectoryEntry, ServerEvent, Sid};
use lockpoint::interface::Time;

use crate::scale::address::Address;
use crate::scale::arrivals::Arrival;
use crate::scale::control_plane::ChangeId;
use crate::scale::controller::Channel;

/// Something that happens to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A controller's process ends and does not come back.
    Kill(u16),
    /// A controller that is dead starts again at its address, and knows nothing.
    Restart(u16),
    /// A controller ends, and one with the same number starts at a new address.
    Replace(u16),
    /// A call server's process ends, and the directories say so.
    KillServer(u16),
    /// A call server starts again, cold, and the directories say so.
    StartServer(u16),
    /// The directory of one controller alone says that a call server drains.
    DrainToldTo(u16, u16),
    /// An operator changes the configuration at a member.
    Propose(u16, ChangeId),
    /// A region is cut off from the others.
    CutRegion(u16),
    /// All regions reach each other again.
    HealRegions,
    /// From now on so many datagrams in a thousand get lost.
    LoseOfThousand(u16),
}

/// What is due at a moment.
pub(super) enum Event {
    Act(Action),
    Start(u16),
    Wake(u16, Address),
    Deliver(Delivery),
    Arrive(Arrival),
    Says { controller: u16, address: Address, server: u16, sid: Sid, says: ServerEvent },
    CallEnds { controller: u16, address: Address, server: u16, sid: Sid },
    Listed { controller: u16, lines: Rc<Vec<DirectoryEntry>>, whole: bool },
}

/// A datagram for a remote controller, or from one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteDatagram {
    /// Number of the sender.
    pub from: u16,
    /// Number of the receiver.
    pub to: u16,
    /// What it says.
    pub bytes: Rc<[u8]>,
}

/// A datagram on its way.
pub(super) struct Delivery {
    /// Who sent it.
    pub from: Address,
    /// Whom it is for.
    pub to: Address,
    /// Which part of a controller it is for.
    pub channel: Channel,
    /// What it says.
    pub bytes: Rc<[u8]>,
}

/// An event and its place in the queue.
pub(super) struct Scheduled {
    /// When it is due.
    pub at: Time,
    /// Of two at one moment the one that was scheduled first is first.
    pub order: u64,
    /// What is due.
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
