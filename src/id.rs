//! Identifiers and counters shared by every module.

use std::fmt;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes an id of `name` without checking it; see
            /// [`check_name`](crate::document::check_name).
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Borrows the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    )*};
}

names! {
    /// Name of a customer of the fleet; each team owns one section of the capacity document.
    TeamId;
    /// Name of a section of the capacity document: `fleet` or the name of a team.
    SectionId;
    /// Name of a virtual machine on the platform.
    VmId;
    /// Name of a class of VMs with the same size.
    ClassId;
    /// Name of a pool: a team's group of VMs of one class.
    PoolId;
    /// Name of a queue; callers send requests to `/q/{queue}/...`.
    QueueId;
    /// Name of a service: the kind of back end that the targets of a pool run.
    ServiceId;
    /// Name of a data centre, which has its own VMs, entries and network.
    DataCentre;
    /// Name of a rack: a failure domain inside a data centre.
    Rack;
    /// Name of a member: one entry or planner process, unique in the fleet.
    MemberId;
    /// Name of an operator: a person or tool allowed to edit a section.
    OperatorId;
    /// Name of a caller's key, unique in its team's section.
    KeyId;
    /// Id of a job: long-running work submitted by a team.
    JobId;
    /// Id of one caller's request; logs and the answer to the caller carry it.
    RequestId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

counters! {
    /// Position of a record in the log; the first record has offset 0.
    Offset;
    /// Number of times a role has passed to a new holder.
    Epoch;
    /// Identifies one run of a member: the time of its start, in microseconds since 1970.
    Incarnation;
    /// Number of accepted edits of a section.
    Revision;
    /// Number of changes that the platform has made to a VM; a conditional call names it.
    Generation;
}

impl Incarnation {
    /// The current time, so that a process that starts again gets a higher incarnation.
    ///
    /// A clock before 1970 gives 0.
    #[must_use]
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.map_or(0, |since| since.as_micros());
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Unique id of a record; a second record with the same id has no effect when the log is replayed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub u128);

impl RecordId {
    /// Generates a random 128-bit id.
    #[must_use]
    pub fn random() -> Self {
        Self(fastrand::u128(..))
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
