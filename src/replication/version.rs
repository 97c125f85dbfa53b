//! Identities and versions: who wrote a change, which change it is, and which changes have been applied.

use serde::{Deserialize, Serialize};

/// Sources that there can be.
pub const MAX_SOURCES: usize = 8;
/// The highest epoch that is believed: beyond it there would be no room to raise one's own.
pub const MAX_EPOCH: u32 = u32::MAX / 2;
/// The highest number in a log that is believed.
pub const MAX_NUMBER: u32 = u32::MAX / 2;
/// The highest time of a stamp that is believed, in milliseconds since 1970 (the year 4199).
pub const MAX_STAMP_MILLIS: u64 = 1 << 46;

/// The number of a source, 0 to 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct SourceId(pub u8);

impl SourceId {
    /// Its place in arrays over all sources.
    pub fn index(self) -> usize {
        usize::from(self.0) % MAX_SOURCES
    }
}

/// One life of a source's process; a later life has a higher epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Epoch(pub u32);

/// The last change applied of a source's log. Number 0: none yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct SourceVersion {
    /// The epoch of the log.
    pub epoch: Epoch,
    /// The number within the log; the first change has 1.
    pub number: u32,
}

/// The identity of one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Dot {
    /// The source that accepted it.
    pub source: SourceId,
    /// The epoch of its log.
    pub epoch: Epoch,
    /// Its number in that log.
    pub number: u32,
}

impl Dot {
    /// The version of its source's log that ends with this change.
    pub fn version(self) -> SourceVersion {
        SourceVersion { epoch: self.epoch, number: self.number }
    }

    /// Whether the identity can be one.
    pub fn is_plausible(self) -> bool {
        usize::from(self.source.0) < MAX_SOURCES
            && self.epoch.0 <= MAX_EPOCH
            && (1..=MAX_NUMBER).contains(&self.number)
    }
}

/// The time of a change by a hybrid logical clock, made unique by the change's identity. The higher one wins a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since 1970.
    pub millis: u64,
    /// The change.
    pub dot: Dot,
}

impl Stamp {
    /// Whether the stamp can be one.
    pub fn is_plausible(self) -> bool {
        self.millis <= MAX_STAMP_MILLIS && self.dot.is_plausible()
    }
}

/// What of each source's log has been applied. Of each source only the latest epoch is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(into = "Vec<(u8, u32, u32)>", try_from = "Vec<(u8, u32, u32)>")]
pub struct VersionVector {
    versions: [SourceVersion; MAX_SOURCES],
}

impl VersionVector {
    /// The version applied of a source's log.
    pub fn get(&self, source: SourceId) -> SourceVersion {
        self.versions[source.index()]
    }

    /// Sets the version applied of a source's log.
    pub fn set(&mut self, source: SourceId, version: SourceVersion) {
        self.versions[source.index()] = version;
    }

    /// Whether the change has been applied, or its epoch is over.
    pub fn covers(&self, dot: Dot) -> bool {
        self.get(dot.source) >= dot.version()
    }

    /// Whether everything in `other` is in this one.
    pub fn is_at_least(&self, other: &VersionVector) -> bool {
        self.versions.iter().zip(&other.versions).all(|(mine, theirs)| mine >= theirs)
    }

    /// For each source the lower version of the two.
    pub fn lower(&self, other: &VersionVector) -> VersionVector {
        let mut lower = *self;
        lower
            .versions
            .iter_mut()
            .zip(&other.versions)
            .for_each(|(mine, theirs)| *mine = (*mine).min(*theirs));
        lower
    }

    /// The sources of which something has been applied, with the version.
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
                return Err(format!("version vector: source {source} of at most {MAX_SOURCES}"));
            }
            if epoch > MAX_EPOCH || number > MAX_NUMBER {
                return Err(format!("version vector: epoch {epoch}, number {number} of source {source}"));
            }
            vector.set(SourceId(source), SourceVersion { epoch: Epoch(epoch), number });
        }
        Ok(vector)
    }
}
