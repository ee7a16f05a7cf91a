//! Bounds work in time.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Runs `work` for at most `limit_ms`; `None` when the time is over.
pub(crate) async fn within<T>(limit_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let timeout = async {
        Timer::after(Duration::from_millis(limit_ms)).await;
        None
    };
    future::or(work, timeout).await
}
