//! Records of the scheduler's stream. Each has a key, and the newest record of a key replaces
//! earlier ones.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::sparse_progress::SparseProgress;
use super::{JobKey, JobProgress, JobSpec};

/// Format version of most records, the first byte of every value.
const FORMAT: u8 = 1;

/// Format version of progress from which ended occurrences are left out: builds that know only the
/// first format would take the others for the first ones. A process refuses records of a later one.
const SPARSE_FORMAT: u8 = 2;

/// The process that holds the leader role, as it claimed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the process.
    pub member: String,
    /// Differs between two lives of a process with the same name.
    pub incarnation: u64,
    /// Fencing token, which rises with every claim.
    pub epoch: u64,
    /// Whether the holder has given the role up, so that another process may claim it without
    /// waiting for a timeout.
    pub released: bool,
    /// Number of the holder's batch that this record ends; 0 in a claim.
    pub batch: u64,
}

/// Progress of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Names of the VMs whose maintenance has begun, or that the platform says are not part of
    /// the wave.
    pub begun: Vec<String>,
    /// Part of the stored format; always false, and not read.
    pub complete: bool,
}

/// A process of the system, as it introduces itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the process.
    pub name: String,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A job was accepted.
    Job(JobKey, JobSpec),
    /// A job was cancelled by its caller.
    Cancel(JobKey),
    /// Progress of a job.
    Progress(JobKey, JobProgress),
    /// The leader role was claimed or given up, or its holder has written a batch.
    Holder(Holder),
    /// Progress of the maintenance wave with this number.
    Wave(u64, WaveProgress),
    /// A process introduced itself.
    Member(Member),
}

/// A change that was read from the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record was written.
    Put(Record),
    /// The job's own record was deleted: the job is forgotten.
    Forget(JobKey),
    /// Any other record was deleted, or a record could not be decoded; the table does not change.
    Other,
}

const HOLDER_KEY: &str = "holder";

impl Record {
    /// Keys of all records of a job, to be deleted in this order: that of the job itself comes
    /// last.
    #[must_use]
    pub fn keys_of(job: JobKey) -> [String; 3] {
        [format!("p/{job}"), format!("c/{job}"), format!("j/{job}")]
    }

    /// Key of the record in the stream.
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

    fn format(&self) -> u8 {
        match self {
            Self::Progress(_, progress) if !progress.is_dense() => SPARSE_FORMAT,
            _ => FORMAT,
        }
    }

    /// Value of the record in the stream.
    ///
    /// # Errors
    /// Fails when a part of the record can't be serialised.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut value = vec![self.format()];
        match self {
            Self::Job(_, spec) => rmp_serde::encode::write(&mut value, spec)?,
            Self::Cancel(_) => {}
            Self::Progress(_, progress) if !progress.is_dense() => {
                rmp_serde::encode::write(&mut value, &SparseProgress::of(progress))?;
            }
            Self::Progress(_, progress) => rmp_serde::encode::write(&mut value, progress)?,
            Self::Holder(holder) => rmp_serde::encode::write(&mut value, holder)?,
            Self::Wave(_, progress) => rmp_serde::encode::write(&mut value, progress)?,
            Self::Member(member) => rmp_serde::encode::write(&mut value, member)?,
        }
        Ok(value)
    }
}

/// Encodes records as one message to another process.
///
/// # Errors
/// Fails when a record can't be serialised.
pub fn encode_records(records: &[Record]) -> Result<Vec<u8>> {
    let mut pairs = Vec::with_capacity(records.len());
    for record in records {
        pairs.push((record.key(), ByteBuf::from(record.encode()?)));
    }
    Ok(rmp_serde::to_vec(&pairs)?)
}

/// Decodes a message of [`encode_records`].
///
/// # Errors
/// Fails when the message or any of its records is unusable, or is a deletion.
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
    /// Decodes a record of the stream; an empty value is a deletion.
    ///
    /// # Errors
    /// Fails when the record has a later format, an unknown key or an unusable value.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self> {
        let Some((&format, body)) = value.split_first() else {
            return Ok(match key.strip_prefix("j/").and_then(JobKey::parse) {
                Some(job) => Self::Forget(job),
                None => Self::Other,
            });
        };
        if format > SPARSE_FORMAT {
            bail!("record {key:?} has format {format}, newer than {SPARSE_FORMAT}");
        }
        decode_record(key, format, body)
            .with_context(|| format!("record {key:?}"))
            .map(Self::Put)
    }
}

fn decode_record(key: &str, format: u8, body: &[u8]) -> Result<Record> {
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
        "p" if format == SPARSE_FORMAT => {
            let progress: SparseProgress<'_> = rmp_serde::from_slice(body)?;
            Ok(Record::Progress(job, progress.into_progress()))
        }
        "p" => {
            let mut progress: JobProgress = rmp_serde::from_slice(body)?;
            progress.number_occurrences();
            Ok(Record::Progress(job, progress))
        }
        _ => bail!("unknown kind of record"),
    }
}
