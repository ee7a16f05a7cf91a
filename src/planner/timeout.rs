//! Timeout of calls to the platform.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::services::PlatformError;

/// Time after which a call is given up, in ms; shorter than the time between two
/// renewals of a task's lease.
const CALL_TIMEOUT_MS: u64 = 800;

/// Awaits a call; after the timeout it returns `PlatformError::Unknown`, because the call
/// may have taken effect.
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
