//! The links between controllers: they delay by distance, lose by a seed, and are cut between regions.

use lockpoint::interface::Span;
use rand_pcg::Pcg64Mcg;

use super::topology::Topology;
use crate::path::random_fraction;

/// The shortest and the longest way within a region.
const WITHIN_REGION: (Span, Span) = (Span::from_millis(1), Span::from_millis(4));
/// The shortest and the longest way between regions.
const BETWEEN_REGIONS: (Span, Span) = (Span::from_millis(12), Span::from_millis(30));

/// What the links do from now on.
#[derive(Debug, Clone)]
pub struct Links {
    /// Share of the datagrams that get lost.
    pub loss: f64,
    /// A region that hears only itself, and that no other one hears.
    pub cut_region: Option<u16>,
    topology: Topology,
}

impl Links {
    /// Links that lose nothing.
    pub fn new(topology: Topology) -> Links {
        Links { loss: 0.0, cut_region: None, topology }
    }

    /// Whether two members are on different sides of a cut.
    pub fn are_parted(&self, one: u16, other: u16) -> bool {
        let inside = |member| Some(self.topology.region_of(member)) == self.cut_region;
        inside(one) != inside(other)
    }

    /// How long a datagram is on its way; `None`: it is lost.
    pub fn delay(&self, from: u16, to: u16, rng: &mut Pcg64Mcg) -> Option<Span> {
        let (lost, way) = (random_fraction(rng), random_fraction(rng));
        if self.are_parted(from, to) || lost < self.loss {
            return None;
        }
        let near = self.topology.region_of(from) == self.topology.region_of(to);
        let (shortest, longest) = if near { WITHIN_REGION } else { BETWEEN_REGIONS };
        Some(Span(shortest.0 + longest.saturating_sub(shortest).scale(way).0))
    }
}
