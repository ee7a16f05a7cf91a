//! Claims the leader role, and gives it up when the process stops.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::DispatchSettings;
use super::clock::wall_ms;
use super::follow;
use super::lead::LeaderChannels;
use super::pending_claim::{ClaimStatus, PendingClaim};
use super::services::{AppendOutcome, Producer, ReadOutcome, Services, TargetChange};
use super::state::{Shared, State};
use super::writer;
use crate::scheduler::{ActiveLeader, Event, Holder, LeaderSettings, Millis, Record, TargetEntry};

/// Length of the leases that the leader gives targets, in ms, unless they accept only shorter
/// ones. It is longer than it takes to notice a dead leader, claim the role and call every
/// target.
const LEASE_MS: u64 = 4_000;

/// Time without a stored batch after which a leader steps down, in ms: longer than usual outages
/// of the store.
const STEP_DOWN_AFTER_MS: u64 = 7_000;

/// Number of times that a claim of unknown outcome, or reading the targets after a claim, is
/// tried.
const MAX_CLAIM_TRIES: u32 = 20;

/// Pause between two of these tries, in ms.
const CLAIM_RETRY_MS: u64 = 100;

/// Time for which a claimer waits until the stream has been read up to its claim, in ms: as long as
/// for the list of targets.
const READ_TIMEOUT_MS: Millis = 2_000;

/// Longest time between two checks whether the stream has been read up to a claim, in ms.
const READ_INTERVAL_MS: u64 = 50;

/// Bits of the random sequence number of a claim. If two processes claimed the same epoch with
/// the same number, the store would take one claim for a repeat, and both would believe that
/// they lead.
const CLAIM_SEQ_BITS: u32 = 48;

/// Claims the role if this process should, and reads the stream up to the claim. Returns the
/// channels of the new leader, or `None` if the role was not claimed, or the stream or the list of
/// targets could not be read.
pub(super) async fn claim<S: Services>(shared: &Arc<Shared<S>>) -> Option<LeaderChannels> {
    let from = offset_to_claim_at(&shared.lock(), shared.clock.now())?;
    if !leader_is_silent(shared, from).await {
        shared.request_read();
        return None;
    }
    let (holder, producer) = begin_claim(shared)?;
    let stored = store_claim(shared, &holder, producer).await;
    let channels = if stored {
        take_role(shared, producer).await
    } else {
        None
    };
    shared.lock().claim = None;
    if stored && channels.is_none() && shared.lock().stopping {
        release(shared, holder).await;
    }
    channels
}

/// Offset after the last record that was read, if this process should claim the role.
fn offset_to_claim_at(state: &State, now: Millis) -> Option<u64> {
    // Without the operators' records a leader would not know of limits and evacuations.
    if state.stopping || state.operators_read_at.is_none() {
        return None;
    }
    let should = state
        .election
        .should_claim(state.stored.table().holder(), now);
    state.next_offset.filter(|_| should)
}

/// Reads once more from the offset `from`; returns whether that reaches the end of the stream and
/// brings no record of a leader. A claim deposes the leader, and what this process knows of it may
/// be outdated: it may have been suspended, or its last read delayed.
async fn leader_is_silent<S: Services>(shared: &Shared<S>, from: u64) -> bool {
    match shared.services.read_records(from, 0).await {
        ReadOutcome::Read(page) => {
            page.next >= page.end && !page.changes.iter().any(follow::is_leaders)
        }
        ReadOutcome::Expired | ReadOutcome::Failed(_) => false,
    }
}

/// Decides on the claim, unless this process has learned meanwhile that it should make none. A
/// claim with the same fencing token as the last one repeats that, with its sequence number: the
/// last one may still be on its way to the store.
fn begin_claim<S>(shared: &Shared<S>) -> Option<(Holder, Producer)> {
    let mut guard = shared.lock();
    let state = &mut *guard;
    offset_to_claim_at(state, shared.clock.now())?;
    let before = state.stored.table().holder().cloned();
    let holder = state.election.next_claim(before.as_ref());
    let last = state.last_claim.filter(|last| last.epoch == holder.epoch);
    let producer = last.unwrap_or_else(|| Producer {
        epoch: holder.epoch,
        seq: fastrand::u64(..1 << CLAIM_SEQ_BITS),
    });
    state.last_claim = Some(producer);
    state.claim = Some(PendingClaim::new(holder.clone(), before));
    Some((holder, producer))
}

/// Settings of a leader that takes the role at `now` by `claim`.
fn leader_settings(
    settings: &DispatchSettings,
    state: &State,
    claim: PendingClaim,
    now: Millis,
) -> LeaderSettings {
    let election = &state.election;
    let before = claim.before.as_ref();
    let members = state.stored.table().member_names();
    LeaderSettings {
        predecessors: election.predecessors(before, members, now, STEP_DOWN_AFTER_MS),
        earlier_extend_ms: election.earlier_extend_ms(before, now, STEP_DOWN_AFTER_MS),
        earlier_silence_ms: election.earlier_silence_ms(before, now),
        holder: claim.holder,
        lease_ms: LEASE_MS.min(settings.max_lease_ms),
        max_lease_ms: settings.max_lease_ms,
        step_down_after_ms: STEP_DOWN_AFTER_MS,
        // The earlier leader has sent no orders for VMs since its last record was read.
        vm_order_delay_ms: settings
            .vm_order_delay_ms
            .saturating_sub(election.silence_ms(now)),
        stop_timeout_ms: settings.stop_timeout_ms,
        job_retention_ms: settings.job_retention_ms,
    }
}

/// Appends the record that claims the role. Of claims with one fencing token the store admits only
/// the first, wherever the stream ends: callers append records all the time. Returns whether the
/// claim is stored; false if its outcome remains unknown.
async fn store_claim<S: Services>(shared: &Shared<S>, holder: &Holder, producer: Producer) -> bool {
    let Producer { epoch, seq } = producer;
    let records = [Record::Holder(holder.clone())];
    for _ in 0..MAX_CLAIM_TRIES {
        let services = &shared.services;
        let append = services.append(&records, &[], Some(producer), None);
        match future::or(append, wait_until_read_back(shared)).await {
            AppendOutcome::Stored { end } => {
                if let Some(claim) = &mut shared.lock().claim {
                    claim.confirm(end);
                }
                spdlog::info!("role_claimed", kv: { epoch, offset = end, seq });
                return true;
            }
            refused @ (AppendOutcome::EndMismatch | AppendOutcome::Fenced) => {
                spdlog::info!("claim_refused", kv: { epoch, seq, answer = format!("{refused:?}") });
                shared.request_read();
                return false;
            }
            AppendOutcome::Busy => return false,
            AppendOutcome::Unknown => Timer::after(Duration::from_millis(CLAIM_RETRY_MS)).await,
        };
    }
    false
}

/// Returns once the claim has been read back from the stream, as the answer to its append may be
/// late or lost.
async fn wait_until_read_back<S: Services>(shared: &Shared<S>) -> AppendOutcome {
    loop {
        {
            let state = shared.lock();
            if let (ClaimStatus::Read, Some(end)) = (state.claim_status(), state.next_offset) {
                return AppendOutcome::Stored { end };
            }
        }
        wait_for_read(shared).await;
    }
}

/// Has the stream read, and waits until it was, for [`READ_INTERVAL_MS`] at most.
async fn wait_for_read<S: Services>(shared: &Shared<S>) {
    shared.request_read();
    let pause = async {
        Timer::after(Duration::from_millis(READ_INTERVAL_MS)).await;
    };
    future::or(shared.wait_for_wake(), pause).await;
}

/// Waits until the stream has been read up to the claim, so that the stored table includes all that
/// earlier leaders and callers had stored before it; gives up after [`READ_TIMEOUT_MS`]. Returns
/// whether the claim still holds then.
async fn read_up_to_claim<S: Services>(shared: &Shared<S>) -> bool {
    let deadline = shared.clock.now() + READ_TIMEOUT_MS;
    loop {
        let status = shared.lock().claim_status();
        let cause = match status {
            ClaimStatus::Read => return true,
            ClaimStatus::Lost => "another process claimed the role",
            ClaimStatus::Unread if shared.clock.now() >= deadline => {
                "the stream can't be read up to the claim"
            }
            ClaimStatus::Unread => {
                wait_for_read(shared).await;
                continue;
            }
        };
        spdlog::warn!("role_given_up", kv: { cause });
        return false;
    }
}

/// Takes the role that was claimed, once the stream and the list of targets have been read.
async fn take_role<S: Services>(
    shared: &Arc<Shared<S>>,
    producer: Producer,
) -> Option<LeaderChannels> {
    let (read, entries) = future::zip(read_up_to_claim(shared), list_targets(shared)).await;
    let entries = entries.filter(|_| read)?;
    become_leader(shared, producer, entries)
}

/// Reads the complete list of targets; `None` if all tries fail.
async fn list_targets<S: Services>(shared: &Shared<S>) -> Option<Vec<TargetEntry>> {
    for _ in 0..MAX_CLAIM_TRIES {
        if let ReadOutcome::Read((changes, _)) = shared.services.target_changes(None, 0).await {
            return Some(
                changes
                    .into_iter()
                    .filter_map(TargetChange::entry)
                    .collect(),
            );
        }
        Timer::after(Duration::from_millis(CLAIM_RETRY_MS)).await;
    }
    spdlog::warn!("role_given_up", kv: { cause = "the list of targets can't be read" });
    None
}

/// Creates the leader, passes it the known waves and evacuations, and starts the task that stores
/// its batches. Returns `None` if the claim no longer holds, or the process is stopping.
fn become_leader<S: Services>(
    shared: &Arc<Shared<S>>,
    producer: Producer,
    entries: Vec<TargetEntry>,
) -> Option<LeaderChannels> {
    let now = shared.clock.now();
    let (event_tx, events) = async_channel::unbounded();
    let (batch_tx, batches) = async_channel::unbounded();
    let epoch = producer.epoch;
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.stopping || state.claim_status() != ClaimStatus::Read {
        return None;
    }
    let claim = state.claim.take()?;
    let settings = leader_settings(&shared.settings, state, claim, now);
    let earlier_extend_ms = settings.earlier_extend_ms;
    let predecessors = settings.predecessors.len();
    let policy = Arc::clone(&state.policy);
    let targets = entries.len();
    let stored = &state.stored;
    let mut leader = ActiveLeader::take_over(settings, stored, policy, entries, now, wall_ms());
    for wave in state.waves.values() {
        leader.handle(Event::WaveRequested(wave.clone()), now);
    }
    let evacuations = state.evacuation_event(now);
    leader.handle(evacuations, now);
    state.leader = Some(leader);
    spdlog::info!("role_taken", kv: { epoch, targets, jobs = state.stored.table().len(), earlier_extend_ms, predecessors });
    drop(guard);
    let write = writer::run(Arc::clone(shared), batches, event_tx.clone(), producer);
    shared.runtime.spawn(write).detach();
    shared.wake();
    Some(LeaderChannels {
        epoch,
        events,
        event_tx,
        batch_tx,
    })
}

/// Gives the role up, if this process holds it, so that another process can claim it without
/// waiting for a timeout.
pub(super) async fn hand_over<S: Services>(shared: &Shared<S>) {
    let own_claim = {
        let mut state = shared.lock();
        state.stopping = true;
        let leads = state.leader.is_some();
        let holder = state.stored.table().holder().cloned();
        if leads {
            state.step_down("stopping");
        }
        holder.filter(|_| leads)
    };
    if let Some(holder) = own_claim {
        release(shared, holder).await;
    }
}

/// Appends the record that gives the role up, which `holder` has claimed.
async fn release<S: Services>(shared: &Shared<S>, holder: Holder) {
    let producer = Producer {
        epoch: holder.epoch + 1,
        seq: fastrand::u64(..1 << CLAIM_SEQ_BITS),
    };
    let released = Holder {
        epoch: producer.epoch,
        released: true,
        ..holder
    };
    let records = [Record::Holder(released)];
    let services = &shared.services;
    let appended = services.append(&records, &[], Some(producer), None).await;
    spdlog::info!("role_handed_over", kv: { epoch = producer.epoch, answer = format!("{appended:?}") });
}
