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
            /// Wraps a name that has already been checked.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
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
    /// A customer of the fleet; owns one section of the capacity document.
    TeamId;
    /// A section of the capacity document: `fleet` or the name of a team.
    SectionId;
    /// A virtual machine on the platform.
    VmId;
    /// A class of VMs with the same size.
    ClassId;
    /// A group of VMs serving one service.
    PoolId;
    /// A queue that callers address as `/q/{queue}/...`.
    QueueId;
    /// A kind of back end run by the targets of a pool.
    ServiceId;
    /// A zone with its own VMs, entries and network.
    DataCentre;
    /// A failure domain inside a data centre.
    Rack;
    /// A process of the system.
    MemberId;
    /// A person or tool allowed to edit a section.
    OperatorId;
    /// The name of a caller's key inside its team's section.
    KeyId;
    /// Long work submitted by a team.
    JobId;
    /// One caller's request, also found in logs and in the answer.
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
    /// Number of times a role has changed hands.
    Epoch;
    /// Number of times a member has started, taken from the clock at start.
    Incarnation;
    /// Number of accepted edits of a section.
    Revision;
    /// Number of platform changes made to a VM; used for conditional calls.
    Generation;
}

impl Incarnation {
    /// Microseconds since 1970, so that a process that starts again gets a higher one.
    #[must_use]
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.map_or(0, |since| since.as_micros());
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Unique id of a record; repeats of the same id are ignored by the fold.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub u128);

impl RecordId {
    /// Draws a random id.
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
