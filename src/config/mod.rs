//! Settings of the processes and of the `amaranthwick` command, read from JSON with comments.

mod common;
mod entry;
mod key;
mod model;
mod operator;
mod planner;

pub use key::{KeyFile, KeyFileError};
pub use model::{CommonConfig, EntryConfig, OperatorConfig, PlannerConfig, PlatformAddresses};

use std::path::{Path, PathBuf};

use anyhow::Result;

use crate::document;
use crate::finding::Findings;

/// Reads a file and passes its path and text to `parse`.
fn read<T>(path: &Path, parse: impl FnOnce(&str, &str) -> Result<T, Findings>) -> Result<T> {
    let text = document::read_file(path)?;
    Ok(parse(&path.display().to_string(), &text)?)
}

/// Resolves a path given in a settings file against the directory of that file.
fn resolve_path(file: &str, path: &str) -> PathBuf {
    let directory = Path::new(file).parent();
    directory.map_or_else(|| PathBuf::from(path), |directory| directory.join(path))
}
