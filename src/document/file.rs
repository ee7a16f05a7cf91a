//! Reads text files and replaces them atomically.

use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process;

use anyhow::{Context, Result};

use crate::jsonc;

/// Reads a text file.
///
/// # Errors
/// Fails when the file can't be read, or with a finding at the first byte that is not UTF-8.
pub fn read_file(path: &Path) -> Result<String> {
    let file = path.display().to_string();
    let bytes = fs::read(path).with_context(|| format!("read {file}"))?;
    Ok(jsonc::decode_text(&file, bytes)?)
}

/// Replaces the text of a file if it still is `old`; a concurrent reader sees either the old or
/// the new text.
///
/// # Errors
/// Fails when the file has other text or can't be replaced. The file is then unchanged, except when
/// only the sync of its directory failed.
pub fn replace_file(path: &Path, old: &str, new: &str) -> io::Result<()> {
    let path = fs::canonicalize(path)?;
    let temporary = temporary_path(&path);
    let replaced = write_temporary(&path, &temporary, new)
        .and_then(|()| rename_if_unchanged(&path, &temporary, old));
    if replaced.is_err() {
        // The temporary file may not exist; the first error is the one to report.
        let _ = fs::remove_file(&temporary);
    }
    replaced
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = OsString::from(".");
    name.push(path.file_name().unwrap_or_default());
    name.push(format!(".{}", process::id()));
    path.with_file_name(name)
}

fn write_temporary(path: &Path, temporary: &Path, text: &str) -> io::Result<()> {
    let permissions = fs::metadata(path)?.permissions();
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(temporary)?;
    file.set_permissions(permissions)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn rename_if_unchanged(path: &Path, temporary: &Path, old: &str) -> io::Result<()> {
    if fs::read_to_string(path)? != old {
        return Err(io::Error::other("the file has changed since it was read"));
    }
    fs::rename(temporary, path)?;
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
