//! Kinds of faults and the places where they happen.

use std::fmt;
use std::str::FromStr;

use anyhow::{Error, bail};
use serde::{Deserialize, Serialize};

/// A listening address that faults can be set on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SiteName {
    /// Log service.
    Log,
    /// VM list.
    Vms,
    /// Drain and reboot of VMs.
    Pools,
    /// Leases and tasks of workers.
    Workers,
    /// One executor, by the id of its VM.
    Executor(String),
}

impl fmt::Display for SiteName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("log"),
            Self::Vms => f.write_str("vms"),
            Self::Pools => f.write_str("pools"),
            Self::Workers => f.write_str("workers"),
            Self::Executor(vm) => write!(f, "executor:{vm}"),
        }
    }
}

impl FromStr for SiteName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Ok(match text {
            "log" => Self::Log,
            "vms" => Self::Vms,
            "pools" => Self::Pools,
            "workers" => Self::Workers,
            _ => match text.strip_prefix("executor:") {
                Some(vm) => Self::Executor(vm.to_owned()),
                None => bail!("unknown site {text}"),
            },
        })
    }
}

/// A fault of one site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Refuses connections; open ones are closed and what runs is cut.
    Down,
    /// Answers every call with 503 and has no effect.
    Unavailable,
    /// Delays every call before its effect.
    Slow {
        /// Delay in ms.
        ms: u64,
    },
    /// Accepts and reads, but does nothing until the fault is cleared.
    Frozen,
    /// Drops everything on the connections that are open now; new ones work.
    Silent,
    /// Calls take effect, then the connection is closed without an answer.
    Lost {
        /// Calls that are hit; all of them where absent.
        #[serde(default)]
        count: Option<u64>,
    },
    /// Calls take effect, then the answer breaks the protocol.
    Wrong {
        /// How the answer is broken.
        answer: WrongAnswer,
        /// Delay before the answer, in ms.
        #[serde(default)]
        delay_ms: u64,
        /// Answers that are hit; all of them where absent.
        #[serde(default)]
        count: Option<u64>,
    },
}

/// How an answer breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WrongAnswer {
    /// Closed before the stated length.
    Short,
    /// Bytes of another answer follow the stated length.
    Overlong,
    /// Two different lengths are stated.
    TwoLengths,
    /// Not HTTP at all.
    Garbage,
    /// A status that is not registered.
    BadStatus,
    /// No length is stated; the body is ended by the close.
    NoLength,
    /// Closed in the middle of a chunk.
    CutChunk,
    /// An informational answer comes before the final one.
    Informational,
    /// Right, but only after the delay.
    Late,
}

/// Packets from one data centre to another are dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Data centre that sends, or `platform`.
    pub from: String,
    /// Data centre that receives, or `platform`.
    pub to: String,
}
