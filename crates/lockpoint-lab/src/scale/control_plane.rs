//! Interface of a module that distributes configuration and membership changes. A simulated controller without a control
//! plane never receives a change; the result table then contains `no mechanism`.

use std::sync::Arc;

use lockpoint::interface::Time;

use super::address::Address;

/// A change of configuration, as numbered by the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u32);

/// Role of a process in the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// One of the central servers: it accepts changes.
    Source(u16),
    /// A controller.
    Replica,
}

/// Configuration of a control plane at the start of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlPlaneConfig {
    /// Its role.
    pub role: Role,
    /// Its number among all members.
    pub member: u16,
    /// Its network address.
    pub address: Address,
    /// Addresses of the sources, the preferred one first: in the same region and another zone.
    pub sources: Vec<Address>,
    /// Its region.
    pub region: u16,
    /// Its zone.
    pub zone: u16,
    /// Distinguishes this process incarnation from earlier ones.
    pub incarnation: u32,
    /// Seed of its random choices.
    pub seed: u64,
}

/// The control plane of one process. Sans-IO: datagrams and times go in, datagrams come out.
pub trait ControlPlane {
    /// Handles a datagram from another process.
    fn receive(&mut self, now: Time, from: Address, bytes: &[u8]);
    /// Appends the datagrams that are due, with their destinations.
    fn poll(&mut self, now: Time, out: &mut Vec<(Address, Vec<u8>)>);
    /// When [`ControlPlane::poll`] is to be called next.
    fn next_due(&self) -> Time;
    /// Accepts an operator's change at this process, which is a source.
    fn propose(&mut self, now: Time, change: ChangeId);
    /// Whether a change is in force here.
    fn is_in_force(&self, change: ChangeId) -> bool;
    /// Whether this process considers an address a member.
    fn knows_member(&self, address: Address) -> bool;
    /// Number of members known to this process.
    fn members_known(&self) -> usize;
    /// Number of entries held; a measure of memory that does not depend on timing.
    fn entries_held(&self) -> usize;
}

/// Makes the control plane of a process that starts.
pub type MakeControlPlane = Arc<dyn Fn(&ControlPlaneConfig, Time) -> Box<dyn ControlPlane> + Send + Sync>;
