//! A simulated disk in memory with power loss: each write that was not synced may be kept, lost or torn.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use redb::StorageBackend;

/// Size in bytes of the largest unit that the disk writes atomically.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Change {
    Length(u64),
    Write(u64, Vec<u8>),
}

#[derive(Debug, Default)]
struct Inner {
    /// Contents that survive a power loss.
    durable: Vec<u8>,
    /// Contents as read by the process.
    current: Vec<u8>,
    /// Changes since the last sync, in order.
    unsynced: Vec<Change>,
    /// Number of reads, writes, length changes and syncs so far.
    operations: u64,
    /// Number of the operation from which on all fail.
    fail_from: Option<u64>,
}

/// A simulated disk. Clones share the same contents.
#[derive(Debug, Clone, Default)]
pub struct SimDisk(Arc<Mutex<Inner>>);

/// Applies a change to an image; of a write only the first `max_bytes` bytes.
fn apply(image: &mut Vec<u8>, change: &Change, max_bytes: usize) {
    match change {
        Change::Length(length) => image.resize(usize::try_from(*length).unwrap_or(usize::MAX), 0),
        Change::Write(at, bytes) => {
            let at = usize::try_from(*at).unwrap_or(usize::MAX);
            let bytes = &bytes[..max_bytes.min(bytes.len())];
            if image.len() < at + bytes.len() {
                image.resize(at + bytes.len(), 0);
            }
            image[at..at + bytes.len()].copy_from_slice(bytes);
        }
    }
}

impl SimDisk {
    /// Creates a disk with these contents.
    pub fn from_image(bytes: Vec<u8>) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(Inner { current: bytes.clone(), durable: bytes, ..Inner::default() })))
    }

    /// The current contents, including changes that are not synced.
    pub fn image(&self) -> Vec<u8> {
        self.with(|inner| inner.current.clone())
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes the operation with this number, counted from 0, and all later ones fail.
    pub fn fail_from(&self, operation: u64) {
        self.with(|inner| inner.fail_from = Some(operation));
    }

    /// Number of operations so far.
    pub fn operations(&self) -> u64 {
        self.with(|inner| inner.operations)
    }

    /// Number of changes that are not synced.
    pub fn unsynced_changes(&self) -> usize {
        self.with(|inner| inner.unsynced.len())
    }

    /// Length in bytes of the last change that is not synced; 0 if it is not a write.
    pub fn last_write_len(&self) -> usize {
        self.with(|inner| match inner.unsynced.last() {
            Some(Change::Write(_, bytes)) => bytes.len(),
            Some(Change::Length(_)) | None => 0,
        })
    }

    /// Simulates a power loss. Returns a disk with the synced contents and, of each later change, what `kept_bytes`
    /// returns for its index: nothing for `None`, otherwise that many bytes from its start, rounded up to whole sectors
    /// except for the last change.
    pub fn power_loss(&self, mut kept_bytes: impl FnMut(usize) -> Option<usize>) -> SimDisk {
        self.with(|inner| {
            let mut image = inner.durable.clone();
            let last = inner.unsynced.len().saturating_sub(1);
            for (index, change) in inner.unsynced.iter().enumerate() {
                let Some(bytes) = kept_bytes(index) else { continue };
                let bytes = if index == last { bytes } else { bytes.div_ceil(SECTOR).saturating_mul(SECTOR) };
                apply(&mut image, change, bytes);
            }
            SimDisk::from_image(image)
        })
    }

    fn operation<T>(&self, work: impl FnOnce(&mut Inner) -> io::Result<T>) -> io::Result<T> {
        self.with(|inner| {
            if inner.fail_from.is_some_and(|at| inner.operations >= at) {
                return Err(io::Error::other("simulated power loss"));
            }
            inner.operations += 1;
            work(inner)
        })
    }
}

impl StorageBackend for SimDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with(|inner| inner.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.operation(|inner| {
            let at = usize::try_from(offset).unwrap_or(usize::MAX);
            let found = inner.current.get(at..at.saturating_add(out.len()));
            out.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operation(|inner| {
            apply(&mut inner.current, &Change::Length(len), 0);
            inner.unsynced.push(Change::Length(len));
            Ok(())
        })
    }

    fn sync_data(&self) -> io::Result<()> {
        self.operation(|inner| {
            inner.durable = inner.current.clone();
            inner.unsynced.clear();
            Ok(())
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.operation(|inner| {
            let change = Change::Write(offset, data.to_vec());
            apply(&mut inner.current, &change, data.len());
            inner.unsynced.push(change);
            Ok(())
        })
    }
}
