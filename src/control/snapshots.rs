//! Stores captured states in the log and loads the newest stored one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::Backoff;
use super::shell::Shell;
use super::snapshotter::Capture;
use crate::id::Offset;
use crate::ledger::{Proposal, State, TrustedKeys, decode_snapshot};
use crate::services::{Log, LogError};

/// Log stream of the snapshots.
const SNAPSHOT_STREAM: &str = "snapshots";

/// Time between two checks for a captured state, in ms.
const CHECK_INTERVAL_MS: u64 = 500;

/// Number of newest records of the stream among which a valid snapshot is looked for; any
/// snapshot before them is too old to be of use.
const MAX_CANDIDATES: u64 = 4;

pub(super) async fn run<L: Log, V, P>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    loop {
        Timer::after(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let capture = shell.core.borrow().snapshotter.capture().cloned();
        let Some(capture) = capture else { continue };
        let offset = capture.offset.0;
        match store_capture(&shell, capture).await {
            Ok(()) => {
                spdlog::info!("snapshot_stored", kv: { offset });
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("snapshot_failed", kv: { offset, error = error.to_string() });
                Timer::after(backoff.next_wait()).await;
            }
        }
    }
}

/// Appends the snapshot, then proposes its digest, which every process compares with its
/// own.
async fn store_capture<L: Log, V, P>(
    shell: &Shell<L, V, P>,
    capture: Capture,
) -> Result<(), LogError> {
    let Capture {
        offset,
        digest,
        bytes,
    } = capture;
    shell.log.append(SNAPSHOT_STREAM, &[bytes]).await?;
    let mut core = shell.core.borrow_mut();
    core.snapshotter.discard_capture();
    core.enqueue(Proposal::Snapshot { offset, digest }, Instant::now());
    drop(core);
    shell.wake_appender();
    Ok(())
}

/// Loads the newest valid snapshot in the log; `None` if there is none.
pub(super) async fn load_newest<L: Log>(
    log: &L,
    trust: &TrustedKeys,
) -> Result<Option<State>, LogError> {
    let (oldest, head) = stream_bounds(log).await?;
    let first = head.0.saturating_sub(MAX_CANDIDATES).max(oldest.0);
    for offset in (first..head.0).rev() {
        let batch = log.read(SNAPSHOT_STREAM, Offset(offset), 1, 0).await?;
        let Some(bytes) = batch.records.first() else {
            continue;
        };
        match decode_snapshot(bytes, trust) {
            Ok(state) => return Ok(Some(state)),
            Err(error) => {
                spdlog::error!("snapshot_refused", kv: { offset, error = error.to_string() });
            }
        }
    }
    Ok(None)
}

/// Oldest kept offset and head of the snapshot stream.
async fn stream_bounds<L: Log>(log: &L) -> Result<(Offset, Offset), LogError> {
    let from_start = log.read(SNAPSHOT_STREAM, Offset(0), 1, 0).await;
    let batch = match from_start {
        Err(LogError::Expired(oldest)) => log.read(SNAPSHOT_STREAM, oldest, 1, 0).await?,
        result => result?,
    };
    Ok((batch.oldest, batch.head))
}
