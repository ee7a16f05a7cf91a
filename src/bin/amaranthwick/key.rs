//! `amaranthwick key`: creates, grants and withdraws keys.

use std::path::Path;
use std::process::ExitCode;

use amaranthwick::config::KeyFile;
use amaranthwick::document::{
    check_name, format_secret, grant_key, hex, key_hash, new_secret, read_file, replace_file,
    withdraw_key,
};
use amaranthwick::id::{KeyId, TeamId};
use anyhow::{Context, Result};

/// Prints a new secret of a caller and the line to add to `keys` in the team's section.
pub(crate) fn new(name: &str) -> Result<ExitCode> {
    let name = check_name(name)?;
    let secret = new_secret()?;
    let hash = hex::encode(&key_hash(&secret));
    println!("secret, shown only now: {}", format_secret(&secret));
    println!("line for `keys`: \"{name}\": {{ \"sha256\": \"{hash}\" }}");
    Ok(ExitCode::SUCCESS)
}

/// Adds a new key to the section of a team in a file and prints its secret.
pub(crate) fn grant(team: &str, name: &str, file: &Path) -> Result<ExitCode> {
    let team = TeamId::new(check_name(team)?);
    let name = KeyId::new(check_name(name)?);
    let secret = new_secret()?;
    let text = read_file(file)?;
    let hash = key_hash(&secret);
    let changed = grant_key(&file.display().to_string(), &text, &team, &name, &hash)?;
    replace(file, &text, &changed)?;
    println!("secret, shown only now: {}", format_secret(&secret));
    println!("publish section `{team}` to put key `{name}` in force");
    Ok(ExitCode::SUCCESS)
}

/// Removes a key from the section of a team in a file.
pub(crate) fn withdraw(team: &str, name: &str, file: &Path) -> Result<ExitCode> {
    let team = TeamId::new(check_name(team)?);
    let name = KeyId::new(check_name(name)?);
    let text = read_file(file)?;
    let changed = withdraw_key(&file.display().to_string(), &text, &team, &name)?;
    replace(file, &text, &changed)?;
    println!("publish section `{team}` to end key `{name}`");
    Ok(ExitCode::SUCCESS)
}

/// Writes the key file of a new operator and prints the line to add to `operators`.
pub(crate) fn operator(name: &str, file: &Path) -> Result<ExitCode> {
    let name = check_name(name)?;
    let key = KeyFile::create(file).with_context(|| format!("create {}", file.display()))?;
    let public = hex::encode(&key.public());
    println!("line for `operators`: \"{name}\": \"{public}\"");
    Ok(ExitCode::SUCCESS)
}

fn replace(file: &Path, old: &str, new: &str) -> Result<()> {
    replace_file(file, old, new).with_context(|| format!("write {}", file.display()))
}
