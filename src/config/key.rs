//! Files with the seed of an operator's private key.

use std::fmt;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use anyhow::Result;

use crate::document::{OperatorKey, RandomError, hex, new_secret};
use crate::finding::Findings;
use crate::jsonc;

const OWNER_READ_WRITE: u32 = 0o600;

/// Creates and reads key files: JSON with comments, `{ "seed": "64 hexadecimal digits" }`.
#[derive(Debug)]
pub struct KeyFile;

/// Why a key file was not created.
#[derive(Debug)]
pub enum KeyFileError {
    /// The operating system's random number generator failed.
    Random(RandomError),
    /// The file already exists or can't be written.
    Write(io::Error),
}

impl KeyFile {
    /// Generates a key and writes its seed to a new file that only the owner can read.
    ///
    /// # Errors
    /// Fails when the file already exists, which is never overwritten, or can't be written.
    pub fn create(path: &Path) -> Result<OperatorKey, KeyFileError> {
        let seed = new_secret().map_err(KeyFileError::Random)?;
        let key = OperatorKey::from_seed(&seed);
        let text = Self::text(&key, &seed);
        write_new(path, &text).map_err(KeyFileError::Write)?;
        Ok(key)
    }

    /// Reads and checks a key file.
    ///
    /// # Errors
    /// Fails when the file can't be read, or with all findings in it.
    pub fn read(path: &Path) -> Result<OperatorKey> {
        super::read(path, Self::parse)
    }

    /// Parses and checks the text of a key file.
    ///
    /// # Errors
    /// Returns all findings; none of them shows the seed.
    pub fn parse(file: &str, text: &str) -> Result<OperatorKey, Findings> {
        let seed = jsonc::read(file, text, |node| {
            node.fields(&["seed"])?.required("seed")?.secret()
        })?;
        Ok(OperatorKey::from_seed(&seed))
    }

    fn text(key: &OperatorKey, seed: &[u8; 32]) -> String {
        let public = hex::encode(&key.public());
        let seed = hex::encode(seed);
        format!("// Keep this file secret. Public key: {public}\n{{\n  \"seed\": \"{seed}\"\n}}\n")
    }
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Random(e) => e.fmt(f),
            Self::Write(e) => write!(f, "key file not written: {e}"),
        }
    }
}

impl std::error::Error for KeyFileError {}

fn write_new(path: &Path, text: &str) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_READ_WRITE)
        .open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
