//! Stores callers' records in batches. Records that arrive while an append is in flight wait for
//! the next one, so that a slow store gets few calls, and not more under load. The leader stores
//! the records of all processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::admitting;
use super::forwarding::Appended;
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
    answer: Sender<Appended>,
}

/// Queues records to be stored and waits for the outcome. If this process stores them itself, it
/// decides on the jobs among them first, so that refused ones do not wait for the append of others.
pub(super) async fn append<S: Services>(shared: &Shared<S>, records: Vec<Record>) -> Appended {
    let here = {
        let state = shared.lock();
        state.stores_itself(&shared.settings.member, shared.clock.now())
    };
    let (records, refused) = if here {
        admitting::admit(shared, records)
    } else {
        (records, Vec::new())
    };
    if records.is_empty() {
        let outcome = AppendOutcome::Stored { end: 0 };
        return Appended { outcome, refused };
    }
    let (answer, appended) = async_channel::bounded(1);
    let entry = PendingAppend { records, answer };
    let mut appended = if shared.append_queue.send(entry).await.is_err() {
        // The process is stopping; nothing was sent.
        Appended::all(AppendOutcome::Busy)
    } else {
        let unknown = Appended::all(AppendOutcome::Unknown);
        appended.recv().await.unwrap_or(unknown)
    };
    appended.refused.extend(refused);
    appended
}

/// Stores queued records for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>, entries: Receiver<PendingAppend>) {
    while let Ok(first) = entries.recv().await {
        let (mut records, mut waiting) = (first.records, vec![first.answer]);
        while records.len() < MAX_BATCH_RECORDS
            && let Ok(entry) = entries.try_recv()
        {
            records.extend(entry.records);
            waiting.push(entry.answer);
        }
        let appended = store(&shared, records).await;
        for answer in waiting {
            let _ = answer.try_send(appended.clone());
        }
    }
}

/// Forwards records to the leader, which stores those of all processes together. Appends them
/// from here if no other process leads, or the leader refused these or recent records. When it
/// is unknown whether the leader stored them, they are not appended a second time.
async fn store<S: Services>(shared: &Shared<S>, records: Vec<Record>) -> Appended {
    let (leader, bypass, summary_age) = {
        let state = shared.lock();
        let now = shared.clock.now();
        let bypass = now < state.admissions.bypass_until;
        let leader = state.leader_address(&shared.settings.member);
        (leader, bypass, state.admissions.summary_age(now))
    };
    if let Some(leader) = leader
        && !bypass
    {
        let appended = forward(shared, leader, &records, summary_age).await;
        if matches!(appended.outcome, AppendOutcome::Stored { .. }) {
            return appended;
        }
        let now = shared.clock.now();
        shared.lock().admissions.bypass_until = now + LEADER_BYPASS_MS;
        let answer = format!("{:?}", appended.outcome);
        spdlog::warn!("leader_bypassed", kv: { leader = leader.to_string(), answer, records = records.len() });
        if appended.outcome == AppendOutcome::Unknown {
            return appended;
        }
        let remaining = records.into_iter();
        let remaining = remaining.filter(|record| !is_refused(record, &appended));
        let mut own = append_here(shared, remaining.collect()).await;
        own.refused.extend(appended.refused);
        return own;
    }
    append_here(shared, records).await
}

/// Forwards records to the leader, and takes over the summary in its answer.
async fn forward<S: Services>(
    shared: &Shared<S>,
    leader: SocketAddr,
    records: &[Record],
    summary_age: Option<Millis>,
) -> Appended {
    let call = async {
        let answer = shared.services.forward(leader, records, summary_age).await;
        if let Some(summary) = answer.summary {
            let now = shared.clock.now();
            shared.lock().admissions.set_summary(summary, now);
        }
        answer.appended
    };
    let appended = future::or(call, wait_until_read_back(shared, records)).await;
    if appended.outcome == AppendOutcome::Unknown {
        admitting::mark_unsettled(shared, records, true);
    }
    appended
}

/// Appends records from this process, but those of jobs that it refuses.
async fn append_here<S: Services>(shared: &Shared<S>, records: Vec<Record>) -> Appended {
    let (records, refused) = admitting::admit(shared, records);
    if records.is_empty() {
        let outcome = AppendOutcome::Stored { end: 0 };
        return Appended { outcome, refused };
    }
    let append = async {
        let outcome = shared.services.append(&records, &[], None, None).await;
        Appended::all(outcome)
    };
    let mut appended = future::or(append, wait_until_read_back(shared, &records)).await;
    if appended.outcome == AppendOutcome::Unknown {
        admitting::mark_unsettled(shared, &records, true);
    }
    appended.refused = refused;
    appended
}

/// Returns whether the record is that of a refused job.
fn is_refused(record: &Record, appended: &Appended) -> bool {
    match record {
        Record::Job(key, _) => appended.refusal(*key).is_some(),
        _ => false,
    }
}

/// Returns once all of the records have been read back from the stream, as the answer to their
/// append may be late or lost.
async fn wait_until_read_back<S: Services>(shared: &Shared<S>, records: &[Record]) -> Appended {
    loop {
        Timer::after(Duration::from_millis(READ_BACK_INTERVAL_MS)).await;
        shared.request_read();
        let state = shared.lock();
        let table = state.stored.table();
        if records.iter().all(|record| table.has_applied(record)) {
            let end = state.next_offset.unwrap_or_default();
            return Appended::all(AppendOutcome::Stored { end });
        }
    }
}
