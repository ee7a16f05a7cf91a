//! An in-memory log that stands for the platform's.

use amaranthwick::id::Offset;
use amaranthwick::services::{Batch, LogError};

use crate::args::ScriptError;

/// How the log fails calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All calls succeed.
    None,
    /// No call reaches the log.
    Down,
    /// The log answers that it is unavailable.
    Unavailable,
    /// Appends take effect, but no answer of the log arrives.
    AnswerLost,
}

/// Records appended so far and the current fault.
#[derive(Debug)]
pub struct Log {
    records: Vec<Vec<u8>>,
    /// Offset of the oldest record that has not expired.
    oldest: usize,
    pub fault: Fault,
}

impl Log {
    pub fn open() -> Self {
        Self {
            records: Vec::new(),
            oldest: 0,
            fault: Fault::None,
        }
    }

    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<Offset, LogError> {
        let first = Offset(self.records.len() as u64);
        match self.fault {
            Fault::Down => return Err(LogError::NotSent("down".to_owned())),
            Fault::Unavailable => return Err(LogError::Unavailable),
            Fault::None | Fault::AnswerLost => self.records.extend_from_slice(records),
        }
        if self.fault == Fault::AnswerLost {
            return Err(LogError::Unknown("answer lost".to_owned()));
        }
        Ok(first)
    }

    pub fn read(&self, from: Offset) -> Result<Batch, LogError> {
        match self.fault {
            Fault::Down => return Err(LogError::NotSent("down".to_owned())),
            Fault::Unavailable => return Err(LogError::Unavailable),
            Fault::AnswerLost => return Err(LogError::Unknown("answer lost".to_owned())),
            Fault::None => {}
        }
        let first = usize::try_from(from.0).expect("small").max(self.oldest);
        Ok(Batch {
            oldest: Offset(self.oldest as u64),
            head: Offset(self.records.len() as u64),
            first: Offset(first as u64),
            records: self.records[first..].to_vec(),
        })
    }

    /// Expires all records appended so far.
    pub fn expire(&mut self) {
        self.oldest = self.records.len();
    }
}

/// Parses the script's name of a fault.
pub fn parse_fault(name: &str) -> Result<Fault, ScriptError> {
    match name {
        "down" => Ok(Fault::Down),
        "unavailable" => Ok(Fault::Unavailable),
        "lost" => Ok(Fault::AnswerLost),
        _ => Err(format!("no fault {name}").into()),
    }
}
