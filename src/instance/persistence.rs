//! Writes the records from which a later process recovers, and recovers from those of the previous run. A separate
//! thread waits for the disk; changes that arrive meanwhile are written and synced together.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use lockpoint_store::{Batch, Durability, Store, StoreError};

use crate::instance::{Instance, State};
use crate::recovery::records::{RecordChange, Records};
use crate::recovery::RecoveryConfig;

/// Target of the log lines of this module. Log filters and log readers use the name, so it does not follow the path.
const LOG_TARGET: &str = "lockpoint::instance::keep";

/// Groups of changes that may wait for the disk. More mean that the disk hangs; memory must not grow with them.
const MAX_WAITING: usize = 4_096;

/// Location and timing of the record store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreConfig {
    /// The store's file.
    pub file: PathBuf,
    /// Time for which changes are collected before they are synced. A longer time saves syncs, but that many more
    /// changes are lost in a power failure.
    pub commit_delay: Duration,
}

/// Counters of the writer thread.
#[derive(Debug, Default)]
struct WriterCounters {
    batches: AtomicU64,
    changes: AtomicU64,
    failed: AtomicBool,
}

/// Handle on the writer thread.
#[derive(Debug)]
pub(super) struct RecordWriter {
    changes: Option<SyncSender<Vec<RecordChange>>>,
    thread: Option<JoinHandle<()>>,
    counters: Arc<WriterCounters>,
    recovered: Option<Records>,
}

impl RecordWriter {
    /// Opens the store, reads the records of the previous run and starts the writer thread.
    pub(super) fn open(config: &StoreConfig) -> Result<RecordWriter, StoreError> {
        let store = Store::open(&config.file)?;
        let items = store.scan(b"")?;
        let recovered = Records::read(items.iter().map(|(key, value)| (key.as_slice(), value.as_slice())));
        let (changes, queued) = sync_channel(MAX_WAITING);
        let counters = Arc::new(WriterCounters::default());
        let (file, commit_delay, thread_counters) =
            (config.file.clone(), config.commit_delay, counters.clone());
        let thread = std::thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || write(store, &file, commit_delay, &queued, &thread_counters))
            .map_err(|error| StoreError::Storage(format!("cannot start the writer thread: {error}")))?;
        Ok(RecordWriter {
            changes: Some(changes),
            thread: Some(thread),
            counters,
            recovered: Some(recovered),
        })
    }

    fn write(&mut self, changes: Vec<RecordChange>) {
        let Some(sender) = &self.changes else { return };
        if sender.try_send(changes).is_err() {
            // Either the thread has ended and logged the reason, or the disk hangs.
            self.changes = None;
            if !self.counters.failed.swap(true, Ordering::Relaxed) {
                tracing::error!(
                    target: LOG_TARGET,
                    "store: the disk does not keep up; no more records are written until the next start"
                );
            }
        }
    }

    /// Metrics, one per line.
    pub(super) fn metrics_text(&self) -> String {
        let (batches, changes) = (&self.counters.batches, &self.counters.changes);
        format!(
            "controller.store.batches:{}|c\ncontroller.store.changes:{}|c\ncontroller.store.failed:{}|g\n",
            batches.load(Ordering::Relaxed),
            changes.load(Ordering::Relaxed),
            u8::from(self.counters.failed.load(Ordering::Relaxed))
        )
    }
}

impl Drop for RecordWriter {
    /// Waits until all changes passed to the thread are written.
    fn drop(&mut self) {
        self.changes = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write(
    mut store: Store,
    file: &Path,
    commit_delay: Duration,
    queued: &Receiver<Vec<RecordChange>>,
    counters: &WriterCounters,
) {
    while let Ok(first) = queued.recv() {
        if commit_delay > Duration::ZERO {
            std::thread::sleep(commit_delay);
        }
        let mut batch = Batch::default();
        let mut put = |changes: Vec<RecordChange>| {
            counters.changes.fetch_add(changes.len() as u64, Ordering::Relaxed);
            for (key, value) in changes.iter().map(RecordChange::encoded) {
                match value {
                    Some(value) => batch.put(&key, &value),
                    None => batch.remove(&key),
                }
            }
        };
        put(first);
        queued.try_iter().for_each(&mut put);
        if let Err(error) = store.commit(&batch, Durability::Synced) {
            // No retry: it is unknown how much of the batch was written. The next start reads what is there.
            counters.failed.store(true, Ordering::Relaxed);
            tracing::error!(
                target: LOG_TARGET,
                file = %file.display(), %error,
                "cannot write the store; no more records are written until the next start"
            );
            return;
        }
        counters.batches.fetch_add(1, Ordering::Relaxed);
    }
}

impl State {
    /// Passes new changes to the writer thread.
    pub(super) fn persist_changes(&mut self) {
        let Some(record_writer) = &mut self.record_writer else { return };
        let changes = self.core.take_changes();
        if !changes.is_empty() {
            record_writer.write(changes);
        }
    }
}

impl Instance {
    /// Recovers from the records of the previous run, if a store is configured.
    pub(super) fn recover(&self) {
        let now = self.0.clock.now();
        self.apply(|state, todo| {
            let Some(recovered) =
                state.record_writer.as_mut().and_then(|record_writer| record_writer.recovered.take())
            else {
                return;
            };
            let release = state.core.resend_delay();
            let config = RecoveryConfig { resend_delay: release, ..RecoveryConfig::default() };
            let mut effects = Vec::new();
            state.core.record_changes();
            state.core.recover(now, config, &recovered, &mut effects);
            state.apply_effects(effects, now, todo);
        });
    }
}
