//! Kinds of faults, and names of the sites that they are injected at.

use std::fmt;
use std::str::FromStr;

use anyhow::{Error, bail};
use serde::{Deserialize, Serialize};

/// Name of a listening address at which faults can be injected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SiteName {
    /// Log service.
    Log,
    /// VM list.
    Vms,
    /// Pools service, which drains, restores and reboots VMs.
    Pools,
    /// Workers service, which manages tasks and their leases.
    Workers,
    /// An executor, by the id of its VM.
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

/// A fault to inject at one site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Refuses connections, closes the open ones, and aborts their requests.
    Down,
    /// Answers every request with 503, without effect.
    Unavailable,
    /// Delays every request before it is processed.
    Slow {
        /// Delay in ms.
        ms: u64,
    },
    /// Accepts connections and reads requests, but processes and answers them only once the fault
    /// is cleared.
    Frozen,
    /// Discards everything on the connections that are open now, even after the fault is cleared;
    /// new connections work.
    Silent,
    /// Processes requests, then closes the connection without a response.
    Lost {
        /// Number of requests affected; `None` affects all until the fault is cleared.
        #[serde(default)]
        count: Option<u64>,
    },
    /// Processes requests, then sends a response that violates the protocol or is late.
    Wrong {
        /// How the response violates the protocol.
        answer: WrongAnswer,
        /// Delay before the response, in ms.
        #[serde(default)]
        delay_ms: u64,
        /// Number of responses affected; `None` affects all until the fault is cleared.
        #[serde(default)]
        count: Option<u64>,
    },
}

/// How a response violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WrongAnswer {
    /// The connection closes before `Content-Length` bytes are sent.
    Short,
    /// The bytes of a second response follow the first.
    Overlong,
    /// Two different `Content-Length` headers.
    TwoLengths,
    /// Bytes that are not HTTP.
    Garbage,
    /// An unassigned status code.
    BadStatus,
    /// No `Content-Length`; the close of the connection ends the body.
    NoLength,
    /// The connection closes in the middle of a chunk.
    CutChunk,
    /// A `100 Continue` response precedes the final one.
    Informational,
    /// A correct response, sent after the delay; the connection stays open.
    Late,
}

/// A network partition in one direction: requests and responses from one data centre to another
/// are held back until it is healed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cut {
    /// Sending data centre, or [`PLATFORM`](super::PLATFORM).
    pub from: String,
    /// Receiving data centre, or [`PLATFORM`](super::PLATFORM).
    pub to: String,
}
