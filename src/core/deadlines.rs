//! One sorted structure for all deadlines of an instance: timers of the decision module, timeouts of calls, and timers of
//! the protocol adapters. Due deadlines are taken once per event loop iteration.

use serde::{Deserialize, Serialize};

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Time;

/// Deadlines ordered by time; equal times in the order in which they were set.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Ord + Deserialize<'de>"))]
pub struct Deadlines<K> {
    sorted: BTreeSet<(Time, u64, K)>,
    by_key: BTreeMap<K, (Time, u64)>,
    next: u64,
}

impl<K: Ord + Clone> Default for Deadlines<K> {
    fn default() -> Self {
        Self { sorted: BTreeSet::new(), by_key: BTreeMap::new(), next: 0 }
    }
}

impl<K: Ord + Clone> Deadlines<K> {
    /// Sets the deadline of `key` and replaces its previous one.
    pub fn set(&mut self, at: Time, key: K) {
        self.clear(&key);
        self.next += 1;
        self.by_key.insert(key.clone(), (at, self.next));
        self.sorted.insert((at, self.next, key));
    }

    /// Removes the deadline of `key`.
    pub fn clear(&mut self, key: &K) {
        if let Some((at, no)) = self.by_key.remove(key) {
            self.sorted.remove(&(at, no, key.clone()));
        }
    }

    /// Time of the earliest deadline.
    pub fn next_at(&self) -> Option<Time> {
        self.sorted.first().map(|(at, _, _)| *at)
    }

    /// Removes the earliest deadline if it is due by `now`, and returns its key.
    pub fn pop(&mut self, now: Time) -> Option<K> {
        if self.next_at()? > now {
            return None;
        }
        let (_, _, key) = self.sorted.pop_first()?;
        self.by_key.remove(&key);
        Some(key)
    }

    /// Number of deadlines set.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether no deadline is set.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}
