//! Stores callers' records together: what comes while an append is on its way waits for
//! the next one, so that a slow store gets few calls, and no more of them under load.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::services::{Appended, Services};
use super::state::Shared;
use crate::scheduler::Record;

/// Time between two looks whether records were stored although no answer has come, in ms;
/// the store usually answers in a tenth of it.
const LOOK_EVERY_MS: u64 = 50;

/// Records in one append at most, so that it stays well below a call's limit.
const BATCH_RECORDS: usize = 64;

/// A record to be stored, and who waits for it.
#[derive(Debug)]
pub(super) struct Entry {
    record: Record,
    answer: Sender<Appended>,
}

/// Stores a record together with others that wait.
pub(super) async fn append(intake: &Sender<Entry>, record: Record) -> Appended {
    let (answer, appended) = async_channel::bounded(1);
    let entry = Entry { record, answer };
    if intake.send(entry).await.is_err() {
        // The process ends; nothing was sent.
        return Appended::Busy;
    }
    appended.recv().await.unwrap_or(Appended::Unknown)
}

/// Stores what comes in for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>, entries: Receiver<Entry>) {
    while let Ok(first) = entries.recv().await {
        let (mut records, mut waiting) = (vec![first.record], vec![first.answer]);
        while records.len() < BATCH_RECORDS
            && let Ok(Entry { record, answer }) = entries.try_recv()
        {
            records.push(record);
            waiting.push(answer);
        }
        let append = shared.services.append(&records, &[], None, None);
        let appended = future::or(append, read_back(&shared, &records)).await;
        for answer in waiting {
            let _ = answer.try_send(appended);
        }
    }
}

/// Ends once the stream shows all of the records: the answer may be lost, or late.
async fn read_back<S: Services>(shared: &Shared<S>, records: &[Record]) -> Appended {
    loop {
        Timer::after(Duration::from_millis(LOOK_EVERY_MS)).await;
        shared.poke();
        let state = shared.lock();
        if records.iter().all(|record| state.table.shows(record)) {
            let end = state.next.unwrap_or_default();
            return Appended::Stored { end };
        }
    }
}
