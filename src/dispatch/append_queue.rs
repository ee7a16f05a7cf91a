//! Stores callers' records in batches. Records that arrive while an append is in flight wait for
//! the next one, so that a slow store gets few calls, and not more under load. The leader stores
//! the records of all processes.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::services::{AppendOutcome, Services};
use super::state::Shared;
use crate::scheduler::{Millis, Record};

/// Time between two checks whether records whose append is not answered were read back from the
/// stream, in ms; the store usually answers in a tenth of it.
const READ_BACK_INTERVAL_MS: u64 = 50;

/// Number of records at which a batch takes in no more entries, so that it stays well below the
/// size limit of a call.
const MAX_BATCH_RECORDS: usize = 64;

/// Time for which records are stored without the leader, in ms, after it did not store some.
const LEADER_BYPASS_MS: Millis = 1_000;

/// Records to be stored together, and where to send the outcome.
#[derive(Debug)]
pub(super) struct PendingAppend {
    records: Vec<Record>,
    answer: Sender<AppendOutcome>,
}

/// Queues records to be stored and waits for the outcome.
pub(super) async fn append(
    append_queue: &Sender<PendingAppend>,
    records: Vec<Record>,
) -> AppendOutcome {
    let (answer, appended) = async_channel::bounded(1);
    let entry = PendingAppend { records, answer };
    if append_queue.send(entry).await.is_err() {
        // The process is stopping; nothing was sent.
        return AppendOutcome::Busy;
    }
    appended.recv().await.unwrap_or(AppendOutcome::Unknown)
}

/// Stores queued records for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>, entries: Receiver<PendingAppend>) {
    let mut bypass_until = 0;
    while let Ok(first) = entries.recv().await {
        let (mut records, mut waiting) = (first.records, vec![first.answer]);
        while records.len() < MAX_BATCH_RECORDS
            && let Ok(entry) = entries.try_recv()
        {
            records.extend(entry.records);
            waiting.push(entry.answer);
        }
        let store = store(&shared, &records, &mut bypass_until);
        let appended = future::or(store, wait_until_read_back(&shared, &records)).await;
        for answer in waiting {
            let _ = answer.try_send(appended);
        }
    }
}

/// Forwards records to the leader, which stores those of all processes together. Appends them
/// from here if no other process leads, or the leader refused these or recent records. When it
/// is unknown whether the leader stored them, they are not appended a second time.
async fn store<S: Services>(
    shared: &Shared<S>,
    records: &[Record],
    bypass_until: &mut Millis,
) -> AppendOutcome {
    let leader = shared.lock().leader_address(&shared.settings.member);
    if let Some(leader) = leader
        && shared.clock.now() >= *bypass_until
    {
        let appended = shared.services.forward(leader, records).await;
        if matches!(appended, AppendOutcome::Stored { .. }) {
            return appended;
        }
        *bypass_until = shared.clock.now() + LEADER_BYPASS_MS;
        spdlog::warn!("leader_bypassed", kv: {
            leader = leader.to_string(), answer = format!("{appended:?}"), records = records.len()
        });
        if appended == AppendOutcome::Unknown {
            return appended;
        }
    }
    shared.services.append(records, &[], None, None).await
}

/// Returns once all of the records have been read back from the stream, as the answer to their
/// append may be late or lost.
async fn wait_until_read_back<S: Services>(
    shared: &Shared<S>,
    records: &[Record],
) -> AppendOutcome {
    loop {
        Timer::after(Duration::from_millis(READ_BACK_INTERVAL_MS)).await;
        shared.request_read();
        let state = shared.lock();
        if records.iter().all(|record| state.table.has_applied(record)) {
            let end = state.next_offset.unwrap_or_default();
            return AppendOutcome::Stored { end };
        }
    }
}
