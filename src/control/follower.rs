//! Follows the log by long polling; starts from a snapshot or from another process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

use super::core::Gap;
use super::shell::Shell;
use super::{Backoff, snapshots};
use crate::id::Offset;
use crate::ledger::{State, decode_snapshot};
use crate::membership::Peers;
use crate::services::{Log, LogError};

/// Stream that carries proposals.
pub const STREAM: &str = "control";

/// Records read at a time.
const MAX_RECORDS: usize = 1_024;

/// Longest wait for a record, in ms; bounds the age of a verified head.
const POLL_MS: u64 = 1_000;

/// Processes asked for their state at a time.
const MAX_ASKED: usize = 4;

pub(super) async fn run<L: Log, V, P: Peers>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    let mut started = false;
    loop {
        if !started {
            started = load(&shell).await;
        }
        match poll(&shell).await {
            Ok(()) => {
                started = true;
                backoff.reset();
            }
            Err(error) => {
                spdlog::warn!("log_read_failed", kv: { error = error.to_string() });
                catch_up(&shell, &error).await;
                Timer::after(backoff.grow()).await;
            }
        }
    }
}

async fn poll<L: Log, V, P>(shell: &Shell<L, V, P>) -> Result<(), LogError> {
    let from = shell.core.borrow().state().offset();
    let asked = Instant::now();
    let result = shell.log.read(STREAM, from, MAX_RECORDS, POLL_MS).await;
    let batch = match result {
        Ok(batch) => batch,
        Err(error) => {
            note_failure(shell, &error, asked);
            return Err(error);
        }
    };
    let folded = shell.core.borrow_mut().fold(&batch, asked, Instant::now());
    folded.map_err(|Gap| LogError::Expired(batch.oldest))?;
    if batch.head < from {
        spdlog::error!("log_went_back", kv: { head = batch.head.0, folded = from.0 });
    }
    if !batch.records.is_empty() {
        shell.core.borrow_mut().balance(Instant::now());
        shell.refresh();
    }
    Ok(())
}

fn note_failure<L, V, P>(shell: &Shell<L, V, P>, error: &LogError, asked: Instant) {
    let mut core = shell.core.borrow_mut();
    match error {
        LogError::Unavailable => core.note_unavailable(asked),
        LogError::NotSent(_) | LogError::Unknown(_) => core.note_unreachable(asked),
        LogError::Expired(_) => {}
    }
}

/// Records that are gone are never folded over: a whole later state is taken instead.
async fn catch_up<L: Log, V, P: Peers>(shell: &Shell<L, V, P>, error: &LogError) {
    let missing = |oldest: Offset| shell.core.borrow().heads().0 < oldest;
    if let LogError::Expired(oldest) = error {
        load(shell).await;
        if missing(*oldest) {
            load_from_peers(shell).await;
        }
        return;
    }
    let (folded, head) = shell.core.borrow().heads();
    if folded == Offset(0) || folded < head {
        load_from_peers(shell).await;
    }
}

/// Takes the newest stored state, if it is later than the own; `false` if the log is away.
async fn load<L: Log, V, P>(shell: &Shell<L, V, P>) -> bool {
    let trust = shell.core.borrow().state().trust().clone();
    match snapshots::newest(&shell.log, &trust).await {
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

/// Takes the state of the process with the highest offset among some.
async fn load_from_peers<L, V, P: Peers>(shell: &Shell<L, V, P>) {
    let trust = shell.core.borrow().state().trust().clone();
    let mut best: Option<State> = None;
    for address in sources(shell) {
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

fn sources<L, V, P>(shell: &Shell<L, V, P>) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let mut found = core.other_peers();
    found.extend(core.common.peers.values());
    fastrand::shuffle(&mut found);
    found.truncate(MAX_ASKED);
    found
}

fn adopt<L, V, P>(shell: &Shell<L, V, P>, state: State, source: &str) {
    let offset = state.offset().0;
    if shell.core.borrow_mut().adopt(state) {
        spdlog::info!("state_adopted", kv: { offset, source });
        shell.refresh();
    }
}
