//! Decides which failures of a remote party are logged: the first one, then reminders at growing intervals with the
//! number of failures, then the recovery. Sans-IO: neither clock nor log here.

use std::collections::BTreeMap;

use crate::interface::{Span, Time};

/// Time until the first reminder; each further interval is twice the previous one.
const REMIND_AFTER: Span = Span::from_millis(60_000);
/// Longest interval between reminders.
const MAX_INTERVAL: Span = Span::from_millis(3_600_000);
/// Limit of the outages tracked at once; failures of further parties are not logged.
const MAX_OUTAGES: usize = 1_024;

/// An event to log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageEvent {
    /// The first failure.
    Started,
    /// It still fails: number of failures so far, and time since the first one.
    Reminder(u64, Span),
    /// It works again: number of failures, and time since the first one.
    Recovered(u64, Span),
}

#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Time,
    times: u64,
    next_reminder: Time,
    interval: Span,
}

/// The present outages, by party.
#[derive(Debug)]
pub struct Outages<K>(BTreeMap<K, Outage>);

impl<K> Default for Outages<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord> Outages<K> {
    /// Notes a failure.
    pub fn failed(&mut self, party: K, now: Time) -> Option<OutageEvent> {
        if let Some(outage) = self.0.get_mut(&party) {
            outage.times += 1;
            if now < outage.next_reminder {
                return None;
            }
            outage.interval = Span(outage.interval.0 * 2).min(MAX_INTERVAL);
            outage.next_reminder = now.plus(outage.interval);
            return Some(OutageEvent::Reminder(outage.times, now.since(outage.since)));
        }
        if self.0.len() >= MAX_OUTAGES {
            return None;
        }
        let next_reminder = now.plus(REMIND_AFTER);
        self.0.insert(party, Outage { since: now, times: 1, next_reminder, interval: REMIND_AFTER });
        Some(OutageEvent::Started)
    }

    /// Notes a success, which ends an outage.
    pub fn recovered(&mut self, party: &K, now: Time) -> Option<OutageEvent> {
        let outage = self.0.remove(party)?;
        Some(OutageEvent::Recovered(outage.times, now.since(outage.since)))
    }

    /// Drops an outage without an event.
    pub fn forget(&mut self, party: &K) {
        self.0.remove(party);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_outage_gives_a_start_then_rare_reminders_then_a_recovery() {
        let mut outages = Outages::default();
        let at = |s: u64| Time(1_000_000 * s);
        assert_eq!(outages.recovered(&1, at(1)), None);
        // Ten hours of failures, one per second.
        let logged: Vec<(u64, OutageEvent)> =
            (10..36_010).filter_map(|s| Some((s, outages.failed(1, at(s))?))).collect();
        let times: Vec<u64> = logged.iter().map(|(s, _)| *s - 10).collect();
        assert_eq!(times[..5], [0, 60, 180, 420, 900]);
        assert_eq!(logged[0].1, OutageEvent::Started);
        assert_eq!(logged[2].1, OutageEvent::Reminder(181, Span::from_millis(180_000)));
        assert!(times.len() < 18 && times.windows(2).all(|two| two[1] - two[0] <= 3_600), "{times:?}");
        assert_eq!(outages.failed(2, at(36_010)), Some(OutageEvent::Started));
        assert_eq!(
            outages.recovered(&1, at(36_010)),
            Some(OutageEvent::Recovered(36_000, Span::from_millis(36_000_000)))
        );
        assert_eq!(outages.recovered(&1, at(36_011)), None);
        assert_eq!(outages.failed(1, at(36_012)), Some(OutageEvent::Started));
    }

    #[test]
    fn the_number_of_outages_is_bounded() {
        let mut outages = Outages::default();
        let logged = (0..5_000).filter(|n| outages.failed(*n, Time(1)).is_some()).count();
        assert_eq!(logged, MAX_OUTAGES);
        outages.forget(&0);
        assert_eq!(outages.failed(6_000, Time(1)), Some(OutageEvent::Started));
    }
}
