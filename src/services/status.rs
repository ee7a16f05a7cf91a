//! What an answer of the VM list, the pools or the workers means.

use serde::de::DeserializeOwned;

use super::PlatformError;
use super::call::{decode, is_plain, words};
use crate::http::{Reply, SendError};

/// Reads the answer of a call, or what its failure means for its effect.
pub(crate) fn understand<T: DeserializeOwned>(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<T, PlatformError> {
    let reply = answered(call, reply)?;
    decode(call, &reply).map_err(PlatformError::Unknown)
}

/// The answer of a call unless it is a failure.
pub(crate) fn answered(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<Reply, PlatformError> {
    let reply = reply.map_err(lost)?;
    check_status(call, &reply)?;
    Ok(reply)
}

/// Refuses names that can't stand in a path.
pub(crate) fn check_names(call: &str, names: &[&str]) -> Result<(), PlatformError> {
    match names.iter().find(|name| !is_plain(name)) {
        None => Ok(()),
        Some(name) => Err(PlatformError::NotSent(format!("{call}: bad name {name:?}"))),
    }
}

fn lost(error: SendError) -> PlatformError {
    match error {
        SendError::NotSent(cause) => PlatformError::NotSent(cause),
        SendError::MaybeReceived(cause) => PlatformError::Unknown(cause),
    }
}

fn check_status(call: &str, reply: &Reply) -> Result<(), PlatformError> {
    match reply.status {
        200..=299 | 304 => Ok(()),
        404 => Err(PlatformError::Missing),
        412 => Err(PlatformError::Conflict),
        400..=499 | 503 => Err(PlatformError::Refused(words(call, reply))),
        _ => Err(PlatformError::Unknown(words(call, reply))),
    }
}
