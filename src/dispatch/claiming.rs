//! Claims the leader role, and gives it up when the process stops.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use super::DispatchSettings;
use super::clock::wall_ms;
use super::lead::LeaderChannels;
use super::services::{AppendOutcome, Producer, ReadOutcome, Services, TargetChange};
use super::state::{Shared, State};
use super::writer;
use crate::scheduler::{Event, Holder, Leader, LeaderSettings, Millis, Record, TargetEntry};

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

/// Bits of the random sequence number of a claim. If two processes claimed the same epoch with
/// the same number, the store would take one claim for a repeat, and both would believe that
/// they lead.
const CLAIM_SEQ_BITS: u32 = 48;

/// Claims the role if this process should. Returns the channels of the new leader, or `None` if
/// the role was not claimed or the targets could not be listed.
pub(super) async fn claim<S: Services>(shared: &Arc<Shared<S>>) -> Option<LeaderChannels> {
    let (settings, expected) = {
        let state = shared.lock();
        let now = shared.clock.now();
        // Without the operators' records a leader would not know of limits and evacuations.
        if state.stopping || state.operators_read_at.is_none() {
            return None;
        }
        if !state.election.should_claim(state.table.holder(), now) {
            return None;
        }
        let settings = leader_settings(&shared.settings, &state, now);
        (settings, state.next_offset?)
    };
    let producer = append_claim(shared, &settings.holder, expected).await?;
    spdlog::info!("role_claimed", kv: { epoch = producer.epoch, offset = expected, seq = producer.seq });
    let entries = list_targets(shared).await?;
    Some(become_leader(shared, settings, producer, entries))
}

/// Settings of a leader that claims the role at `now`, after the holder that `state` knows.
fn leader_settings(settings: &DispatchSettings, state: &State, now: Millis) -> LeaderSettings {
    let current = state.table.holder();
    let election = &state.election;
    LeaderSettings {
        holder: election.next_claim(current),
        lease_ms: LEASE_MS.min(settings.max_lease_ms),
        earlier_extend_ms: election.earlier_extend_ms(current, now, STEP_DOWN_AFTER_MS),
        step_down_after_ms: STEP_DOWN_AFTER_MS,
        // The earlier leader has sent no orders for VMs since its last record was read.
        vm_order_delay_ms: settings
            .vm_order_delay_ms
            .saturating_sub(election.silence_ms(now)),
        stop_timeout_ms: settings.stop_timeout_ms,
        job_retention_ms: settings.job_retention_ms,
    }
}

/// Appends the record that claims the role, provided that the stream still ends at `expected`.
/// Returns the producer for the leader's further appends; `None` if the claim was not stored or
/// its outcome remains unknown.
async fn append_claim<S: Services>(
    shared: &Shared<S>,
    holder: &Holder,
    expected: u64,
) -> Option<Producer> {
    let producer = Producer {
        epoch: holder.epoch,
        seq: fastrand::u64(..1 << CLAIM_SEQ_BITS),
    };
    let records = [Record::Holder(holder.clone())];
    for _ in 0..MAX_CLAIM_TRIES {
        let services = &shared.services;
        let appended = services
            .append(&records, &[], Some(producer), Some(expected))
            .await;
        match appended {
            AppendOutcome::Stored { .. } => return Some(producer),
            AppendOutcome::EndMismatch | AppendOutcome::Fenced => {
                spdlog::info!("claim_refused", kv: { epoch = holder.epoch, offset = expected, answer = format!("{appended:?}") });
                shared.request_read();
                return None;
            }
            AppendOutcome::Busy => return None,
            AppendOutcome::Unknown => Timer::after(Duration::from_millis(CLAIM_RETRY_MS)).await,
        };
    }
    None
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

/// Creates the leader, passes it the known waves and evacuations, and starts the task that stores its batches.
fn become_leader<S: Services>(
    shared: &Arc<Shared<S>>,
    settings: LeaderSettings,
    producer: Producer,
    entries: Vec<TargetEntry>,
) -> LeaderChannels {
    let now = shared.clock.now();
    let (event_tx, events) = async_channel::unbounded();
    let (batch_tx, batches) = async_channel::unbounded();
    let epoch = settings.holder.epoch;
    let earlier_extend_ms = settings.earlier_extend_ms;
    let mut guard = shared.lock();
    let state = &mut *guard;
    let policy = Arc::clone(&state.policy);
    let targets = entries.len();
    let mut leader = Leader::new(settings, &mut state.table, policy, entries, now, wall_ms());
    for wave in state.waves.values() {
        leader.handle(&mut state.table, Event::WaveRequested(wave.clone()), now);
    }
    let evacuations = state.evacuation_event(now);
    leader.handle(&mut state.table, evacuations, now);
    state.leader = Some(leader);
    state.read_back_batch = 0;
    spdlog::info!("role_taken", kv: { epoch, targets, jobs = state.table.len(), earlier_extend_ms });
    drop(guard);
    let write = writer::run(Arc::clone(shared), batches, event_tx.clone(), producer);
    shared.runtime.spawn(write).detach();
    shared.wake();
    LeaderChannels {
        epoch,
        events,
        event_tx,
        batch_tx,
    }
}

/// Gives the role up, if this process holds it, so that another process can claim it without
/// waiting for a timeout.
pub(super) async fn hand_over<S: Services>(shared: &Shared<S>) {
    let own_claim = {
        let mut state = shared.lock();
        state.stopping = true;
        let leads = state.leader.is_some();
        let holder = state.table.holder().cloned();
        if leads {
            state.step_down("stopping");
        }
        holder.filter(|_| leads)
    };
    let Some(holder) = own_claim else { return };
    let producer = Producer {
        epoch: holder.epoch + 1,
        seq: fastrand::u64(..1 << CLAIM_SEQ_BITS),
    };
    let released = Holder {
        epoch: holder.epoch + 1,
        released: true,
        ..holder
    };
    let records = [Record::Holder(released)];
    let services = &shared.services;
    let appended = services.append(&records, &[], Some(producer), None).await;
    spdlog::info!("role_handed_over", kv: { epoch = producer.epoch, answer = format!("{appended:?}") });
}
