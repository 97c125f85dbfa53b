//! The log of one source: the latest applied changes in order, and changes that arrived out of order.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::message::Change;
use super::version::SourceVersion;

/// Applied changes of a log that are retained for members that miss them.
pub const MAX_LOG_CHANGES: usize = 512;
/// Maximum number of changes of a log that wait for a missing earlier one.
pub const MAX_OUT_OF_ORDER_CHANGES: usize = 64;

/// Result of offering a change to the log.
#[derive(Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The change was applied before, or waits already.
    Known,
    /// The change is from an earlier epoch, whose log is no longer held.
    PastEpoch,
    /// An earlier change is missing; this one waits for it, if there was room.
    OutOfOrder,
    /// These changes must be applied now, in this order.
    Ready(Vec<Arc<Change>>),
}

/// The log of one source.
#[derive(Debug, Default)]
pub struct ChangeLog {
    version: SourceVersion,
    /// The latest applied changes, empty after a snapshot; otherwise the last one has the number of `version`.
    changes: VecDeque<Arc<Change>>,
    out_of_order: BTreeMap<u32, Arc<Change>>,
}

impl ChangeLog {
    /// Returns the version of the last change applied.
    pub fn version(&self) -> SourceVersion {
        self.version
    }

    /// Offers a change to the log; changes may arrive in any order.
    pub fn offer(&mut self, change: &Arc<Change>) -> OfferOutcome {
        let dot = change.stamp.dot;
        if dot.epoch < self.version.epoch {
            return OfferOutcome::PastEpoch;
        }
        if dot.epoch > self.version.epoch {
            *self =
                ChangeLog { version: SourceVersion { epoch: dot.epoch, number: 0 }, ..ChangeLog::default() };
        }
        if dot.number <= self.version.number {
            return OfferOutcome::Known;
        }
        if dot.number > self.version.number + 1 {
            if self.out_of_order.contains_key(&dot.number) {
                return OfferOutcome::Known;
            }
            if self.out_of_order.len() < MAX_OUT_OF_ORDER_CHANGES {
                self.out_of_order.insert(dot.number, change.clone());
            }
            return OfferOutcome::OutOfOrder;
        }
        let mut ready = vec![change.clone()];
        self.append(change.clone());
        self.append_contiguous(&mut ready);
        OfferOutcome::Ready(ready)
    }

    /// Moves the log to `version` after a snapshot included everything up to it; returns the waiting changes that can
    /// be applied now.
    pub fn advance(&mut self, version: SourceVersion) -> Vec<Arc<Change>> {
        if version <= self.version {
            return Vec::new();
        }
        let out_of_order = std::mem::take(&mut self.out_of_order);
        let same_epoch = version.epoch == self.version.epoch;
        *self = ChangeLog { version, ..ChangeLog::default() };
        if same_epoch {
            self.out_of_order =
                out_of_order.into_iter().filter(|(number, _)| *number > version.number).collect();
        }
        let mut ready = Vec::new();
        self.append_contiguous(&mut ready);
        ready
    }

    /// Returns the changes after `version`, if all of them are still retained.
    pub fn after(&self, version: SourceVersion) -> Option<impl Iterator<Item = &Arc<Change>>> {
        let from = if version.epoch == self.version.epoch { version.number } else { 0 };
        let missing = self.version.number.saturating_sub(from) as usize;
        let skipped = self.changes.len().checked_sub(missing)?;
        Some(self.changes.iter().skip(skipped))
    }

    fn append(&mut self, change: Arc<Change>) {
        self.version.number = change.stamp.dot.number;
        if self.changes.len() == MAX_LOG_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Appends the waiting changes that directly follow the last applied one.
    fn append_contiguous(&mut self, ready: &mut Vec<Arc<Change>>) {
        while let Some(change) = self.out_of_order.remove(&(self.version.number + 1)) {
            ready.push(change.clone());
            self.append(change);
        }
    }
}
