//! Identities and versions: the source of a change, its number, and version vectors of applied changes.

use serde::{Deserialize, Serialize};

/// Maximum number of sources.
pub const MAX_SOURCES: usize = 8;
/// Highest epoch that is accepted. A higher one in a datagram would leave a source no room to raise its own.
pub const MAX_EPOCH: u32 = u32::MAX / 2;
/// Highest number of a change in a log that is accepted.
pub const MAX_NUMBER: u32 = u32::MAX / 2;
/// Highest time of a stamp that is accepted, in milliseconds since 1970 (the year 4199).
pub const MAX_STAMP_MILLIS: u64 = 1 << 46;

/// Number of a source, 0 to 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct SourceId(pub u8);

impl SourceId {
    /// Returns the index of the source in arrays over all sources.
    pub fn index(self) -> usize {
        usize::from(self.0) % MAX_SOURCES
    }
}

/// Epoch of a source's log; each run of its process starts a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Epoch(pub u32);

/// The last change applied from a source's log; number 0 means none yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct SourceVersion {
    /// Epoch of the log.
    pub epoch: Epoch,
    /// Number within the log; the first change has number 1.
    pub number: u32,
}

/// Identity of a change, as in dotted version vectors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Dot {
    /// The source that accepted it.
    pub source: SourceId,
    /// Epoch of that source's log.
    pub epoch: Epoch,
    /// Number in that log.
    pub number: u32,
}

impl Dot {
    /// Returns the version of the source's log that ends with this change.
    pub fn version(self) -> SourceVersion {
        SourceVersion { epoch: self.epoch, number: self.number }
    }

    /// Returns whether all parts of the identity are within their bounds.
    pub fn is_plausible(self) -> bool {
        usize::from(self.source.0) < MAX_SOURCES
            && self.epoch.0 <= MAX_EPOCH
            && (1..=MAX_NUMBER).contains(&self.number)
    }
}

/// Time of a change by a hybrid logical clock, made unique by the change's identity. The change with the highest stamp
/// wins a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since 1970.
    pub millis: u64,
    /// Identity of the change.
    pub dot: Dot,
}

impl Stamp {
    /// Returns whether the time and the identity are within their bounds.
    pub fn is_plausible(self) -> bool {
        self.millis <= MAX_STAMP_MILLIS && self.dot.is_plausible()
    }
}

/// The version applied of each source's log; only the latest epoch of each source is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(into = "Vec<(u8, u32, u32)>", try_from = "Vec<(u8, u32, u32)>")]
pub struct VersionVector {
    versions: [SourceVersion; MAX_SOURCES],
}

impl VersionVector {
    /// Returns the version applied of a source's log.
    pub fn get(&self, source: SourceId) -> SourceVersion {
        self.versions[source.index()]
    }

    /// Sets the version applied of a source's log.
    pub fn set(&mut self, source: SourceId, version: SourceVersion) {
        self.versions[source.index()] = version;
    }

    /// Returns whether the change has been applied or belongs to an earlier epoch.
    pub fn covers(&self, dot: Dot) -> bool {
        self.get(dot.source) >= dot.version()
    }

    /// Returns whether this vector includes everything in `other`.
    pub fn is_at_least(&self, other: &VersionVector) -> bool {
        self.versions.iter().zip(&other.versions).all(|(mine, theirs)| mine >= theirs)
    }

    /// Returns the lower version of the two for each source.
    pub fn lower(&self, other: &VersionVector) -> VersionVector {
        let mut lower = *self;
        lower
            .versions
            .iter_mut()
            .zip(&other.versions)
            .for_each(|(mine, theirs)| *mine = (*mine).min(*theirs));
        lower
    }

    /// Returns the sources with at least one applied change, with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (SourceId, SourceVersion)> + '_ {
        let numbered = (0u8..).zip(self.versions);
        numbered.filter(|(_, version)| *version != SourceVersion::default()).map(|(no, v)| (SourceId(no), v))
    }
}

impl From<VersionVector> for Vec<(u8, u32, u32)> {
    fn from(vector: VersionVector) -> Self {
        vector.iter().map(|(source, version)| (source.0, version.epoch.0, version.number)).collect()
    }
}

impl TryFrom<Vec<(u8, u32, u32)>> for VersionVector {
    type Error = String;

    fn try_from(list: Vec<(u8, u32, u32)>) -> Result<Self, String> {
        let mut vector = VersionVector::default();
        for (source, epoch, number) in list {
            if usize::from(source) >= MAX_SOURCES {
                return Err(format!(
                    "version vector: source {source} is not below the limit of {MAX_SOURCES}"
                ));
            }
            if epoch > MAX_EPOCH || number > MAX_NUMBER {
                return Err(format!(
                    "version vector: epoch {epoch} or number {number} of source {source} is too high"
                ));
            }
            vector.set(SourceId(source), SourceVersion { epoch: Epoch(epoch), number });
        }
        Ok(vector)
    }
}
