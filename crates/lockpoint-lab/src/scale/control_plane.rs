//! The seam for a module that spreads changes of configuration and of membership. Today there is none: a hollow
//! controller without a control plane never learns of a change, and the table says `no mechanism`.

use std::sync::Arc;

use lockpoint::interface::Time;

use super::address::Address;

/// A change of configuration, as numbered by the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u32);

/// What a process does in the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// One of the machines set aside for control: it accepts changes.
    Source(u16),
    /// A controller.
    Replica,
}

/// What a control plane is told at the start of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlPlaneConfig {
    /// Its role.
    pub role: Role,
    /// Its number among all members.
    pub member: u16,
    /// Where it is reached.
    pub address: Address,
    /// Where the sources are reached, the preferred one first: of the same region and another zone.
    pub sources: Vec<Address>,
    /// Its region.
    pub region: u16,
    /// Its zone.
    pub zone: u16,
    /// Tells this start of the process from those before.
    pub incarnation: u32,
    /// For its draws.
    pub seed: u64,
}

/// One process's part in the control plane. Sans-IO: datagrams and times go in, datagrams come out.
pub trait ControlPlane {
    /// A datagram of another process came.
    fn receive(&mut self, now: Time, from: Address, bytes: &[u8]);
    /// Appends what is to be sent now, and where to.
    fn poll(&mut self, now: Time, out: &mut Vec<(Address, Vec<u8>)>);
    /// When [`ControlPlane::poll`] is to be called next.
    fn next_due(&self) -> Time;
    /// An operator makes a change at this process, which is a source.
    fn propose(&mut self, now: Time, change: ChangeId);
    /// Whether a change is in force here.
    fn is_in_force(&self, change: ChangeId) -> bool;
    /// Whether a process is a member, as far as is known here.
    fn knows_member(&self, address: Address) -> bool;
    /// Members that are known here.
    fn members_known(&self) -> usize;
    /// Entries that it holds, as a measure of its memory that no clock touches.
    fn entries_held(&self) -> usize;
}

/// Makes the control plane of a process that starts.
pub type MakeControlPlane = Arc<dyn Fn(&ControlPlaneConfig, Time) -> Box<dyn ControlPlane> + Send + Sync>;
