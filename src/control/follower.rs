//! Follows the log by long polling; starts from a snapshot or from the state of a peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use super::core::LogGap;
use super::shell::Shell;
use super::{Backoff, snapshots};
use crate::id::Offset;
use crate::ledger::{State, decode_snapshot};
use crate::membership::Peers;
use crate::services::{Log, LogError};

/// Log stream of the proposals.
pub const CONTROL_STREAM: &str = "control";

/// Most records requested by one read.
const MAX_READ_RECORDS: usize = 1_024;

/// Time for which a read waits for a record, in ms; limits how old the last verified head
/// can get while the log answers.
const POLL_WAIT_MS: u64 = 1_000;

/// Most peers that are asked for their state in one attempt.
const MAX_STATE_SOURCES: usize = 4;

pub(super) async fn run<L: Log, V, P: Peers>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    let mut started = false;
    loop {
        if !started {
            started = load_snapshot(&shell).await;
        }
        match poll(&shell).await {
            Ok(()) => {
                started = true;
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("log_read_failed", kv: { error = error.to_string() });
                catch_up(&shell, &error).await;
                Timer::after(backoff.next_wait()).await;
            }
        }
    }
}

async fn poll<L: Log, V, P>(shell: &Shell<L, V, P>) -> Result<(), LogError> {
    let from = shell.core.borrow().state().offset();
    let asked_at = Instant::now();
    let result = shell
        .log
        .read(CONTROL_STREAM, from, MAX_READ_RECORDS, POLL_WAIT_MS)
        .await;
    let batch = match result {
        Ok(batch) => batch,
        Err(error) => {
            note_read_failure(shell, &error, asked_at);
            return Err(error);
        }
    };
    let folded = shell
        .core
        .borrow_mut()
        .fold(&batch, asked_at, Instant::now());
    folded.map_err(|LogGap| LogError::Expired(batch.oldest))?;
    if batch.head < from {
        spdlog::error!("log_went_back", kv: { head = batch.head.0, folded = from.0 });
    }
    if !batch.records.is_empty() {
        shell.core.borrow_mut().rebalance(Instant::now());
        shell.publish_view();
    }
    Ok(())
}

fn note_read_failure<L, V, P>(shell: &Shell<L, V, P>, error: &LogError, asked_at: Instant) {
    let mut core = shell.core.borrow_mut();
    match error {
        LogError::Unavailable => core.note_log_unavailable(asked_at),
        LogError::NotSent(_) | LogError::Unknown(_) => core.note_log_unreachable(asked_at),
        LogError::Expired(_) => {}
    }
}

/// Gets a later state from a snapshot or a peer where the log can't supply the records.
///
/// Expired records are never skipped: that would leave a hole in the state.
async fn catch_up<L: Log, V, P: Peers>(shell: &Shell<L, V, P>, error: &LogError) {
    let missing = |oldest: Offset| shell.core.borrow().folded_and_head().0 < oldest;
    if let LogError::Expired(oldest) = error {
        load_snapshot(shell).await;
        if missing(*oldest) {
            load_from_peers(shell).await;
        }
        return;
    }
    let (folded, head) = shell.core.borrow().folded_and_head();
    if folded == Offset(0) || folded < head {
        load_from_peers(shell).await;
    }
}

/// Adopts the newest snapshot in the log if it is later than the own state; `false` if the
/// log could not be read.
async fn load_snapshot<L: Log, V, P>(shell: &Shell<L, V, P>) -> bool {
    let trust = shell.core.borrow().state().trust().clone();
    match snapshots::load_newest(&shell.log, &trust).await {
        Ok(found) => {
            if let Some(state) = found {
                adopt(shell, state, "log");
            }
            true
        }
        Err(error) => {
            spdlog::warn!("snapshot_read_failed", kv: { error = error.to_string() });
            false
        }
    }
}

/// Asks a few peers for their state and adopts the one with the highest offset.
async fn load_from_peers<L, V, P: Peers>(shell: &Shell<L, V, P>) {
    let trust = shell.core.borrow().state().trust().clone();
    let mut best: Option<State> = None;
    for address in state_sources(shell) {
        let Some(bytes) = shell.peers.fetch_state(address).await else {
            continue;
        };
        match decode_snapshot(&bytes, &trust) {
            Ok(state) if best.as_ref().is_none_or(|b| b.offset() < state.offset()) => {
                best = Some(state);
            }
            Ok(_) => {}
            Err(error) => spdlog::error!("state_refused", kv: {
                peer = address.to_string(),
                error = error.to_string(),
            }),
        }
    }
    if let Some(state) = best {
        adopt(shell, state, "peer");
    }
}

fn state_sources<L, V, P>(shell: &Shell<L, V, P>) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let mut found = core.other_member_addresses();
    found.extend(core.common.peers.values());
    fastrand::shuffle(&mut found);
    found.truncate(MAX_STATE_SOURCES);
    found
}

fn adopt<L, V, P>(shell: &Shell<L, V, P>, state: State, source: &str) {
    let offset = state.offset().0;
    if shell.core.borrow_mut().adopt(state) {
        spdlog::info!("state_adopted", kv: { offset, source });
        shell.publish_view();
    }
}
