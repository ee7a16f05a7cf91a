//! Appends queued records to the log, one batch at a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::follower::CONTROL_STREAM;
use super::outbox::MIN_APPEND_INTERVAL_MS;
use super::shell::Shell;
use crate::services::Log;

pub(super) async fn run<L: Log, V, P>(shell: Rc<Shell<L, V, P>>) {
    loop {
        let batch = shell.core.borrow_mut().take_batch(Instant::now());
        if batch.is_empty() {
            wait(&shell).await;
        } else {
            append(&shell, &batch).await;
        }
    }
}

async fn append<L: Log, V, P>(shell: &Shell<L, V, P>, batch: &[Vec<u8>]) {
    let result = shell.log.append(CONTROL_STREAM, batch).await;
    if let Err(error) = &result {
        spdlog::warn!("log_append_failed", kv: { error = error.to_string() });
    }
    let mut core = shell.core.borrow_mut();
    core.note_append_result(result.as_ref().copied(), Instant::now());
}

/// Waits until a record is queued.
///
/// While the outbox holds records that are not settled, waits no longer than the least
/// time between two appends, because some of them may be due again.
async fn wait<L, V, P>(shell: &Shell<L, V, P>) {
    let idle = shell.core.borrow().outbox.is_empty();
    let appender_woken = async {
        let _ = shell.appender_woken.recv().await;
    };
    if idle {
        return appender_woken.await;
    }
    let due = async {
        Timer::after(Duration::from_millis(MIN_APPEND_INTERVAL_MS)).await;
    };
    future::or(appender_woken, due).await;
}
