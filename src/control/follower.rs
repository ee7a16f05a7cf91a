//! Follows the log by long polling.

use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use super::Backoff;
use super::shell::Shell;
use crate::platform::{Batch, Log, LogError};

/// Stream that carries proposals.
pub const STREAM: &str = "control";

/// Records read at a time.
const MAX_RECORDS: usize = 1_024;

/// Longest wait for a record, in ms; bounds the age of a verified head.
const POLL_MS: u64 = 1_000;

pub(super) async fn run<L: Log, V, P>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    loop {
        match poll(&shell).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                spdlog::warn!("log_read_failed", kv: { error = error.to_string() });
                Timer::after(backoff.grow()).await;
            }
        }
    }
}

async fn poll<L: Log, V, P>(shell: &Shell<L, V, P>) -> Result<(), LogError> {
    let from = shell.core.borrow().state.offset();
    let asked = Instant::now();
    let result = shell.log.read(STREAM, from, MAX_RECORDS, POLL_MS).await;
    if result == Err(LogError::Unavailable) {
        shell.core.borrow_mut().note_unavailable(asked);
    }
    take(shell, &result?, asked)
}

fn take<L, V, P>(shell: &Shell<L, V, P>, batch: &Batch, asked: Instant) -> Result<(), LogError> {
    let whole = shell.core.borrow_mut().fold(batch, asked);
    if !whole {
        return Err(LogError::Expired(batch.oldest));
    }
    if !batch.records.is_empty() {
        shell.refresh();
    }
    Ok(())
}
