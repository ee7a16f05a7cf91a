//! Tests of whether a job is shown as ended only once that is stored.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::dispatch::DispatchSettings;
use crate::dispatch::state::{Shared, State};
use crate::runtime::Runtime;
use crate::scheduler::{
    ActiveLeader, BatchId, Change, Command, Holder, JobKey, JobProgress, JobSpec, JobState,
    LeaderSettings, Occurrence, Policy, Record,
};
use crate::telemetry::Metrics;

/// The job whose tasks are done, and which is not stored as complete.
const KEY: JobKey = JobKey(1);

const EPOCH: u64 = 4;

/// The state of a process that has read the stream at 900 and does not lead, with the unfinished
/// record of [`KEY`].
fn follower() -> Shared<()> {
    let settings = DispatchSettings {
        member: "entry".to_owned(),
        incarnation: 1,
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        rank: 0,
        vm_order_delay_ms: 0,
        max_lease_ms: 6_000,
        stop_timeout_ms: 400,
        job_retention_ms: 120_000,
    };
    let (append_queue, _) = async_channel::unbounded();
    let runtime = Runtime::start(1).unwrap();
    let shared = Shared::new(settings, (), Metrics::new(), runtime, append_queue);
    let mut state = shared.lock();
    state.apply_read(Change::Put(Record::Job(KEY, spec())), 800);
    state.apply_read(Change::Put(Record::Progress(KEY, progress())), 800);
    state.next_offset = Some(1);
    state.caught_up_at = Some(900);
    drop(state);
    shared
}

/// The same process, which leads and has decided that the job is complete.
fn leader() -> Shared<()> {
    let shared = follower();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let settings = leader_settings();
    let policy = Arc::new(Policy::default());
    let leader = ActiveLeader::take_over(settings, &state.stored, policy, Vec::new(), 900, 900);
    state.leader = Some(leader);
    drop(guard);
    shared
}

/// State of the job, as a caller is shown it.
fn shown_state(state: &State) -> JobState {
    state.stored.table().get(KEY).unwrap().state()
}

/// Has the leader decide; returns the number and the records of its batch.
fn next_batch(state: &mut State) -> (u64, Vec<Record>) {
    let leader = state.leader.as_mut().unwrap();
    let batch = leader
        .poll(910, 910)
        .into_iter()
        .find_map(|command| match command {
            Command::Append { batch, records, .. } => Some((batch, records)),
            _ => None,
        });
    batch.unwrap()
}

fn spec() -> JobSpec {
    JobSpec {
        queue: "queue".to_owned(),
        pool: "pool".to_owned(),
        team: None,
        payload: String::new(),
        steps: Vec::new(),
        occurrence_count: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
        terms: None,
    }
}

/// Progress of a job of which the last task is done.
fn progress() -> JobProgress {
    JobProgress {
        state: JobState::Running,
        occurrences: vec![Occurrence::default()],
        ended_ms: 0,
        opened: 1,
    }
}

fn leader_settings() -> LeaderSettings {
    LeaderSettings {
        holder: Holder {
            member: "entry".to_owned(),
            incarnation: 1,
            epoch: EPOCH,
            released: false,
            batch: 0,
        },
        lease_ms: 4_000,
        max_lease_ms: 6_000,
        earlier_extend_ms: 0,
        predecessors: Vec::new(),
        earlier_silence_ms: None,
        step_down_after_ms: 7_000,
        vm_order_delay_ms: 0,
        stop_timeout_ms: 400,
        job_retention_ms: 120_000,
    }
}

/// Guards against an end that is shown while only the leader knows of it.
#[test]
fn an_end_that_the_leader_has_not_stored_is_not_shown() {
    let shared = leader();
    let state = shared.lock();

    let unstored = state.leader.as_ref().unwrap().unstored_end_count();

    assert_eq!(unstored, 1);
    assert_eq!(shown_state(&state), JobState::Running);
}

/// Guards against an end that is not shown, or without its age, after its batch was stored.
#[test]
fn an_end_is_shown_once_its_batch_is_stored() {
    let shared = leader();
    let mut state = shared.lock();
    let (number, records) = next_batch(&mut state);
    let in_flight = shown_state(&state);

    let batch = BatchId {
        epoch: EPOCH,
        number,
    };
    state.batch_stored(batch, records, 950);
    let after = shown_state(&state);
    let shown = state.show_end(KEY, after, 1_000).unwrap();

    assert_eq!(in_flight, JobState::Running);
    assert_eq!(after, JobState::Complete);
    assert_eq!(shown.grounds.epoch, EPOCH);
    assert_eq!(shown.grounds.table_ms, Some(100));
    assert_eq!(shown.stored_ms, Some(50));
}

/// Guards against an end that is shown because the process that decided on it no longer leads.
#[test]
fn an_end_of_a_lost_term_is_not_shown() {
    let shared = leader();
    let mut state = shared.lock();
    let (_, records) = next_batch(&mut state);

    state.step_down("test");

    assert_eq!(records.len(), 2);
    assert_eq!(shown_state(&state), JobState::Running);
    assert!(state.leader.is_none());
}

/// Guards against a stored end, or a stored cancel, that is shown without its age by a process that
/// only reads the stream.
#[test]
fn what_was_read_from_the_stream_is_stored() {
    let shared = follower();
    let mut state = shared.lock();
    let progress = JobProgress {
        state: JobState::Complete,
        ..progress()
    };
    let cancelled = JobKey(2);
    let stream = [
        Record::Progress(KEY, progress),
        Record::Job(cancelled, spec()),
        Record::Cancel(cancelled),
    ];
    for record in stream {
        state.apply_read(Change::Put(record), 950);
    }

    let complete = state.show_end(KEY, JobState::Complete, 1_000).unwrap();
    let by_cancel = state.show_end(cancelled, JobState::Canceled, 1_000);

    assert_eq!(complete.stored_ms, Some(50));
    assert_eq!(complete.grounds.epoch, 0);
    assert_eq!(by_cancel.unwrap().stored_ms, Some(50));
}
