//! A disk in memory that loses power: what was not synced may be kept, lost or torn, write by write, by a seed.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use redb::StorageBackend;

/// A disk keeps a write in pieces of this size at best.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Change {
    Length(u64),
    Write(u64, Vec<u8>),
}

#[derive(Debug, Default)]
struct Inner {
    /// What is kept for certain.
    kept: Vec<u8>,
    /// What the process sees.
    seen: Vec<u8>,
    /// What was changed since the last sync, in order.
    unsynced: Vec<Change>,
    /// Reads, writes, changes of length and syncs so far.
    done: u64,
    /// The one that fails, and all after it.
    fails_at: Option<u64>,
}

/// A disk in memory. Clones are the same disk.
#[derive(Debug, Clone, Default)]
pub struct SimDisk(Arc<Mutex<Inner>>);

fn apply(image: &mut Vec<u8>, change: &Change, keeps: usize) {
    match change {
        Change::Length(length) => image.resize(usize::try_from(*length).unwrap_or(usize::MAX), 0),
        Change::Write(at, bytes) => {
            let at = usize::try_from(*at).unwrap_or(usize::MAX);
            let bytes = &bytes[..keeps.min(bytes.len())];
            if image.len() < at + bytes.len() {
                image.resize(at + bytes.len(), 0);
            }
            image[at..at + bytes.len()].copy_from_slice(bytes);
        }
    }
}

impl SimDisk {
    /// A disk that holds these bytes.
    pub fn from_image(bytes: Vec<u8>) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(Inner { seen: bytes.clone(), kept: bytes, ..Inner::default() })))
    }

    /// What a process sees now, as if all of it were kept.
    pub fn image(&self) -> Vec<u8> {
        self.with(|inner| inner.seen.clone())
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The operation of this number, from 0 on, and all after it fail.
    pub fn fail_at(&self, operation: u64) {
        self.with(|inner| inner.fails_at = Some(operation));
    }

    /// Operations done so far.
    pub fn operations(&self) -> u64 {
        self.with(|inner| inner.done)
    }

    /// Changes that are not synced.
    pub fn unsynced_changes(&self) -> usize {
        self.with(|inner| inner.unsynced.len())
    }

    /// The bytes of the last change that is not synced.
    pub fn last_write_len(&self) -> usize {
        self.with(|inner| match inner.unsynced.last() {
            Some(Change::Write(_, bytes)) => bytes.len(),
            Some(Change::Length(_)) | None => 0,
        })
    }

    /// The power goes: a disk that holds what was synced, and of each later change what `keeps` says: `None` nothing,
    /// `Some` so many bytes of it from its front, in whole sectors but for the last change.
    pub fn power_loss(&self, mut keeps: impl FnMut(usize) -> Option<usize>) -> SimDisk {
        self.with(|inner| {
            let mut image = inner.kept.clone();
            let last = inner.unsynced.len().saturating_sub(1);
            for (no, change) in inner.unsynced.iter().enumerate() {
                let Some(bytes) = keeps(no) else { continue };
                let bytes = if no == last { bytes } else { bytes.div_ceil(SECTOR).saturating_mul(SECTOR) };
                apply(&mut image, change, bytes);
            }
            SimDisk::from_image(image)
        })
    }

    fn operation<T>(&self, work: impl FnOnce(&mut Inner) -> io::Result<T>) -> io::Result<T> {
        self.with(|inner| {
            if inner.fails_at.is_some_and(|at| inner.done >= at) {
                return Err(io::Error::other("the power is gone"));
            }
            inner.done += 1;
            work(inner)
        })
    }
}

impl StorageBackend for SimDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with(|inner| inner.seen.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.operation(|inner| {
            let at = usize::try_from(offset).unwrap_or(usize::MAX);
            let found = inner.seen.get(at..at.saturating_add(out.len()));
            out.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operation(|inner| {
            apply(&mut inner.seen, &Change::Length(len), 0);
            inner.unsynced.push(Change::Length(len));
            Ok(())
        })
    }

    fn sync_data(&self) -> io::Result<()> {
        self.operation(|inner| {
            inner.kept = inner.seen.clone();
            inner.unsynced.clear();
            Ok(())
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.operation(|inner| {
            let change = Change::Write(offset, data.to_vec());
            apply(&mut inner.seen, &change, data.len());
            inner.unsynced.push(change);
            Ok(())
        })
    }
}
