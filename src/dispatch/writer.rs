//! Stores the leader's batches, each once and in order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::clock::whole_micros;
use super::services::{AppendOutcome, Producer, Services};
use super::state::Shared;
use crate::scheduler::{ActiveLeader, BatchId, Event, JobKey, Record};
use crate::telemetry::metrics;

/// Pause before an append is repeated that the store refused for now or did not answer, in ms.
const RETRY_MS: u64 = 60;

/// Time between two checks whether a batch whose append is not answered was read back from the
/// stream, in ms; the store usually answers in a tenth of it.
const READ_BACK_INTERVAL_MS: u64 = 50;

/// Records to be stored together, and jobs whose records are to be deleted.
#[derive(Debug)]
pub(super) struct Batch {
    /// Number of the batch, as the leader counts them.
    pub(super) number: u64,
    pub(super) records: Vec<Record>,
    pub(super) forgotten_jobs: Vec<JobKey>,
}

/// Stores batches until this process no longer leads; `claim_producer` identifies the append of
/// its claim. A batch of unknown outcome is appended again with the same sequence number, so
/// that it is stored once.
pub(super) async fn run<S: Services>(
    shared: Arc<Shared<S>>,
    batches: Receiver<Batch>,
    event_tx: Sender<Event>,
    claim_producer: Producer,
) {
    let mut producer = claim_producer;
    while let Ok(batch) = batches.recv().await {
        producer.seq += 1;
        if !store(&shared, &batch, producer, &event_tx).await {
            return;
        }
        let id = batch_id(&batch, producer);
        let now = shared.clock.now();
        shared.lock().batch_stored(id, batch.records, now);
        let _ = event_tx.try_send(Event::BatchStored { batch: id.number });
        shared.wake();
    }
}

/// Stores a batch, with as many tries as it takes. Returns false if this process no longer
/// leads.
async fn store<S: Services>(
    shared: &Shared<S>,
    batch: &Batch,
    producer: Producer,
    event_tx: &Sender<Event>,
) -> bool {
    let started_at = Instant::now();
    loop {
        if event_tx.is_closed() {
            return false;
        }
        let services = &shared.services;
        let append = services.append(&batch.records, &batch.forgotten_jobs, Some(producer), None);
        let read_back = wait_until_read_back(shared, batch_id(batch, producer));
        let appended = future::or(append, read_back).await;
        match appended {
            AppendOutcome::Stored { .. } => {
                let elapsed = whole_micros(started_at.elapsed());
                shared
                    .metrics
                    .record(metrics::BATCH_STORED_US, elapsed, &[]);
                return true;
            }
            AppendOutcome::Fenced | AppendOutcome::EndMismatch => {
                let mut state = shared.lock();
                let epoch = state.leader.as_ref().map(ActiveLeader::epoch);
                if epoch == Some(producer.epoch) {
                    state.step_down("the store refused the fencing token");
                }
                return false;
            }
            AppendOutcome::Busy | AppendOutcome::Unknown => {
                shared.metrics.count(metrics::APPEND_RETRIES, 1, &[]);
                Timer::after(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

const fn batch_id(batch: &Batch, producer: Producer) -> BatchId {
    BatchId {
        epoch: producer.epoch,
        number: batch.number,
    }
}

/// Returns once the batch has been read back from the stream, as the answer to its append may be
/// late or lost.
async fn wait_until_read_back<S: Services>(shared: &Shared<S>, batch: BatchId) -> AppendOutcome {
    loop {
        Timer::after(Duration::from_millis(READ_BACK_INTERVAL_MS)).await;
        shared.request_read();
        let state = shared.lock();
        let read = state.stored.read();
        if read.epoch == batch.epoch && read.number >= batch.number {
            let end = state.next_offset.unwrap_or_default();
            return AppendOutcome::Stored { end };
        }
    }
}
