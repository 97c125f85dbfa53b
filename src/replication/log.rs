//! The log of one source: the latest changes applied, in order, and those that came early.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::message::Change;
use super::version::SourceVersion;

/// Changes of one log that are kept to be told to those who lack them.
pub const MAX_LOG_CHANGES: usize = 512;
/// Changes of one log that wait for an earlier one.
pub const MAX_EARLY_CHANGES: usize = 64;

/// What became of a change that was offered to the log.
#[derive(Debug, PartialEq, Eq)]
pub enum Offered {
    /// Applied before.
    Known,
    /// Of an epoch that is over: it belongs to no log any more.
    FormerEpoch,
    /// An earlier one is lacking; it waits, if there was room.
    Early,
    /// These are to be applied now, in this order.
    Ready(Vec<Arc<Change>>),
}

/// The log of one source.
#[derive(Debug, Default)]
pub struct ChangeLog {
    version: SourceVersion,
    /// Ends with the change of that version.
    changes: VecDeque<Arc<Change>>,
    early: BTreeMap<u32, Arc<Change>>,
}

impl ChangeLog {
    /// The last change applied.
    pub fn version(&self) -> SourceVersion {
        self.version
    }

    /// Takes a change, in whatever order they come.
    pub fn offer(&mut self, change: &Arc<Change>) -> Offered {
        let dot = change.stamp.dot;
        if dot.epoch < self.version.epoch {
            return Offered::FormerEpoch;
        }
        if dot.epoch > self.version.epoch {
            *self =
                ChangeLog { version: SourceVersion { epoch: dot.epoch, number: 0 }, ..ChangeLog::default() };
        }
        if dot.number <= self.version.number {
            return Offered::Known;
        }
        if dot.number > self.version.number + 1 {
            if self.early.contains_key(&dot.number) {
                return Offered::Known;
            }
            if self.early.len() < MAX_EARLY_CHANGES {
                self.early.insert(dot.number, change.clone());
            }
            return Offered::Early;
        }
        let mut ready = vec![change.clone()];
        self.append(change.clone());
        self.take_early(&mut ready);
        Offered::Ready(ready)
    }

    /// Everything up to `version` has been applied by way of a snapshot; those that may be applied now.
    pub fn advance(&mut self, version: SourceVersion) -> Vec<Arc<Change>> {
        if version <= self.version {
            return Vec::new();
        }
        let early = std::mem::take(&mut self.early);
        let same_epoch = version.epoch == self.version.epoch;
        *self = ChangeLog { version, ..ChangeLog::default() };
        if same_epoch {
            self.early = early.into_iter().filter(|(number, _)| *number > version.number).collect();
        }
        let mut ready = Vec::new();
        self.take_early(&mut ready);
        ready
    }

    /// The changes after `version`, if all of them are still kept.
    pub fn after(&self, version: SourceVersion) -> Option<impl Iterator<Item = &Arc<Change>>> {
        let from = if version.epoch == self.version.epoch { version.number } else { 0 };
        let lacking = self.version.number.saturating_sub(from) as usize;
        let skipped = self.changes.len().checked_sub(lacking)?;
        Some(self.changes.iter().skip(skipped))
    }

    fn append(&mut self, change: Arc<Change>) {
        self.version.number = change.stamp.dot.number;
        if self.changes.len() == MAX_LOG_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    fn take_early(&mut self, ready: &mut Vec<Arc<Change>>) {
        while let Some(change) = self.early.remove(&(self.version.number + 1)) {
            ready.push(change.clone());
            self.append(change);
        }
    }
}
