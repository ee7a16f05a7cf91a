//! Stored records, which processes of an earlier build may read and may have written.

use amaranthwick::scheduler::{
    Change, Crashes, JobKey, JobProgress, JobState, LostTarget, Occurrence, Record, TargetId,
    TaskPhase, TaskProgress,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};

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
            steps: vec![vec![task]],
        }],
        ended_ms: 0,
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
