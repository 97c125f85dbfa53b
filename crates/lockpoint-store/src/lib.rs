//! Durable storage for a lockpoint controller that survives a power loss: an ordered table of keys and values, changed
//! in atomic batches. It is based on [`redb`]. Every read and write passes through its [`redb::StorageBackend`], so
//! that tests can replace the file by a simulated disk ([`sim::SimDisk`]). `docs/recovery.md` compares the
//! alternatives.
//!
//! ```
//! use lockpoint_store::{Batch, Durability, Store};
//!
//! let dir = std::env::temp_dir().join(format!("lockpoint-store-doc-{}", std::process::id()));
//! let mut store = Store::open(&dir)?;
//! let mut batch = Batch::default();
//! batch.put(b"call/1", b"s0");
//! assert_eq!(store.commit(&batch, Durability::Synced)?, 1);
//! drop(store);
//! let store = Store::open(&dir)?;
//! assert_eq!(store.scan(b"call/")?, [(b"call/1".to_vec(), b"s0".to_vec())]);
//! # drop(store);
//! # std::fs::remove_file(&dir).expect("removed");
//! # Ok::<(), lockpoint_store::StoreError>(())
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod sim;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};

const ITEMS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("items");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Version of the tables that this crate stores in the file.
const FORMAT_VERSION: u64 = 1;
/// Page cache size; a controller's records fit into it.
const CACHE_BYTES: usize = 4 << 20;

/// The store cannot be used, or it is unknown whether a change was persisted.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("{}: another process has it open", path.display())]
    InUse {
        /// The store's file.
        path: PathBuf,
    },
    /// The store was written by an incompatible version.
    #[error("unsupported store version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// The version found in the store.
        found: u64,
    },
    /// An earlier write or sync failed, and it is unknown which part of it was persisted. The store has to be reopened.
    #[error("an earlier write failed; the store must be reopened")]
    Failed,
    /// The file cannot be read or written, or its checksums do not match.
    #[error("store: {0}")]
    Storage(String),
}

fn storage(error: impl std::fmt::Display) -> StoreError {
    StoreError::Storage(error.to_string())
}

/// When a commit is considered complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Once it is in memory. A power loss may undo it together with every other commit after the last synced one; the
    /// commits that survive are always the earliest ones.
    Deferred,
    /// Once it and all commits before it are on the disk.
    Synced,
}

/// Changes that are committed atomically. The last of several changes of one key applies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch(BTreeMap<Vec<u8>, Option<Vec<u8>>>);

impl Batch {
    /// Sets the value of a key.
    pub fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.insert(key.to_vec(), Some(value.to_vec()));
    }
    /// Removes a key and its value.
    pub fn remove(&mut self, key: &[u8]) {
        self.0.insert(key.to_vec(), None);
    }
    /// Number of keys that the batch changes.
    pub fn len(&self) -> usize {
        self.0.len()
    }
    /// Whether the batch changes nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Adds the changes of a later batch.
    pub fn extend(&mut self, later: Batch) {
        self.0.extend(later.0);
    }
}

/// A key and its value.
pub type Item = (Vec<u8>, Vec<u8>);

/// Statistics of a store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Info {
    /// Batches committed since the store was created.
    pub sequence: u64,
    /// Number of keys.
    pub items: u64,
    /// Bytes of keys and values.
    pub stored_bytes: u64,
    /// Bytes of the file that are used otherwise: unused parts of pages, old pages and the tree structure.
    pub overhead_bytes: u64,
}

/// An open store. Only one process can have it open; opening it a second time fails.
#[derive(Debug)]
pub struct Store {
    db: Database,
    sequence: u64,
    failed: bool,
}

impl Store {
    /// Opens the store in this file, or creates it. A store that was not closed properly is restored to its last synced
    /// commit, or to a later one that is complete.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        if !path.exists() {
            Store::create(path)?;
        }
        let opened = Database::builder().set_cache_size(CACHE_BYTES).create(path);
        let db = opened.map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
            other => StoreError::Storage(format!("{}: {other}", path.display())),
        })?;
        Store::from_database(db)
    }

    /// Creates an empty store in a temporary file and renames it. Otherwise a power loss during the first writes would
    /// leave a file that is not a valid store.
    fn create(path: &Path) -> Result<(), StoreError> {
        let io_error = |error: std::io::Error| StoreError::Storage(format!("{}: {error}", path.display()));
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(".new");
        let temporary = PathBuf::from(temporary);
        if temporary.exists() {
            std::fs::remove_file(&temporary).map_err(io_error)?;
        }
        let db = Database::builder().create(&temporary);
        drop(Store::from_database(
            db.map_err(|error| StoreError::Storage(format!("{}: {error}", temporary.display())))?,
        )?);
        std::fs::rename(&temporary, path).map_err(io_error)?;
        let directory = path.parent().filter(|directory| !directory.as_os_str().is_empty());
        std::fs::File::open(directory.unwrap_or(Path::new(".")))
            .and_then(|directory| directory.sync_all())
            .map_err(io_error)
    }

    /// Opens or creates a store on another storage backend than a file.
    pub fn with_backend(disk: impl StorageBackend) -> Result<Store, StoreError> {
        let db = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(disk);
        Store::from_database(db.map_err(storage)?)
    }

    fn from_database(db: Database) -> Result<Store, StoreError> {
        let sequence = {
            let transaction = db.begin_read().map_err(storage)?;
            match transaction.open_table(META) {
                Ok(meta) => {
                    let number = |name| meta.get(name).map(|found| found.map_or(0, |value| value.value()));
                    let found = number("version").map_err(storage)?;
                    if found != FORMAT_VERSION {
                        return Err(StoreError::Version { found });
                    }
                    Some(number("sequence").map_err(storage)?)
                }
                Err(redb::TableError::TableDoesNotExist(_)) => None,
                Err(error) => return Err(storage(error)),
            }
        };
        let mut store = Store { db, sequence: sequence.unwrap_or(0), failed: false };
        if sequence.is_none() {
            store.write(&Batch::default(), Durability::Synced, 0)?;
        }
        Ok(store)
    }

    /// Batches committed since the store was made.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Commits a batch and returns its sequence number. After a disk error the batch may or may not have been
    /// persisted. The write is not retried, and every later commit fails until the store is reopened.
    pub fn commit(&mut self, batch: &Batch, durability: Durability) -> Result<u64, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let next = self.sequence + 1;
        self.write(batch, durability, next).inspect_err(|_| self.failed = true)?;
        self.sequence = next;
        Ok(next)
    }

    fn write(&mut self, batch: &Batch, durability: Durability, sequence: u64) -> Result<(), StoreError> {
        let mut transaction = self.db.begin_write().map_err(storage)?;
        let durability = match durability {
            Durability::Deferred => redb::Durability::None,
            Durability::Synced => redb::Durability::Immediate,
        };
        transaction.set_durability(durability).map_err(storage)?;
        {
            let mut items = transaction.open_table(ITEMS).map_err(storage)?;
            for (key, value) in &batch.0 {
                match value {
                    Some(value) => drop(items.insert(key.as_slice(), value.as_slice()).map_err(storage)?),
                    None => drop(items.remove(key.as_slice()).map_err(storage)?),
                }
            }
            let mut meta = transaction.open_table(META).map_err(storage)?;
            meta.insert("version", FORMAT_VERSION).map_err(storage)?;
            meta.insert("sequence", sequence).map_err(storage)?;
        }
        transaction.commit().map_err(storage)
    }

    /// All keys with this prefix, in order, with their values.
    pub fn scan(&self, prefix: &[u8]) -> Result<Vec<Item>, StoreError> {
        let transaction = self.db.begin_read().map_err(storage)?;
        let items = transaction.open_table(ITEMS).map_err(storage)?;
        let mut found = Vec::new();
        for item in items.range(prefix..).map_err(storage)? {
            let (key, value) = item.map_err(storage)?;
            if !key.value().starts_with(prefix) {
                break;
            }
            found.push((key.value().to_vec(), value.value().to_vec()));
        }
        Ok(found)
    }

    /// Checks all checksums. If any does not match, the store is restored to its last valid state and `false` is
    /// returned.
    pub fn verify(&mut self) -> Result<bool, StoreError> {
        self.db.check_integrity().map_err(storage)
    }

    /// Releases the space of unused pages. Crash-safe, like a commit.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        self.db.compact().map_err(storage).inspect_err(|_| self.failed = true)
    }

    /// Collects statistics.
    pub fn info(&self) -> Result<Info, StoreError> {
        let items = self.scan(b"")?;
        let transaction = self.db.begin_write().map_err(storage)?;
        let stats = transaction.stats().map_err(storage)?;
        transaction.abort().map_err(storage)?;
        Ok(Info {
            sequence: self.sequence,
            items: items.len() as u64,
            stored_bytes: stats.stored_bytes(),
            overhead_bytes: stats.metadata_bytes() + stats.fragmented_bytes(),
        })
    }
}
