//! Stores callers' records together: what comes while an append is on its way waits for
//! the next one, so that a slow store gets few calls, and no more of them under load. The
//! leader stores those of all processes.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::services::{Appended, Services};
use super::state::Shared;
use crate::scheduler::{Millis, Record};

/// Time between two looks whether records were stored although no answer has come, in ms;
/// the store usually answers in a tenth of it.
const LOOK_EVERY_MS: u64 = 50;

/// Records in one append at most, so that it stays well below a call's limit.
const BATCH_RECORDS: usize = 64;

/// Time for which records are stored without the leader after it could not, in ms.
const DIRECT_MS: Millis = 1_000;

/// Records to be stored, and who waits for them.
#[derive(Debug)]
pub(super) struct Entry {
    records: Vec<Record>,
    answer: Sender<Appended>,
}

/// Stores records together with others that wait.
pub(super) async fn append(intake: &Sender<Entry>, records: Vec<Record>) -> Appended {
    let (answer, appended) = async_channel::bounded(1);
    let entry = Entry { records, answer };
    if intake.send(entry).await.is_err() {
        // The process ends; nothing was sent.
        return Appended::Busy;
    }
    appended.recv().await.unwrap_or(Appended::Unknown)
}

/// Stores what comes in for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>, entries: Receiver<Entry>) {
    let mut direct_until = 0;
    while let Ok(first) = entries.recv().await {
        let (mut records, mut waiting) = (first.records, vec![first.answer]);
        while records.len() < BATCH_RECORDS
            && let Ok(entry) = entries.try_recv()
        {
            records.extend(entry.records);
            waiting.push(entry.answer);
        }
        let store = store(&shared, &records, &mut direct_until);
        let appended = future::or(store, read_back(&shared, &records)).await;
        for answer in waiting {
            let _ = answer.try_send(appended);
        }
    }
}

/// Hands records to the leader, whose appends take in those of all processes, or appends
/// them here while there is no leader that answers.
async fn store<S: Services>(
    shared: &Shared<S>,
    records: &[Record],
    direct_until: &mut Millis,
) -> Appended {
    let leader = shared.lock().leader_address(&shared.settings.member);
    if let Some(leader) = leader
        && shared.clock.now() >= *direct_until
    {
        let appended = shared.services.forward(leader, records).await;
        if matches!(appended, Appended::Stored { .. }) {
            return appended;
        }
        *direct_until = shared.clock.now() + DIRECT_MS;
        spdlog::warn!("leader_bypassed", kv: {
            leader = leader.to_string(), answer = format!("{appended:?}"), records = records.len()
        });
        if appended == Appended::Unknown {
            return appended;
        }
    }
    shared.services.append(records, &[], None, None).await
}

/// Ends once the stream shows all of the records: the answer may be lost, or late.
async fn read_back<S: Services>(shared: &Shared<S>, records: &[Record]) -> Appended {
    loop {
        Timer::after(Duration::from_millis(LOOK_EVERY_MS)).await;
        shared.poke();
        let state = shared.lock();
        if records.iter().all(|record| state.table.has_applied(record)) {
            let end = state.next.unwrap_or_default();
            return Appended::Stored { end };
        }
    }
}
