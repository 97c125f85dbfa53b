//! How long an answer of a peer takes, from what was acknowledged, and when a frame is therefore sent again (RFC 5456,
//! 7.2.2: by the measured round trip; the estimate is that of RFC 6298). No socket and no clock here.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::interface::Span;

/// Before anything was measured.
const USUAL: Span = Span::from_millis(250);
/// No frame is sent again sooner: a peer that is busy for a moment has lost nothing.
const SHORTEST: Span = Span::from_millis(100);
/// Nor later for the first time: all copies are to be said before a peer is taken for silent.
const LONGEST: Span = Span::from_millis(450);
/// The gap ahead of the last copy.
const LAST_GAP: Span = Span::from_millis(2_000);
/// A frame is sent again so often (RFC 5456, 7.2.2).
pub const COPIES: u32 = 4;
/// Peers whose round trips are kept.
const MOST: usize = 4_096;

/// The round trip to one peer.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RoundTrip {
    /// Smoothed, and how far it varies, in seconds.
    mean: f64,
    deviation: f64,
    /// When it was last measured, among all measurements.
    no: u64,
}

/// The round trips to all peers.
#[derive(Debug, Default)]
pub struct RoundTrips {
    by_peer: BTreeMap<IpAddr, RoundTrip>,
    measured: u64,
}

impl RoundTrips {
    /// A frame that was sent once was acknowledged after so long. One that was sent again tells nothing: nobody knows
    /// which copy was answered.
    pub fn measured(&mut self, peer: IpAddr, took: Span) {
        self.measured += 1;
        let (took, no) = (took.secs(), self.measured);
        if let Some(trip) = self.by_peer.get_mut(&peer) {
            trip.deviation += ((trip.mean - took).abs() - trip.deviation) / 4.0;
            trip.mean += (took - trip.mean) / 8.0;
            trip.no = no;
            return;
        }
        if self.by_peer.len() >= MOST {
            // Those that were measured longest ago make room, many at once so that it is seldom done.
            let mut all: Vec<u64> = self.by_peer.values().map(|trip| trip.no).collect();
            let (_, &mut middle, _) = all.select_nth_unstable(MOST / 2);
            self.by_peer.retain(|_, trip| trip.no >= middle);
        }
        self.by_peer.insert(peer, RoundTrip { mean: took, deviation: took / 2.0, no });
    }

    /// After how long a frame to this peer is sent again for the first time.
    pub fn first_gap(&self, peer: IpAddr) -> Span {
        let trip = self.by_peer.get(&peer);
        let gap = trip.map_or(USUAL, |trip| Span::from_secs(trip.mean + 4.0 * trip.deviation));
        gap.max(SHORTEST).min(LONGEST)
    }
}

/// The gap after this one: all copies of a frame are spread from the first gap to `LAST_GAP`, so that a peer which is
/// near is asked again soon, and one that is silent is asked no more often than any other.
pub fn next_gap(first: Span, gap: Span) -> Span {
    let growth = (LAST_GAP.secs() / first.secs().max(1e-3)).powf(1.0 / f64::from(COPIES - 1));
    gap.scale(growth).min(LAST_GAP)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ip(n: u32) -> IpAddr {
        IpAddr::V4(std::net::Ipv4Addr::from_bits(0x0a00_0000 + n))
    }

    #[test]
    fn the_first_gap_follows_what_is_measured_within_its_bounds() {
        let mut trips = RoundTrips::default();
        assert_eq!(trips.first_gap(ip(1)), USUAL);
        for _ in 0..50 {
            trips.measured(ip(1), Span::from_millis(2));
            trips.measured(ip(2), Span::from_millis(300));
            trips.measured(ip(3), Span::from_millis(3_000));
        }
        assert_eq!(trips.first_gap(ip(1)), SHORTEST);
        let far = trips.first_gap(ip(2)).0 / 1000;
        assert!((300..320).contains(&far), "{far}");
        assert_eq!(trips.first_gap(ip(3)), LONGEST);
        // One that begins to vary is given time.
        (0..8).for_each(|n| trips.measured(ip(1), Span::from_millis(2 + n % 2 * 200)));
        assert!(trips.first_gap(ip(1)) > Span::from_millis(250));
        for n in 10..20_000 {
            trips.measured(ip(n), Span::from_millis(1));
        }
        assert!(trips.by_peer.len() <= MOST && trips.by_peer.contains_key(&ip(19_999)));
    }

    #[test]
    fn the_copies_are_spread_to_the_same_last_gap_whatever_the_first() {
        for first in [100, 250, 400, 450].map(Span::from_millis) {
            let mut gaps = vec![first];
            for _ in 1..COPIES {
                gaps.push(next_gap(first, gaps[gaps.len() - 1]));
            }
            let last = gaps[gaps.len() - 1].0 as f64 / 1e6;
            assert!((last - 2.0).abs() < 0.01, "{gaps:?}");
            assert!(gaps.iter().map(|gap| gap.0).sum::<u64>() < 4_500_000, "{gaps:?}");
        }
    }
}
