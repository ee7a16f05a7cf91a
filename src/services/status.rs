//! Maps replies of the VM list, the pools and the workers to results.

use serde::de::DeserializeOwned;

use super::PlatformError;
use super::call::{decode, describe_failure, is_path_safe};
use crate::http::{Reply, SendError};

/// Decodes the reply to a call; an error tells whether the call may have taken effect.
pub(crate) fn parse_reply<T: DeserializeOwned>(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<T, PlatformError> {
    let reply = check_reply(call, reply)?;
    decode(call, &reply).map_err(PlatformError::Unknown)
}

/// Returns the reply to a call unless its status is a failure.
pub(crate) fn check_reply(
    call: &str,
    reply: Result<Reply, SendError>,
) -> Result<Reply, PlatformError> {
    let reply = reply.map_err(from_send_error)?;
    check_status(call, &reply)?;
    Ok(reply)
}

/// Fails unless all names can be segments of a URL path as they are.
pub(crate) fn check_path_names(call: &str, names: &[&str]) -> Result<(), PlatformError> {
    match names.iter().find(|name| !is_path_safe(name)) {
        None => Ok(()),
        Some(name) => Err(PlatformError::NotSent(format!("{call}: bad name {name:?}"))),
    }
}

fn from_send_error(error: SendError) -> PlatformError {
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
        400..=499 | 503 => Err(PlatformError::Refused(describe_failure(call, reply))),
        _ => Err(PlatformError::Unknown(describe_failure(call, reply))),
    }
}
