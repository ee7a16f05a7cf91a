//! Settings of the processes, read from JSON with comments.

mod common;
mod entry;
mod key;
mod model;
mod operator;
mod planner;

pub use key::{KeyFile, KeyFileError};
pub use model::{Common, EntryConfig, OperatorConfig, PlannerConfig, Platform};

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

use crate::finding::Findings;

/// Reads a file and hands its name and text to `parse`.
fn read<T>(path: &Path, parse: impl FnOnce(&str, &str) -> Result<T, Findings>) -> Result<T> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("read {file}"))?;
    Ok(parse(&file, &text)?)
}

/// A path in a settings file is relative to the file itself.
fn beside(file: &str, path: &str) -> PathBuf {
    let directory = Path::new(file).parent();
    directory.map_or_else(|| PathBuf::from(path), |directory| directory.join(path))
}
