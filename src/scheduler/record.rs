//! Records of the scheduler's stream: each has a key, and the newest of a key counts.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::{JobKey, JobProgress, JobSpec};

/// First byte of every value; a process refuses records of a later format.
const FORMAT: u8 = 1;

/// Who holds the claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the process.
    pub member: String,
    /// Tells two lives of a process of one name apart.
    pub incarnation: u64,
    /// Fencing token: rises with every claim.
    pub epoch: u64,
    /// True once the holder has stopped; anyone may claim at once.
    pub released: bool,
    /// Number of the holder's batch that the record closes; 0 in a claim.
    pub batch: u64,
}

/// How far a maintenance wave has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose upkeep has begun.
    pub begun: Vec<String>,
    /// All VMs that stay have had their upkeep.
    pub complete: bool,
}

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Address for other processes.
    pub address: SocketAddr,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A job was accepted.
    Job(JobKey, JobSpec),
    /// Its caller cancelled it.
    Cancel(JobKey),
    /// How far it has come.
    Progress(JobKey, JobProgress),
    /// Who holds the claim.
    Holder(Holder),
    /// How far a wave has come.
    Wave(u64, WaveProgress),
    /// A process has started.
    Member(Member),
}

/// One change of the stream, as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record was written.
    Put(Record),
    /// Everything about a job is forgotten.
    Forget(JobKey),
    /// The deletion of a record that needs no action.
    Nothing,
}

const HOLDER_KEY: &str = "holder";

impl Record {
    /// Keys of all records of a job, for forgetting it; that of the job itself comes last.
    #[must_use]
    pub fn keys_of(job: JobKey) -> [String; 3] {
        [format!("p/{job}"), format!("c/{job}"), format!("j/{job}")]
    }

    /// The record's key.
    #[must_use]
    pub fn key(&self) -> String {
        match self {
            Self::Job(job, _) => format!("j/{job}"),
            Self::Cancel(job) => format!("c/{job}"),
            Self::Progress(job, _) => format!("p/{job}"),
            Self::Holder(_) => HOLDER_KEY.to_owned(),
            Self::Wave(number, _) => format!("w/{number}"),
            Self::Member(member) => format!("m/{}", member.name),
        }
    }

    /// The record's value.
    ///
    /// # Errors
    /// Fails when the codec does.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut value = vec![FORMAT];
        match self {
            Self::Job(_, spec) => rmp_serde::encode::write(&mut value, spec)?,
            Self::Cancel(_) => {}
            Self::Progress(_, progress) => rmp_serde::encode::write(&mut value, progress)?,
            Self::Holder(holder) => rmp_serde::encode::write(&mut value, holder)?,
            Self::Wave(_, progress) => rmp_serde::encode::write(&mut value, progress)?,
            Self::Member(member) => rmp_serde::encode::write(&mut value, member)?,
        }
        Ok(value)
    }
}

/// Writes records as one message for another process.
///
/// # Errors
/// Fails when the codec does.
pub fn encode_records(records: &[Record]) -> Result<Vec<u8>> {
    let mut pairs = Vec::with_capacity(records.len());
    for record in records {
        pairs.push((record.key(), ByteBuf::from(record.encode()?)));
    }
    Ok(rmp_serde::to_vec(&pairs)?)
}

/// Reads a message of records.
///
/// # Errors
/// Says why it can't be used; records are used all or none.
pub fn decode_records(message: &[u8]) -> Result<Vec<Record>> {
    let pairs: Vec<(String, ByteBuf)> = rmp_serde::from_slice(message)?;
    let mut records = Vec::with_capacity(pairs.len());
    for (key, value) in pairs {
        match Change::decode(&key, &value)? {
            Change::Put(record) => records.push(record),
            _ => bail!("record {key:?} is a deletion"),
        }
    }
    Ok(records)
}

impl Change {
    /// Reads a record of the stream; an empty value is a deletion.
    ///
    /// # Errors
    /// Says why the record can't be used.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self> {
        let Some((&format, body)) = value.split_first() else {
            return Ok(match key.strip_prefix("j/").and_then(JobKey::parse) {
                Some(job) => Self::Forget(job),
                None => Self::Nothing,
            });
        };
        if format > FORMAT {
            bail!("record {key:?} has format {format}, newer than {FORMAT}");
        }
        decode_record(key, body)
            .with_context(|| format!("record {key:?}"))
            .map(Self::Put)
    }
}

fn decode_record(key: &str, body: &[u8]) -> Result<Record> {
    if key == HOLDER_KEY {
        return Ok(Record::Holder(rmp_serde::from_slice(body)?));
    }
    let Some((kind, name)) = key.split_once('/') else {
        bail!("unknown key");
    };
    if kind == "w" {
        return Ok(Record::Wave(name.parse()?, rmp_serde::from_slice(body)?));
    }
    if kind == "m" {
        return Ok(Record::Member(rmp_serde::from_slice(body)?));
    }
    let job = JobKey::parse(name).context("no job id in the key")?;
    match kind {
        "j" => Ok(Record::Job(job, rmp_serde::from_slice(body)?)),
        "c" => Ok(Record::Cancel(job)),
        "p" => Ok(Record::Progress(job, rmp_serde::from_slice(body)?)),
        _ => bail!("unknown kind of record"),
    }
}
