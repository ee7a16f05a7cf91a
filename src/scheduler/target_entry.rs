//! Entries of targets in the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Capacity;

/// Id of a target, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(pub Arc<str>);

impl std::fmt::Display for TargetId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether a target takes new work, as its entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Is about to leave, and takes no new work.
    Draining,
}

/// A target's entry in the platform's list, written by the target itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target, the same in all its incarnations.
    pub id: TargetId,
    /// When this incarnation of the target started, in ms since 1970; a later start of the
    /// target under the same id has a higher value.
    pub born: u64,
    /// Address at which the target takes calls.
    pub address: SocketAddr,
    /// Name of the pool that the target belongs to.
    pub pool: Arc<str>,
    /// Name of the VM that the target runs on.
    pub vm: Arc<str>,
    /// Name of the data centre that the target is in; empty if its entry does not tell.
    pub data_centre: Arc<str>,
    /// Labels of the target: its kind and, last, its rack.
    pub labels: Vec<String>,
    /// Total capacity that the target offers to tasks.
    pub capacity: Capacity,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// Time for which the target still runs tasks slowly after its start, in ms, counted from when
    /// the entry was written; 0 for none.
    pub cold_left_ms: u64,
}

impl TargetEntry {
    /// The target's rack, which is its failure domain: the last label, or empty without one.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// One life of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Incarnation {
    pub(super) id: TargetId,
    /// As in [`TargetEntry::born`].
    pub(super) born: u64,
}

impl Incarnation {
    pub(super) fn of(entry: &TargetEntry) -> Self {
        Self {
            id: entry.id.clone(),
            born: entry.born,
        }
    }

    /// Returns whether the entry is one of this incarnation.
    pub(super) fn is_of(&self, entry: &TargetEntry) -> bool {
        self.id == entry.id && self.born == entry.born
    }
}
