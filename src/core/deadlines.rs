//! One sorted structure for every deadline of an instance: the module's timers, the calls' limits and the wires'
//! own waits. It is swept once each turn.

use serde::{Deserialize, Serialize};

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Time;

/// Deadlines in order of time, and of setting where the times are alike.
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
    /// Sets the deadline of `key`, in place of the one it had.
    pub fn set(&mut self, at: Time, key: K) {
        self.clear(&key);
        self.next += 1;
        self.by_key.insert(key.clone(), (at, self.next));
        self.sorted.insert((at, self.next, key));
    }

    /// Forgets the deadline of `key`.
    pub fn clear(&mut self, key: &K) {
        if let Some((at, no)) = self.by_key.remove(key) {
            self.sorted.remove(&(at, no, key.clone()));
        }
    }

    /// When the earliest falls due.
    pub fn next_at(&self) -> Option<Time> {
        self.sorted.first().map(|(at, _, _)| *at)
    }

    /// Takes the earliest that is due by `now`.
    pub fn pop(&mut self, now: Time) -> Option<K> {
        if self.next_at()? > now {
            return None;
        }
        let (_, _, key) = self.sorted.pop_first()?;
        self.by_key.remove(&key);
        Some(key)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}
