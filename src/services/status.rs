//! What an answer of the VM list, the pools or the workers means.

use serde::de::DeserializeOwned;

use super::PlatformError;
use super::call::{decode, describe_failure, is_path_safe};
use crate::http::{Reply, SendError};

/// Reads the answer of a call, or what its failure means for its effect.
pub(crate) fn parse_reply<T: DeserializeOwned>(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<T, PlatformError> {
    let reply = check_reply(call, reply)?;
    decode(call, &reply).map_err(PlatformError::Unknown)
}

/// The answer of a call unless it is a failure.
pub(crate) fn check_reply(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<Reply, PlatformError> {
    let reply = reply.map_err(from_send_error)?;
    check_status(call, &reply)?;
    Ok(reply)
}

/// Refuses names that can't stand in a path.
pub(crate) fn check_path_names(call: &str, names: &[&str]) -> Result<(), PlatformError> {
    match names.iter().find(|name| !is_path_safe(name)) {
        None => Ok(()),
        Some(name) => Err(PlatformError::NotSent(format!("{call}: bad name {name:?}"))),
    }
}

fn from_send_error(error: SendError) -> PlatformError {
    match error {
        SendError::NotSent(cause) => PlatformError::NotSent(cause),
        SendError::Sent(cause) => PlatformError::Unknown(cause),
    }
}

fn check_status(call: &str, reply: &Reply) -> Result<(), PlatformError> {
    match reply.status {
        200..=299 | 304 => Ok(()),
        404 => Err(PlatformError::Missing),
        412 => Err(PlatformError::Conflict),
        400..=499 | 503 => Err(PlatformError::Refused(describe_failure(call, reply))),
        _ => Err(PlatformError::Unknown(describe_failure(call, reply))),
    }
}
