//! What a lockpoint controller keeps over a power loss: an ordered table of keys and values, changed in batches that are
//! there whole or not at all. On [`redb`]; every read and write passes its [`redb::StorageBackend`], so that a simulated
//! disk ([`sim::SimDisk`]) takes the place of the file in tests. `docs/recovery.md` weighs the ways.
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
/// Of what this crate puts into the file.
const VERSION: u64 = 1;
/// Memory for pages, in bytes: what a controller keeps fits.
const CACHE: usize = 4 << 20;

/// A store that cannot be used, or a change that is not known to be kept.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("{}: another process has it open", path.display())]
    InUse {
        /// Which file.
        path: PathBuf,
    },
    /// It was written by another version.
    #[error("version {found} of the store, where {VERSION} is known")]
    Version {
        /// The version that it has.
        found: u64,
    },
    /// An earlier write or sync failed: nobody knows what of it is kept. Only opening it anew tells.
    #[error("an earlier write failed; open the store anew")]
    Failed,
    /// The file cannot be read or written, or its checksums do not fit.
    #[error("the store: {0}")]
    Storage(String),
}

fn storage(error: impl std::fmt::Display) -> StoreError {
    StoreError::Storage(error.to_string())
}

/// When a commit counts as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// It is in memory. A power loss takes it back, and all that came after the last synced one with it, in order.
    Deferred,
    /// It is on the disk, and all before it.
    Synced,
}

/// Changes that are kept together. Of two changes of one key the later counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch(BTreeMap<Vec<u8>, Option<Vec<u8>>>);

impl Batch {
    /// This key has this value from now on.
    pub fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.insert(key.to_vec(), Some(value.to_vec()));
    }
    /// This key has none.
    pub fn remove(&mut self, key: &[u8]) {
        self.0.insert(key.to_vec(), None);
    }
    /// How many keys it changes.
    pub fn len(&self) -> usize {
        self.0.len()
    }
    /// Whether it changes nothing.
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

/// What there is to say of a store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Info {
    /// Batches committed since it was made.
    pub sequence: u64,
    /// Keys that have a value.
    pub items: u64,
    /// Bytes of keys and values.
    pub stored_bytes: u64,
    /// Bytes that the file takes beyond them: pages not full, old pages, the tree itself.
    pub overhead_bytes: u64,
}

/// An open store. It is one process's: a second one is refused.
#[derive(Debug)]
pub struct Store {
    db: Database,
    sequence: u64,
    failed: bool,
}

impl Store {
    /// Opens the store in this file, or makes it. One that was not closed in order is brought back to its last synced
    /// commit, or a later one that is there whole.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        if !path.exists() {
            Store::make(path)?;
        }
        let opened = Database::builder().set_cache_size(CACHE).create(path);
        let db = opened.map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
            other => StoreError::Storage(format!("{}: {other}", path.display())),
        })?;
        Store::of(db)
    }

    /// Makes an empty store beside its place and moves it there. Guards against a power loss in the midst of the first
    /// writes, which leaves a file that is no store yet.
    fn make(path: &Path) -> Result<(), StoreError> {
        let fail = |error: std::io::Error| StoreError::Storage(format!("{}: {error}", path.display()));
        let mut beside = path.as_os_str().to_owned();
        beside.push(".new");
        let beside = PathBuf::from(beside);
        if beside.exists() {
            std::fs::remove_file(&beside).map_err(fail)?;
        }
        let db = Database::builder().create(&beside);
        drop(Store::of(db.map_err(|error| StoreError::Storage(format!("{}: {error}", beside.display())))?)?);
        std::fs::rename(&beside, path).map_err(fail)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        std::fs::File::open(folder.unwrap_or(Path::new(".")))
            .and_then(|folder| folder.sync_all())
            .map_err(fail)
    }

    /// The same on something else than a file.
    pub fn with_backend(disk: impl StorageBackend) -> Result<Store, StoreError> {
        let db = Database::builder().set_cache_size(CACHE).create_with_backend(disk);
        Store::of(db.map_err(storage)?)
    }

    fn of(db: Database) -> Result<Store, StoreError> {
        let sequence = {
            let reading = db.begin_read().map_err(storage)?;
            match reading.open_table(META) {
                Ok(meta) => {
                    let figure = |name| meta.get(name).map(|found| found.map_or(0, |value| value.value()));
                    let found = figure("version").map_err(storage)?;
                    if found != VERSION {
                        return Err(StoreError::Version { found });
                    }
                    Some(figure("sequence").map_err(storage)?)
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

    /// Keeps a batch; its number. An error of the disk is not tried again: what was written then may be kept or not,
    /// and every later call is refused until the store is opened anew.
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
        let mut writing = self.db.begin_write().map_err(storage)?;
        let durable = match durability {
            Durability::Deferred => redb::Durability::None,
            Durability::Synced => redb::Durability::Immediate,
        };
        writing.set_durability(durable).map_err(storage)?;
        {
            let mut items = writing.open_table(ITEMS).map_err(storage)?;
            for (key, value) in &batch.0 {
                match value {
                    Some(value) => drop(items.insert(key.as_slice(), value.as_slice()).map_err(storage)?),
                    None => drop(items.remove(key.as_slice()).map_err(storage)?),
                }
            }
            let mut meta = writing.open_table(META).map_err(storage)?;
            meta.insert("version", VERSION).map_err(storage)?;
            meta.insert("sequence", sequence).map_err(storage)?;
        }
        writing.commit().map_err(storage)
    }

    /// All keys that begin so, in order, with their values.
    pub fn scan(&self, begins: &[u8]) -> Result<Vec<Item>, StoreError> {
        let reading = self.db.begin_read().map_err(storage)?;
        let items = reading.open_table(ITEMS).map_err(storage)?;
        let mut found = Vec::new();
        for item in items.range(begins..).map_err(storage)? {
            let (key, value) = item.map_err(storage)?;
            if !key.value().starts_with(begins) {
                break;
            }
            found.push((key.value().to_vec(), value.value().to_vec()));
        }
        Ok(found)
    }

    /// Whether all checksums fit. What does not fit is brought back to the last state that does.
    pub fn verify(&mut self) -> Result<bool, StoreError> {
        self.db.check_integrity().map_err(storage)
    }

    /// Gives back the room of pages that are used no more. Crash-safe, like a commit.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        self.db.compact().map_err(storage).inspect_err(|_| self.failed = true)
    }

    /// What there is to say of it.
    pub fn info(&self) -> Result<Info, StoreError> {
        let items = self.scan(b"")?;
        let writing = self.db.begin_write().map_err(storage)?;
        let stats = writing.stats().map_err(storage)?;
        writing.abort().map_err(storage)?;
        Ok(Info {
            sequence: self.sequence,
            items: items.len() as u64,
            stored_bytes: stats.stored_bytes(),
            overhead_bytes: stats.metadata_bytes() + stats.fragmented_bytes(),
        })
    }
}
