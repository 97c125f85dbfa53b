//! The current entry of each key, with hashes that do not depend on the order in which changes arrived.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use sha2::{Digest as _, Sha256};

use super::message::{u64_prefix, Change, HASH_LENGTH, PARTITIONS};
use super::version::Stamp;
use crate::interface::{Span, Time};

/// Maximum number of keys up to which a source accepts new ones, deleted keys included.
pub const MAX_ENTRIES: usize = 16_384;
/// Maximum number of keys that a replica holds. Twice the limit of a source, since sources that are partitioned from
/// each other may each fill up.
const MAX_HELD_ENTRIES: usize = 2 * MAX_ENTRIES;
/// How long the tombstone of a deleted key is retained.
pub const TOMBSTONE_RETENTION: Span = Span::from_millis(24 * 3_600 * 1_000);

/// The current change of a key.
#[derive(Debug)]
pub struct Entry {
    /// The change with the highest stamp.
    pub change: Arc<Change>,
    hash: u64,
    /// Set if the change is not valid here.
    rejected: Option<Box<Rejected>>,
}

/// State of an entry whose change is not valid here.
#[derive(Debug)]
struct Rejected {
    /// The previous value, which stays in force.
    in_force: Option<Bytes>,
}

impl Entry {
    /// Returns the value in force here.
    pub fn in_force(&self) -> Option<&[u8]> {
        match &self.rejected {
            Some(rejected) => rejected.in_force.as_deref(),
            None => self.change.value.as_deref(),
        }
    }
}

/// Result of merging a change.
#[derive(Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The change is held already, or is an expired tombstone.
    Unchanged,
    /// The held change has a higher stamp.
    Lost {
        /// Stamp of the held change.
        winner: Stamp,
        /// Whether the two changes are concurrent: neither writer knew of the other's change.
        concurrent: bool,
    },
    /// The change is the current one now.
    Won {
        /// The previous change, if the two are concurrent.
        conflicting: Option<Arc<Change>>,
    },
    /// The limit of keys is reached.
    Full,
}

/// The entries of a replica, divided into partitions for comparison.
#[derive(Debug)]
pub struct Entries {
    by_key: BTreeMap<Arc<str>, Entry>,
    /// The keys of each partition.
    partitions: Vec<BTreeSet<Arc<str>>>,
    hashes: [u64; PARTITIONS],
    deleted: BTreeSet<(Stamp, Arc<str>)>,
    rejected: BTreeSet<Arc<str>>,
}

impl Entries {
    /// Creates an empty set of entries.
    pub fn new() -> Entries {
        Entries {
            by_key: BTreeMap::new(),
            partitions: vec![BTreeSet::new(); PARTITIONS],
            hashes: [0; PARTITIONS],
            deleted: BTreeSet::new(),
            rejected: BTreeSet::new(),
        }
    }

    /// Returns the number of keys, deleted ones included.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.by_key.get(key)
    }

    /// Returns the entries whose keys have this prefix, in key order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let begin = self.by_key.range::<str, _>(from).map(|(key, entry)| (key.as_ref(), entry));
        begin.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the current changes that are not valid here.
    pub fn rejected(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.rejected.iter().filter_map(|key| self.by_key.get(key)).map(|entry| &entry.change)
    }

    /// Returns the hash of all entries.
    pub fn hash(&self) -> u64 {
        let hash = self
            .hashes
            .iter()
            .zip(1u64..)
            .fold(0u64, |sum, (hash, no)| sum.wrapping_add(hash.wrapping_mul(2 * no + 1)));
        hash
    }

    /// Returns the hashes of all partitions as bytes.
    pub fn partition_hashes(&self) -> Bytes {
        self.hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect()
    }

    /// Returns the partitions whose hashes differ from those in `hashes`.
    pub fn differing_partitions(&self, hashes: &[u8]) -> Vec<u8> {
        let theirs = hashes.chunks(HASH_LENGTH).map(u64_prefix);
        let pairs = (0u8..).zip(self.hashes.iter().zip(theirs));
        pairs.filter(|(_, (mine, theirs))| **mine != *theirs).map(|(partition, _)| partition).collect()
    }

    /// Returns the changes of a partition whose keys come after `after`, in key order.
    pub fn in_partition<'a>(
        &'a self,
        partition: u8,
        after: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Change>> {
        let keys = &self.partitions[usize::from(partition) % PARTITIONS];
        let from = (Bound::Excluded(after), Bound::Unbounded);
        keys.range::<str, _>(from).filter_map(|key| self.by_key.get(key)).map(|entry| &entry.change)
    }

    /// Merges a change: the highest stamp wins, regardless of the order of arrival. `valid` says whether the change may
    /// be in force here.
    pub fn merge(&mut self, now: Time, change: &Arc<Change>, valid: bool) -> MergeOutcome {
        let Some(held) = self.by_key.get(&change.key) else {
            return self.insert_first(now, change, valid);
        };
        let before = held.change.clone();
        if before.stamp == change.stamp {
            return MergeOutcome::Unchanged;
        }
        if before.stamp > change.stamp {
            let concurrent = !before.has_seen(change.stamp.dot);
            return MergeOutcome::Lost { winner: before.stamp, concurrent };
        }
        let in_force = held.in_force().map(Bytes::copy_from_slice);
        self.remove(&change.key);
        self.insert(change, valid, in_force);
        let conflicting = (!change.has_seen(before.stamp.dot)).then_some(before);
        MergeOutcome::Won { conflicting }
    }

    fn insert_first(&mut self, now: Time, change: &Arc<Change>, valid: bool) -> MergeOutcome {
        if is_expired(now, change) {
            return MergeOutcome::Unchanged;
        }
        if self.by_key.len() >= MAX_HELD_ENTRIES {
            return MergeOutcome::Full;
        }
        self.insert(change, valid, None);
        MergeOutcome::Won { conflicting: None }
    }

    /// Removes expired tombstones.
    pub fn expire(&mut self, now: Time) {
        while let Some((_, key)) = self.deleted.first().cloned() {
            if !self.by_key.get(&key).is_some_and(|entry| is_expired(now, &entry.change)) {
                return;
            }
            self.remove(&key);
        }
    }

    /// Keeps only the entries whose change satisfies the predicate.
    pub fn retain(&mut self, predicate: impl Fn(&Change) -> bool) {
        let removed: Vec<Arc<str>> = self
            .by_key
            .iter()
            .filter(|(_, entry)| !predicate(&entry.change))
            .map(|(key, _)| key.clone())
            .collect();
        removed.iter().for_each(|key| self.remove(key));
    }

    fn insert(&mut self, change: &Arc<Change>, valid: bool, in_force: Option<Bytes>) {
        let key = change.key.clone();
        let partition = partition_of(&key);
        let hash = entry_hash(change);
        self.hashes[partition] = self.hashes[partition].wrapping_add(hash);
        self.partitions[partition].insert(key.clone());
        if change.value.is_none() {
            self.deleted.insert((change.stamp, key.clone()));
        }
        if !valid {
            self.rejected.insert(key.clone());
        }
        let rejected = (!valid).then(|| Box::new(Rejected { in_force }));
        self.by_key.insert(key, Entry { change: change.clone(), hash, rejected });
    }

    fn remove(&mut self, key: &str) {
        let Some((key, entry)) = self.by_key.remove_entry(key) else {
            return;
        };
        let partition = partition_of(&key);
        self.hashes[partition] = self.hashes[partition].wrapping_sub(entry.hash);
        self.partitions[partition].remove(&key);
        self.rejected.remove(&key);
        self.deleted.remove(&(entry.change.stamp, key));
    }
}

/// Returns the partition of a key, by the FNV-1a hash of its bytes.
fn partition_of(key: &str) -> usize {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = key.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    (hash ^ (hash >> 32)) as usize % PARTITIONS
}

fn entry_hash(change: &Change) -> u64 {
    let mut hash = Sha256::new();
    hash.update((change.key.len() as u64).to_be_bytes());
    hash.update(change.key.as_bytes());
    hash.update(change.stamp.millis.to_be_bytes());
    hash.update([change.stamp.dot.source.0, u8::from(change.value.is_some())]);
    hash.update(change.stamp.dot.epoch.0.to_be_bytes());
    hash.update(change.stamp.dot.number.to_be_bytes());
    hash.update(change.value.as_deref().unwrap_or_default());
    u64_prefix(&hash.finalize())
}

fn is_expired(now: Time, change: &Change) -> bool {
    let age = (now.0 / 1_000).saturating_sub(change.stamp.millis);
    change.value.is_none() && age > TOMBSTONE_RETENTION.0 / 1_000
}
