//! Follows the changes of the operators: policies, maintenance waves and evacuations.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use super::feed::FeedStatus;
use super::services::{OperatorChange, ReadOutcome, Services};
use super::state::{Shared, State};
use crate::scheduler::{Event, Millis, Policy};
use crate::telemetry::metrics;

/// Time that the store may wait for a change of the operators, in ms.
const OPERATOR_WAIT_MS: u64 = 2_000;

/// Pause after a change of the operators was read, in ms. Changes in quick succession are then
/// read together, and all are in force well within two seconds.
const OPERATOR_PAUSE_MS: u64 = 500;

/// Follows the changes that the operators make, for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>) {
    let mut feed = FeedStatus::new("operator");
    let mut cursor = None;
    loop {
        match shared
            .services
            .operator_changes(cursor, feed.wait_ms(OPERATOR_WAIT_MS))
            .await
        {
            ReadOutcome::Read((changes, next)) => {
                feed.read_succeeded();
                let complete = cursor.is_none();
                cursor = Some(next);
                let any_changes = !changes.is_empty();
                apply_operator_changes(&shared, changes, complete);
                shared.wake();
                if any_changes {
                    Timer::after(Duration::from_millis(OPERATOR_PAUSE_MS)).await;
                }
            }
            ReadOutcome::Expired => cursor = None,
            ReadOutcome::Failed(cause) => {
                // Changes that were missed are not needed; the newest ones are loaded.
                cursor = None;
                feed.read_failed(&cause).await;
            }
        }
    }
}

/// Takes over newer policies, waves and evacuations, and passes them to the leader. A `complete`
/// read replaces the set of evacuated data centres.
fn apply_operator_changes<S>(shared: &Shared<S>, changes: Vec<OperatorChange>, complete: bool) {
    let now = shared.clock.now();
    let mut state = shared.lock();
    let mut evacuations = Vec::new();
    for change in changes {
        match change {
            OperatorChange::Policy(policy) => adopt_policy(&mut state, policy, now),
            OperatorChange::Wave(wave) => {
                state.waves.insert(wave.number, wave.clone());
                state.notify_leader(Event::WaveRequested(wave), now);
            }
            OperatorChange::Evacuation(change) => evacuations.push(change),
        }
    }
    if state.evacuations.apply(&evacuations, complete) {
        // The changes were written after the read before this one.
        let event = state.evacuation_event(now);
        state.notify_leader(event, now);
        let count = state.evacuations.len() as u64;
        shared
            .metrics
            .gauge(metrics::EVACUATED_DATA_CENTRES, count, &[]);
    }
    state.operators_read_at = Some(now);
}

/// Takes over a policy if it is newer than the one in force.
fn adopt_policy(state: &mut State, policy: Arc<Policy>, now: Millis) {
    if policy.version <= state.policy.version {
        return;
    }
    spdlog::info!("policy_adopted", kv: {
        version = policy.version, before = state.policy.version,
        queues = policy.queues.len(), keys = policy.api_keys.len()
    });
    state.policy = Arc::clone(&policy);
    state.notify_leader(Event::PolicyChanged(policy), now);
}
