//! Round-trip estimates per peer, taken from acknowledgements, and the retransmission intervals that follow from them
//! (RFC 5456, 7.2.2: the interval follows the measured round trip; the estimator is that of RFC 6298). This module
//! opens no socket and reads no clock.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::interface::Span;

/// The first interval to a peer without a measurement.
const DEFAULT_FIRST_INTERVAL: Span = Span::from_millis(250);
/// The shortest first interval: a peer that is busy for a moment has lost nothing.
const MIN_FIRST_INTERVAL: Span = Span::from_millis(100);
/// The longest first interval: all retransmissions must be sent before the peer is taken for silent.
const MAX_FIRST_INTERVAL: Span = Span::from_millis(450);
/// The interval before the last retransmission.
const LAST_INTERVAL: Span = Span::from_millis(2_000);
/// Retransmissions of a frame (RFC 5456, 7.2.2).
pub const MAX_RETRANSMISSIONS: u32 = 4;
/// Peers whose round trips are kept.
const MAX_PEERS: usize = 4_096;

/// The round trip to one peer.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RoundTrip {
    /// The smoothed round trip in seconds.
    mean: f64,
    /// Its smoothed mean deviation in seconds.
    deviation: f64,
    /// Sequence number, among all measurements, of the last one of this peer.
    last_measurement: u64,
}

/// The round trips to all peers.
#[derive(Debug, Default)]
pub struct RoundTrips {
    by_peer: BTreeMap<IpAddr, RoundTrip>,
    measurements: u64,
}

impl RoundTrips {
    /// Records the time from a frame to its acknowledgement. Not for retransmitted frames, where it is unknown which
    /// copy was acknowledged.
    pub fn record(&mut self, peer: IpAddr, round_trip: Span) {
        self.measurements += 1;
        let (sample, last_measurement) = (round_trip.secs(), self.measurements);
        if let Some(trip) = self.by_peer.get_mut(&peer) {
            trip.deviation += ((trip.mean - sample).abs() - trip.deviation) / 4.0;
            trip.mean += (sample - trip.mean) / 8.0;
            trip.last_measurement = last_measurement;
            return;
        }
        if self.by_peer.len() >= MAX_PEERS {
            // Evicts the half that was measured longest ago, so that evictions are rare.
            let mut all: Vec<u64> = self.by_peer.values().map(|trip| trip.last_measurement).collect();
            let (_, &mut median, _) = all.select_nth_unstable(MAX_PEERS / 2);
            self.by_peer.retain(|_, trip| trip.last_measurement >= median);
        }
        self.by_peer.insert(peer, RoundTrip { mean: sample, deviation: sample / 2.0, last_measurement });
    }

    /// The interval before a frame to this peer is retransmitted for the first time.
    pub fn first_interval(&self, peer: IpAddr) -> Span {
        let trip = self.by_peer.get(&peer);
        let interval =
            trip.map_or(DEFAULT_FIRST_INTERVAL, |trip| Span::from_secs(trip.mean + 4.0 * trip.deviation));
        interval.max(MIN_FIRST_INTERVAL).min(MAX_FIRST_INTERVAL)
    }
}

/// The interval after `interval`. Intervals grow by a constant factor from `first` to `LAST_INTERVAL`, so that a near
/// peer soon gets a retransmission, and a silent one gets no more of them than any other.
pub fn next_interval(first: Span, interval: Span) -> Span {
    let growth =
        (LAST_INTERVAL.secs() / first.secs().max(1e-3)).powf(1.0 / f64::from(MAX_RETRANSMISSIONS - 1));
    interval.scale(growth).min(LAST_INTERVAL)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ip(n: u32) -> IpAddr {
        IpAddr::V4(std::net::Ipv4Addr::from_bits(0x0a00_0000 + n))
    }

    #[test]
    fn the_first_interval_follows_the_measured_round_trip_within_its_bounds() {
        let mut trips = RoundTrips::default();
        assert_eq!(trips.first_interval(ip(1)), DEFAULT_FIRST_INTERVAL);
        for _ in 0..50 {
            trips.record(ip(1), Span::from_millis(2));
            trips.record(ip(2), Span::from_millis(300));
            trips.record(ip(3), Span::from_millis(3_000));
        }
        assert_eq!(trips.first_interval(ip(1)), MIN_FIRST_INTERVAL);
        let first_ms = trips.first_interval(ip(2)).0 / 1000;
        assert!((300..320).contains(&first_ms), "{first_ms}");
        assert_eq!(trips.first_interval(ip(3)), MAX_FIRST_INTERVAL);
        // A varying round trip gives a longer interval.
        (0..8).for_each(|n| trips.record(ip(1), Span::from_millis(2 + n % 2 * 200)));
        assert!(trips.first_interval(ip(1)) > Span::from_millis(250));
        for n in 10..20_000 {
            trips.record(ip(n), Span::from_millis(1));
        }
        assert!(trips.by_peer.len() <= MAX_PEERS && trips.by_peer.contains_key(&ip(19_999)));
    }

    #[test]
    fn intervals_grow_to_the_same_last_interval_from_any_first_one() {
        for first in [100, 250, 400, 450].map(Span::from_millis) {
            let mut intervals = vec![first];
            for _ in 1..MAX_RETRANSMISSIONS {
                intervals.push(next_interval(first, intervals[intervals.len() - 1]));
            }
            let last = intervals[intervals.len() - 1].0 as f64 / 1e6;
            assert!((last - 2.0).abs() < 0.01, "{intervals:?}");
            assert!(intervals.iter().map(|interval| interval.0).sum::<u64>() < 4_500_000, "{intervals:?}");
        }
    }
}
