//! The links between controllers: they delay by distance, lose datagrams at random, and can be cut between regions.

use lockpoint::interface::Span;
use rand_pcg::Pcg64Mcg;

use super::topology::Topology;
use crate::path::random_fraction;

/// Shortest and longest latency within a region.
const WITHIN_REGION: (Span, Span) = (Span::from_millis(1), Span::from_millis(4));
/// Shortest and longest latency between regions.
const BETWEEN_REGIONS: (Span, Span) = (Span::from_millis(12), Span::from_millis(30));

/// Faults and latency of the links.
#[derive(Debug, Clone)]
pub struct Links {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// A region that is cut off from all others.
    pub cut_region: Option<u16>,
    topology: Topology,
}

impl Links {
    /// Links that lose nothing.
    pub fn new(topology: Topology) -> Links {
        Links { loss: 0.0, cut_region: None, topology }
    }

    /// Whether two members are on different sides of a cut.
    pub fn are_partitioned(&self, one: u16, other: u16) -> bool {
        let inside = |member| Some(self.topology.region_of(member)) == self.cut_region;
        inside(one) != inside(other)
    }

    /// Latency of a datagram; `None`: it is lost.
    pub fn delay(&self, from: u16, to: u16, rng: &mut Pcg64Mcg) -> Option<Span> {
        let (lost, position) = (random_fraction(rng), random_fraction(rng));
        if self.are_partitioned(from, to) || lost < self.loss {
            return None;
        }
        let near = self.topology.region_of(from) == self.topology.region_of(to);
        let (shortest, longest) = if near { WITHIN_REGION } else { BETWEEN_REGIONS };
        Some(Span(shortest.0 + longest.saturating_sub(shortest).scale(position).0))
    }
}
