//! Location of controllers and call servers: regions, zones and racks.

/// Racks of a whole deployment, spread evenly over the zones.
pub const RACKS: u16 = 24;

/// The layout of a deployment. Members are dealt out to the racks in turn, so that they are spread evenly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Topology {
    /// Regions.
    pub regions: u16,
    /// Zones in all regions together.
    pub zones: u16,
}

impl Topology {
    /// The rack of a member.
    pub fn rack_of(self, member: u16) -> u16 {
        member % RACKS
    }

    /// The zone of a member.
    pub fn zone_of(self, member: u16) -> u16 {
        self.rack_of(member) % self.zones.max(1)
    }

    /// The region of a member.
    pub fn region_of(self, member: u16) -> u16 {
        self.zone_of(member) % self.regions.max(1)
    }
}
