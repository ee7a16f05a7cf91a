//! Bound on each call to the platform.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::services::PlatformError;

/// Longest call, in ms; shorter than the time between two renewals of a task.
const CALL_TIMEOUT_MS: u64 = 800;

/// A call without an answer in time may have taken effect.
pub(super) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let timeout = async {
        Timer::after(Duration::from_millis(CALL_TIMEOUT_MS)).await;
        Err(PlatformError::Unknown(format!(
            "timeout after {CALL_TIMEOUT_MS} ms"
        )))
    };
    future::or(call, timeout).await
}
