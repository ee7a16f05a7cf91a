//! Stores captured states in the log, and finds the newest stored one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::Backoff;
use super::keeper::Capture;
use super::shell::Shell;
use crate::id::Offset;
use crate::ledger::{Proposal, State, TrustedKeys, decode_snapshot};
use crate::services::{Log, LogError};

/// Stream that carries snapshots.
const STREAM: &str = "snapshots";

/// Time between two looks for a captured state, in ms.
const LOOK_MS: u64 = 500;

/// Newest snapshots tried at a start; the ones before are too old to be of use.
const MAX_TRIED: u64 = 4;

pub(super) async fn run<L: Log, V, P>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    loop {
        Timer::after(Duration::from_millis(LOOK_MS)).await;
        let capture = shell.core.borrow().keeper.capture().cloned();
        let Some(capture) = capture else { continue };
        let offset = capture.offset.0;
        match save(&shell, capture).await {
            Ok(()) => {
                spdlog::info!("snapshot_stored", kv: { offset });
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("snapshot_failed", kv: { offset, error = error.to_string() });
                Timer::after(backoff.grow()).await;
            }
        }
    }
}

/// Announces the snapshot once it is stored, so that every fold checks its digest.
async fn save<L: Log, V, P>(shell: &Shell<L, V, P>, capture: Capture) -> Result<(), LogError> {
    let Capture {
        offset,
        digest,
        bytes,
    } = capture;
    shell.log.append(STREAM, &[bytes]).await?;
    let mut core = shell.core.borrow_mut();
    core.keeper.drop_capture();
    core.enqueue(Proposal::Snapshot { offset, digest }, Instant::now());
    drop(core);
    shell.kick();
    Ok(())
}

/// The newest valid snapshot in the log; `None` when there is none.
pub(super) async fn newest<L: Log>(
    log: &L,
    trust: &TrustedKeys,
) -> Result<Option<State>, LogError> {
    let (oldest, head) = bounds(log).await?;
    let first = head.0.saturating_sub(MAX_TRIED).max(oldest.0);
    for offset in (first..head.0).rev() {
        let batch = log.read(STREAM, Offset(offset), 1, 0).await?;
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

async fn bounds<L: Log>(log: &L) -> Result<(Offset, Offset), LogError> {
    let from_start = log.read(STREAM, Offset(0), 1, 0).await;
    let batch = match from_start {
        Err(LogError::Expired(oldest)) => log.read(STREAM, oldest, 1, 0).await?,
        result => result?,
    };
    Ok((batch.oldest, batch.head))
}
