//! What fails, and whether it is worth a line in the log: the first failure, then reminders at growing gaps with how
//! often, then that it is back. No clock and no log here.

use std::collections::BTreeMap;

use crate::interface::{Span, Time};

/// The first reminder comes after this; each next one after twice as long as the one before.
const REMIND_AFTER: Span = Span::from_millis(60_000);
/// The longest time between reminders.
const LONGEST_GAP: Span = Span::from_millis(3_600_000);
/// Outages told apart; beyond that the failures of further things are counted by others than this.
const MOST: usize = 1_024;

/// What is to be said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageEvent {
    /// It fails for the first time.
    Started,
    /// It still fails: how often by now, and for how long.
    Reminder(u64, Span),
    /// It is back: how often it had failed, and for how long.
    Recovered(u64, Span),
}

#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Time,
    times: u64,
    next: Time,
    gap: Span,
}

/// All outages that last.
#[derive(Debug)]
pub struct Outages<K>(BTreeMap<K, Outage>);

impl<K> Default for Outages<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord> Outages<K> {
    /// It failed.
    pub fn failed(&mut self, what: K, now: Time) -> Option<OutageEvent> {
        if let Some(outage) = self.0.get_mut(&what) {
            outage.times += 1;
            if now < outage.next {
                return None;
            }
            outage.gap = Span(outage.gap.0 * 2).min(LONGEST_GAP);
            outage.next = now.plus(outage.gap);
            return Some(OutageEvent::Reminder(outage.times, now.since(outage.since)));
        }
        if self.0.len() >= MOST {
            return None;
        }
        let next = now.plus(REMIND_AFTER);
        self.0.insert(what, Outage { since: now, times: 1, next, gap: REMIND_AFTER });
        Some(OutageEvent::Started)
    }

    /// It works.
    pub fn recovered(&mut self, what: &K, now: Time) -> Option<OutageEvent> {
        let outage = self.0.remove(what)?;
        Some(OutageEvent::Recovered(outage.times, now.since(outage.since)))
    }

    /// It is of no concern any more.
    pub fn forget(&mut self, what: &K) {
        self.0.remove(what);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_outage_is_said_once_then_now_and_then_then_that_it_is_over() {
        let mut outages = Outages::default();
        let at = |s: u64| Time(1_000_000 * s);
        assert_eq!(outages.recovered(&1, at(1)), None);
        // Ten hours of failures, one each second.
        let said: Vec<(u64, OutageEvent)> =
            (10..36_010).filter_map(|s| Some((s, outages.failed(1, at(s))?))).collect();
        let times: Vec<u64> = said.iter().map(|(s, _)| *s - 10).collect();
        assert_eq!(times[..5], [0, 60, 180, 420, 900]);
        assert_eq!(said[0].1, OutageEvent::Started);
        assert_eq!(said[2].1, OutageEvent::Reminder(181, Span::from_millis(180_000)));
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
    fn what_fails_by_the_thousand_is_bounded() {
        let mut outages = Outages::default();
        let said = (0..5_000).filter(|n| outages.failed(*n, Time(1)).is_some()).count();
        assert_eq!(said, MOST);
        outages.forget(&0);
        assert_eq!(outages.failed(6_000, Time(1)), Some(OutageEvent::Started));
    }
}
