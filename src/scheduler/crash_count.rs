//! Counts of the targets that a task may have crashed, as they are stored with its progress.

use serde::ser::SerializeMap;
use serde::{Deserialize, Serialize, Serializer};

use super::TargetId;

/// Targets known to have crashed after which a job is given up, if runs of no other job are
/// suspected of the last crash.
const SEEN_LIMIT: u32 = 3;

/// Unfinished runs after which a job is given up in any case: a task that crashes its targets must
/// not go on to do so. The platform allows two starts after the third crash.
const LIMIT: u32 = 5;

/// Crashes of targets soon after they had started a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Crashes {
    /// Number of targets that crashed or, being silent, may have crashed.
    pub count: u32,
    /// Number of these that are known to have crashed.
    pub seen: u32,
    /// Number of the latest run that was counted. Several leaders may learn of the same crash.
    pub run: u32,
    /// Number of further runs that began, or may have, and ended without being done for another known
    /// reason. They count toward the limit, since such a run may have crashed its target all the same,
    /// but do not make the task suspect.
    #[serde(default)]
    pub others: u32,
    /// Counted targets of which it is open whether they crashed.
    #[serde(default)]
    pub lost: Vec<LostTarget>,
}

/// A target that was lost soon after it had started a task, perhaps only because it could not be
/// reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Incarnation of the target: when it started, in ms since 1970.
    pub born: u64,
    /// Name of its VM; empty if that is not known.
    pub vm: String,
    /// Whether runs of no other job are suspected.
    pub alone: bool,
}

impl Crashes {
    /// Returns whether no run is counted.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0 && self.others == 0
    }

    /// Returns whether the task may have crashed a target, without another reason known.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.count > 0
    }

    /// Returns whether there are too many that are known, if runs of no other job are suspected of
    /// the last one.
    pub(super) const fn too_many_seen(&self) -> bool {
        self.seen >= SEEN_LIMIT
    }

    /// Returns whether the task may have crashed as many targets as the platform allows before it
    /// limits the starts.
    pub(super) const fn limits_starts(&self) -> bool {
        self.count + self.others >= SEEN_LIMIT
    }

    /// Returns whether there are too many unfinished runs, whatever is known of them.
    pub(super) const fn too_many(&self) -> bool {
        self.count + self.others >= LIMIT
    }
}

/// Earlier builds read records only as an array of the first three fields or as a map, of which
/// they skip the fields that they don't know. It is written as a map only with further fields.
impl Serialize for Crashes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.lost.is_empty() && self.others == 0 {
            return (self.count, self.seen, self.run).serialize(serializer);
        }
        let mut map = serializer.serialize_map(Some(5))?;
        map.serialize_entry("count", &self.count)?;
        map.serialize_entry("seen", &self.seen)?;
        map.serialize_entry("run", &self.run)?;
        map.serialize_entry("others", &self.others)?;
        map.serialize_entry("lost", &self.lost)?;
        map.end()
    }
}
