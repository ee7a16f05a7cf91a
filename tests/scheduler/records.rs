//! Stored records, which processes of an earlier build may read and may have written.

use amaranthwick::scheduler::{
    Change, Crashes, JobKey, JobProgress, JobState, LostTarget, Occurrence, QueueTerms, Record,
    Step, TargetId, TaskPhase, TaskProgress,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};

use crate::fixtures::{job, step};

/// [`TaskProgress`] before it had `crashes`.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierTask {
    phase: TaskPhase,
    run: u32,
    failures: u32,
    checkpoint: String,
}

fn progress(crashes: Crashes) -> JobProgress {
    let task = TaskProgress {
        phase: TaskPhase::Placed {
            target: TargetId("t0".into()),
            born: 7,
        },
        run: 2,
        failures: 1,
        checkpoint: "c1".to_owned(),
        crashes,
    };
    JobProgress {
        state: JobState::Running,
        occurrences: vec![Occurrence {
            number: 0,
            steps: vec![vec![task]],
        }],
        ended_ms: 0,
        opened: 1,
    }
}

#[rstest]
fn a_record_keeps_the_crashes_of_a_task(#[values(0, 3)] others: u32) {
    let record = Record::Progress(
        JobKey(1),
        progress(Crashes {
            count: 2,
            seen: 1,
            run: 2,
            others,
            lost: Vec::new(),
        }),
    );

    let read = Change::decode(&record.key(), &record.encode().unwrap()).unwrap();

    assert_eq!(read, Change::Put(record));
}

/// [`Occurrence`] before it had a number.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierOccurrence {
    steps: Vec<Vec<TaskProgress>>,
}

/// [`JobProgress`] before ended occurrences were left out.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierProgress {
    state: JobState,
    occurrences: Vec<EarlierOccurrence>,
    ended_ms: u64,
}

/// Guards against mixed builds that can't read each other's records while no occurrence is left out.
#[test]
fn progress_with_all_occurrences_is_stored_as_before() {
    let progress = progress(Crashes::default());
    let steps = progress.occurrences[0].steps.clone();
    let earlier = EarlierProgress {
        state: progress.state,
        occurrences: vec![EarlierOccurrence { steps }],
        ended_ms: progress.ended_ms,
    };
    let record = Record::Progress(JobKey(1), progress);
    let mut expected = vec![1];
    rmp_serde::encode::write(&mut expected, &earlier).unwrap();

    let stored = record.encode().unwrap();
    let read = Change::decode(&record.key(), &expected).unwrap();

    assert_eq!(stored, expected);
    assert_eq!(read, Change::Put(record));
}

/// Guards against an earlier build that takes the third occurrence for the first one: it refuses the
/// later format.
#[test]
fn progress_without_its_ended_occurrences_is_read_back() {
    let mut progress = progress(Crashes::default());
    progress.occurrences[0].number = 2;
    progress.opened = 5;
    let record = Record::Progress(JobKey(1), progress);

    let stored = record.encode().unwrap();
    let read = Change::decode(&record.key(), &stored).unwrap();

    assert_eq!(stored[0], 2);
    assert_eq!(read, Change::Put(record));
}

/// Guards against mixed builds that can't read each other's records.
#[test]
fn a_task_without_crashes_is_stored_as_before() {
    let task = progress(Crashes::default()).occurrences[0].steps[0][0].clone();
    let earlier = EarlierTask {
        phase: task.phase.clone(),
        run: task.run,
        failures: task.failures,
        checkpoint: task.checkpoint.clone(),
    };

    let stored = rmp_serde::to_vec(&task).unwrap();
    let read: TaskProgress = rmp_serde::from_slice(&rmp_serde::to_vec(&earlier).unwrap()).unwrap();

    assert_eq!(stored, rmp_serde::to_vec(&earlier).unwrap());
    assert_eq!(read, task);
}

/// [`Crashes`] before it had `lost`.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierCrashes {
    count: u32,
    seen: u32,
    run: u32,
}

/// [`TaskProgress`] before its crashes had `lost`.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierCrashedTask {
    phase: TaskPhase,
    run: u32,
    failures: u32,
    checkpoint: String,
    #[serde(default)]
    crashes: EarlierCrashes,
}

fn crashed_task(others: u32, lost: Vec<LostTarget>) -> TaskProgress {
    let crashes = Crashes {
        count: 2,
        seen: 1,
        run: 2,
        others,
        lost,
    };
    progress(crashes).occurrences[0].steps[0][0].clone()
}

fn lost_target() -> LostTarget {
    LostTarget {
        target: TargetId("t0".into()),
        born: 7,
        vm: "vm-t0".to_owned(),
        alone: true,
    }
}

/// Guards against an earlier build that can't read a job with lost targets or other unfinished runs,
/// and so forgets it.
#[rstest]
fn an_earlier_build_reads_crashes_with_lost_targets(
    #[values(0, 1)] others: u32,
    #[values(Vec::new(), vec![lost_target()])] lost: Vec<LostTarget>,
) {
    let task = crashed_task(others, lost);

    let read: EarlierCrashedTask =
        rmp_serde::from_slice(&rmp_serde::to_vec(&task).unwrap()).unwrap();

    assert_eq!((read.run, read.checkpoint.as_str()), (2, "c1"));
    let (count, seen, run) = (2, 1, 2);
    assert_eq!(read.crashes, EarlierCrashes { count, seen, run });
}

/// Guards against crashes of an earlier build that can't be read, and against another form of
/// records that an earlier build reads anyway.
#[test]
fn crashes_without_lost_targets_are_stored_as_before() {
    let task = crashed_task(0, Vec::new());
    let (count, seen, run) = (2, 1, 2);
    let earlier = EarlierCrashedTask {
        phase: task.phase.clone(),
        run: task.run,
        failures: task.failures,
        checkpoint: task.checkpoint.clone(),
        crashes: EarlierCrashes { count, seen, run },
    };

    let stored = rmp_serde::to_vec(&task).unwrap();
    let read: TaskProgress = rmp_serde::from_slice(&rmp_serde::to_vec(&earlier).unwrap()).unwrap();

    assert_eq!(stored, rmp_serde::to_vec(&earlier).unwrap());
    assert_eq!(read, task);
}

/// Guards against losses that the next leader does not learn of.
#[test]
fn a_record_keeps_the_lost_targets_of_a_task() {
    let crashes = crashed_task(0, vec![lost_target()]).crashes;
    let record = Record::Progress(JobKey(1), progress(crashes));

    let read = Change::decode(&record.key(), &record.encode().unwrap()).unwrap();

    assert_eq!(read, Change::Put(record));
}

/// A job's record before it had the terms of its queue.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierJob {
    queue: String,
    pool: String,
    team: Option<String>,
    payload: String,
    steps: Vec<Step>,
    occurrence_count: u32,
    first_due_ms: u64,
    interval_ms: u64,
    accepted_ms: u64,
}

fn earlier_job() -> EarlierJob {
    let spec = job(vec![step(2, 300, &[])]);
    EarlierJob {
        queue: spec.queue,
        pool: spec.pool,
        team: spec.team,
        payload: spec.payload,
        steps: spec.steps,
        occurrence_count: spec.occurrence_count,
        first_due_ms: spec.first_due_ms,
        interval_ms: spec.interval_ms,
        accepted_ms: spec.accepted_ms,
    }
}

/// Guards against jobs that a process of an earlier build loses beside one of this build.
#[test]
fn an_earlier_build_reads_a_job_with_the_terms_of_its_queue() {
    let mut spec = job(vec![step(2, 300, &[])]);
    spec.terms = Some(QueueTerms {
        attempts: 4,
        priority: 1,
        objective_ms: 900,
    });
    let value = Record::Job(JobKey(1), spec).encode().unwrap();

    let read: EarlierJob = rmp_serde::from_slice(&value[1..]).unwrap();

    assert_eq!(read, earlier_job());
}

#[test]
fn a_job_that_an_earlier_build_stored_is_read_without_terms() {
    let mut value = vec![1];
    rmp_serde::encode::write(&mut value, &earlier_job()).unwrap();

    let read = Change::decode("j/0000000000000001", &value).unwrap();

    let expected = Record::Job(JobKey(1), job(vec![step(2, 300, &[])]));
    assert_eq!(read, Change::Put(expected));
}
