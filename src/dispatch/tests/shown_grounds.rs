//! Tests of whether an ended job that is shown counts as stored.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::dispatch::DispatchSettings;
use crate::dispatch::shown_jobs::Stored;
use crate::dispatch::state::Shared;
use crate::runtime::Runtime;
use crate::scheduler::{
    Change, Command, Event, Holder, JobKey, JobProgress, JobSpec, JobState, Leader, LeaderSettings,
    Occurrence, Policy, Record,
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
    state.table.apply(Change::Put(Record::Job(KEY, spec())));
    state
        .table
        .apply(Change::Put(Record::Progress(KEY, progress())));
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
    let leader = Leader::new(settings, &mut state.table, policy, Vec::new(), 900, 900);
    state.leader = Some(leader);
    drop(guard);
    shared
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
        step_down_after_ms: 7_000,
        vm_order_delay_ms: 0,
        stop_timeout_ms: 400,
        job_retention_ms: 120_000,
    }
}

/// Guards against an end that counts as stored while only this process knows of it.
#[test]
fn an_end_that_the_leader_has_not_stored_is_shown_as_such() {
    let shared = leader();
    let mut state = shared.lock();

    let shown = state.show_end(KEY, JobState::Complete, 1_000).unwrap();

    assert_eq!(shown.grounds.stored, Stored::No);
    assert_eq!(shown.grounds.epoch, EPOCH);
    assert_eq!(shown.grounds.table_ms, Some(100));
    assert_eq!(shown.stored_ms, None);
    let leader = state.leader.as_ref().unwrap();
    assert_eq!(leader.unstored_end_count(), 1);
}

/// Guards against an end that counts as unstored after its batch was stored.
#[test]
fn an_end_is_shown_as_stored_after_its_batch_is() {
    let shared = leader();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let leader = state.leader.as_mut().unwrap();
    let commands = leader.poll(&mut state.table, 910, 910);
    let batch = commands.iter().find_map(|command| match command {
        Command::Append { batch, .. } => Some(*batch),
        _ => None,
    });
    let stored = Event::BatchStored {
        batch: batch.unwrap(),
    };
    leader.handle(&mut state.table, stored, 920);

    let shown = state.show_end(KEY, JobState::Complete, 1_000).unwrap();

    assert_eq!(shown.grounds.stored, Stored::Yes);
    assert_eq!(shown.grounds.epoch, EPOCH);
}

/// Guards against an end that counts as stored because the process that decided on it no longer
/// leads, and against a load of the unfinished record that says nothing.
#[test]
fn an_end_of_a_lost_term_is_unknown_until_the_table_is_loaded() {
    let shared = leader();
    let mut state = shared.lock();
    state.step_down("test");

    let shown = state.show_end(KEY, JobState::Complete, 1_000).unwrap();
    let changed = state
        .shown_jobs
        .state_read(KEY, JobState::Running, 1_500)
        .unwrap();

    assert_eq!(shown.grounds.stored, Stored::Unknown);
    assert_eq!(shown.grounds.epoch, 0);
    assert_eq!(shown.grounds.table_ms, None);
    assert_eq!(changed.shown, JobState::Complete);
}

/// Guards against a stored end, or a stored cancel, that counts as unknown in a process that only
/// reads the stream.
#[test]
fn what_was_read_from_the_stream_is_stored() {
    let shared = follower();
    let mut state = shared.lock();
    let progress = JobProgress {
        state: JobState::Complete,
        ..progress()
    };
    let cancelled = JobKey(2);
    state
        .table
        .apply(Change::Put(Record::Progress(KEY, progress)));
    state
        .table
        .apply(Change::Put(Record::Job(cancelled, spec())));
    state.table.apply(Change::Put(Record::Cancel(cancelled)));
    state.compare_shown(KEY, 950);

    let complete = state.show_end(KEY, JobState::Complete, 1_000).unwrap();
    state.step_down("test");
    let by_cancel = state.show_end(cancelled, JobState::Canceled, 1_000);

    assert_eq!(complete.grounds.stored, Stored::Yes);
    assert_eq!(complete.stored_ms, Some(50));
    assert_eq!(by_cancel.unwrap().grounds.stored, Stored::Yes);
}
