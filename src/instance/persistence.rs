//! Writes down what a life after this one needs, and goes on from what the life before wrote. A thread of its own waits
//! for the disk; what comes meanwhile is written and synced together.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use lockpoint_store::{Batch, Durability, Store, StoreError};

use crate::instance::{Instance, State};
use crate::recovery::records::{Change, Found};
use crate::recovery::RecoveryConfig;

/// Groups of changes that may wait for the disk. More: the disk hangs, and memory must not follow it.
const MOST_WAITING: usize = 4_096;

/// Where records are kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreConfig {
    /// The file.
    pub file: PathBuf,
    /// Changes are gathered for so long before they are synced. Longer: fewer syncs, and so much more is unknown after a
    /// power loss.
    pub commit_delay: Duration,
}

/// What the thread tells.
#[derive(Debug, Default)]
struct Told {
    batches: AtomicU64,
    changes: AtomicU64,
    failed: AtomicBool,
}

/// The thread that writes.
#[derive(Debug)]
pub(super) struct RecordWriter {
    changes: Option<SyncSender<Vec<Change>>>,
    writing: Option<JoinHandle<()>>,
    told: Arc<Told>,
    found: Option<Found>,
}

impl RecordWriter {
    /// Opens the records of the life before.
    pub(super) fn open(config: &StoreConfig) -> Result<RecordWriter, StoreError> {
        let store = Store::open(&config.file)?;
        let items = store.scan(b"")?;
        let found = Found::read(items.iter().map(|(key, value)| (key.as_slice(), value.as_slice())));
        let (changes, waiting) = sync_channel(MOST_WAITING);
        let told = Arc::new(Told::default());
        let (file, commit_delay, tells) = (config.file.clone(), config.commit_delay, told.clone());
        let writing = std::thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || write(store, &file, commit_delay, &waiting, &tells))
            .map_err(|error| StoreError::Storage(format!("no thread to write with: {error}")))?;
        Ok(RecordWriter { changes: Some(changes), writing: Some(writing), told, found: Some(found) })
    }

    fn write(&mut self, changes: Vec<Change>) {
        let Some(sender) = &self.changes else { return };
        if sender.try_send(changes).is_err() {
            // The thread has ended, and said why; or the disk hangs.
            self.changes = None;
            if !self.told.failed.swap(true, Ordering::Relaxed) {
                tracing::error!(
                    "store: the disk does not keep up: nothing more is kept until the next start"
                );
            }
        }
    }

    /// Figures, one a line.
    pub(super) fn lines(&self) -> String {
        let (batches, changes) = (&self.told.batches, &self.told.changes);
        format!(
            "controller.store.batches:{}|c\ncontroller.store.changes:{}|c\ncontroller.store.failed:{}|g\n",
            batches.load(Ordering::Relaxed),
            changes.load(Ordering::Relaxed),
            u8::from(self.told.failed.load(Ordering::Relaxed))
        )
    }
}

impl Drop for RecordWriter {
    /// What was handed over is written before the process ends.
    fn drop(&mut self) {
        self.changes = None;
        if let Some(writing) = self.writing.take() {
            let _ = writing.join();
        }
    }
}

fn write(
    mut store: Store,
    file: &Path,
    commit_delay: Duration,
    waiting: &Receiver<Vec<Change>>,
    told: &Told,
) {
    while let Ok(first) = waiting.recv() {
        if commit_delay > Duration::ZERO {
            std::thread::sleep(commit_delay);
        }
        let mut batch = Batch::default();
        let mut put = |changes: Vec<Change>| {
            told.changes.fetch_add(changes.len() as u64, Ordering::Relaxed);
            for (key, value) in changes.iter().map(Change::encoded) {
                match value {
                    Some(value) => batch.put(&key, &value),
                    None => batch.remove(&key),
                }
            }
        };
        put(first);
        waiting.try_iter().for_each(&mut put);
        if let Err(error) = store.commit(&batch, Durability::Synced) {
            // Not tried again: nobody knows what of it is kept. The next start reads what is.
            told.failed.store(true, Ordering::Relaxed);
            tracing::error!(file = %file.display(), %error, "nothing more is kept until the next start");
            return;
        }
        told.batches.fetch_add(1, Ordering::Relaxed);
    }
}

impl State {
    /// Hands over what is to be kept.
    pub(super) fn keep(&mut self) {
        let Some(keeper) = &mut self.keeper else { return };
        let changes = self.core.take_changes();
        if !changes.is_empty() {
            keeper.write(changes);
        }
    }
}

impl Instance {
    /// Goes on from the records of the life before, if any are kept.
    pub(super) fn recover(&self) {
        let now = self.0.clock.now();
        self.turn(|state, todo| {
            let Some(found) = state.keeper.as_mut().and_then(|keeper| keeper.found.take()) else { return };
            let release = state.core.resend_delay();
            let config = RecoveryConfig { release, ..RecoveryConfig::default() };
            let mut effects = Vec::new();
            state.core.record_changes();
            state.core.recover(now, config, &found, &mut effects);
            state.carry_out(effects, now, todo);
        });
    }
}
