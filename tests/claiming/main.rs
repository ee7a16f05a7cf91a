//! Claims of the leader role beside records of callers, other claims and lost answers, by
//! processes that share a store in memory.

mod background;
mod fake;
mod store;

use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::dispatch::Dispatch;
use amaranthwick::runtime::Runtime;
use amaranthwick::scheduler::{
    Capacity, Change, JobKey, JobProgress, JobState, Occurrence, Record, RunningTask, StepKey,
    TargetEntry, TargetId, TargetState, TaskPhase,
};
use rstest::rstest;

use background::{job, lead_from_outside, store_jobs};
use fake::Platform;
use store::{ClaimFault, holder};

/// Processes that contend for the role.
const PROCESS_COUNT: u64 = 32;
/// Ranks among which they are spread.
const RANK_COUNT: u64 = 8;
/// Time in which the processes have read the stream and found that there is a leader.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time in which a process leads after the role has become free, on a busy machine.
const LEAD_LIMIT: Duration = Duration::from_secs(4);
/// Time in which something that must not happen would show.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);

fn spawn_all(platform: &Platform, count: u64, runtime: &Runtime) -> Vec<Dispatch<Platform>> {
    let numbers = 0..count;
    numbers
        .map(|i| platform.spawn(i, i % RANK_COUNT, runtime))
        .collect()
}

/// Fencing token of the process, if it leads.
fn epoch(process: &Dispatch<Platform>) -> Option<u64> {
    let summary = process.summary();
    let epoch = summary.into_iter().find(|(name, _)| *name == "epoch");
    epoch.map(|(_, epoch)| epoch)
}

/// Waits until one of the processes leads; returns how long that took and its fencing token.
fn wait_for_leader(processes: &[Dispatch<Platform>]) -> (Duration, Option<u64>) {
    let begun = Instant::now();
    while begun.elapsed() < LEAD_LIMIT {
        if let Some(epoch) = processes.iter().find_map(epoch) {
            return (begun.elapsed(), Some(epoch));
        }
        thread::sleep(Duration::from_millis(1));
    }
    (begun.elapsed(), None)
}

/// Guards against a role that stays free while callers submit jobs: claims were refused because
/// the stream had grown since the claimers last read it.
#[test]
fn the_role_is_claimed_beside_a_stream_of_records() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    let _jobs = store_jobs(&platform);
    let leader = lead_from_outside(&platform, 5);
    let processes = spawn_all(&platform, PROCESS_COUNT, &runtime);
    thread::sleep(WARM_UP);

    drop(leader);
    platform.release_from_outside(6);
    let (took, epoch) = wait_for_leader(&processes);

    println!("leading after {} ms", took.as_millis());
    assert_eq!(epoch, Some(7));
    let claims = platform.lock().claims.clone();
    assert_eq!(claims.iter().filter(|(_, admitted)| *admitted).count(), 1);
    assert!(claims.len() <= processes.len(), "{claims:?}");
}

/// Guards against a task that runs twice: records that the leader before had stored after the
/// claimer's last read were not read before it led.
#[test]
fn what_was_stored_before_the_claim_is_known_to_the_leader() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    let key = JobKey(1);
    let step = StepKey {
        job: key,
        occurrence: 0,
        step: 0,
    };
    let id = TargetId("t".into());
    let mut progress = JobProgress {
        state: JobState::Running,
        occurrences: vec![Occurrence::new(0, &job())],
        ended_ms: 0,
        opened: 1,
    };
    let task = progress.task_mut(step.task(0)).expect("a task");
    task.run = 1;
    task.phase = TaskPhase::Placed {
        target: id.clone(),
        born: 1,
    };
    {
        let mut state = platform.lock();
        state.push(Record::Holder(holder(3, 1, false)));
        state.push(Record::Job(key, job()));
        state.fault = ClaimFault::Preceded(vec![
            Record::Job(JobKey(2), job()),
            Record::Progress(key, progress),
            Record::Holder(holder(3, 2, false)),
        ]);
        state.targets.push(target(id));
        state.running.push(RunningTask {
            task: step.task(0),
            run: 1,
            checkpoint: String::new(),
            percent: 10,
            load: 0,
        });
    }

    let processes = spawn_all(&platform, 1, &runtime);
    let (_, epoch) = wait_for_leader(&processes);
    thread::sleep(QUIET_PERIOD);

    assert_eq!(epoch, Some(4));
    let other = StepKey {
        job: JobKey(2),
        ..step
    };
    assert_eq!(platform.lock().starts, [other.task(0)]);
}

fn target(id: TargetId) -> TargetEntry {
    TargetEntry {
        id,
        born: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: "p".into(),
        vm: "m".into(),
        data_centre: "z".into(),
        labels: Vec::new(),
        capacity: Capacity {
            cpu: 8_000,
            mem_mb: 8_000,
            gpu: 0,
        },
        state: TargetState::Ready,
        cold_left_ms: 0,
    }
}

/// Guards against a leader that is deposed although it is active: a claimer that had not seen its
/// last records claimed the role, and nothing but the end of the log stopped it.
#[test]
fn a_claimer_with_an_outdated_table_claims_nothing() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().lead_from_outside(4, 0);
    let processes = spawn_all(&platform, 1, &runtime);
    thread::sleep(Duration::from_millis(300));

    platform.lock().lags = true;
    let _leader = lead_from_outside(&platform, 4);
    thread::sleep(QUIET_PERIOD * 2);

    assert_eq!(platform.lock().claims, Vec::new());
    assert_eq!(processes.iter().find_map(epoch), None);
}

/// Guards against two leaders, and against a loser that claims again and again.
#[test]
fn a_claim_that_loses_is_given_up() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().fault = ClaimFault::Beaten;
    platform.release_from_outside(4);
    let _jobs = store_jobs(&platform);
    let processes = spawn_all(&platform, 1, &runtime);
    thread::sleep(Duration::from_millis(500));
    let winner = lead_from_outside(&platform, 5);
    thread::sleep(QUIET_PERIOD);
    let claims = platform.lock().claims.clone();
    let leads = processes.iter().find_map(epoch);
    drop(winner);

    let (_, later) = wait_for_leader(&processes);

    assert_eq!(claims.len(), 1, "{claims:?}");
    assert_eq!((claims[0].0.epoch, claims[0].1), (5, false));
    assert_eq!((leads, later), (None, Some(6)));
}

/// Guards against a claim in vain because the records had to be loaded anew between the claim and
/// its confirmation.
#[test]
fn a_claimer_that_has_to_load_the_records_anew_leads_after_that() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().fault = ClaimFault::Expired;
    let _jobs = store_jobs(&platform);
    platform.release_from_outside(4);

    let processes = spawn_all(&platform, 1, &runtime);
    let (_, first) = wait_for_leader(&processes);
    thread::sleep(QUIET_PERIOD);

    assert_eq!(first, Some(5));
    assert_eq!(processes.iter().find_map(epoch), Some(5));
}

/// Guards against a leader that does not know what was stored before its claim because it can
/// append, but not read.
#[test]
fn a_claimer_that_cannot_read_gives_up_until_it_can() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().fault = ClaimFault::CutOff;
    platform.release_from_outside(4);

    let processes = spawn_all(&platform, 1, &runtime);
    let (_, cut_off) = wait_for_leader(&processes);
    {
        let mut state = platform.lock();
        state.fault = ClaimFault::None;
        state.cut_off = false;
    }
    let (_, back) = wait_for_leader(&processes);

    assert_eq!((cut_off, back), (None, Some(6)));
}

/// Guards against a role that stays with a process that has stopped: it was told to between its
/// claim and leading.
#[test]
fn a_process_that_stops_during_its_claim_gives_the_role_up() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().fault = ClaimFault::Preceded(Vec::new());
    platform.release_from_outside(4);

    let processes = spawn_all(&platform, 1, &runtime);
    while platform.lock().claims.is_empty() {
        thread::sleep(Duration::from_millis(1));
    }
    async_io::block_on(processes[0].stop());
    thread::sleep(QUIET_PERIOD);

    assert_eq!(processes.iter().find_map(epoch), None);
    let state = platform.lock();
    let last = state.log.iter().rev().find_map(|change| match change {
        Change::Put(Record::Holder(holder)) => Some(holder),
        _ => None,
    });
    let last = last.map(|holder| (holder.epoch, holder.released));
    assert_eq!((last, state.claims.len()), (Some((6, true)), 1));
}

/// Guards against starts in an evacuated data centre, and above limits of teams, by a leader that
/// has not read what the operators want.
#[test]
fn a_process_that_has_not_read_the_operators_changes_claims_nothing() {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    platform.lock().operators_away = true;
    let processes = spawn_all(&platform, 1, &runtime);
    thread::sleep(QUIET_PERIOD);
    let claims = platform.lock().claims.clone();

    platform.lock().operators_away = false;
    let (_, first) = wait_for_leader(&processes);

    assert_eq!((claims, first), (Vec::new(), Some(1)));
}

/// Guards against a delay or the loss of the role because the answer to a claim is lost or late:
/// the claim's own record is read back, perhaps before the answer, and a repeat is not a second
/// claim.
#[rstest]
#[case::lost(ClaimFault::AnswerLost)]
#[case::late(ClaimFault::AnswerLate)]
#[case::never(ClaimFault::NoAnswer)]
fn a_claim_without_an_answer_in_time_is_read_back(#[case] fault: ClaimFault) {
    let runtime = Runtime::start(2).expect("threads");
    let platform = Platform::default();
    let _jobs = store_jobs(&platform);
    let leader = lead_from_outside(&platform, 1);
    let processes = spawn_all(&platform, 3, &runtime);
    thread::sleep(WARM_UP);

    platform.lock().fault = fault;
    drop(leader);
    platform.release_from_outside(2);
    let (took, first) = wait_for_leader(&processes);
    thread::sleep(QUIET_PERIOD);

    println!("leading after {} ms", took.as_millis());
    assert_eq!(first, Some(3));
    let still: Vec<u64> = processes.iter().filter_map(epoch).collect();
    assert_eq!(still, [3]);
    let state = platform.lock();
    let admitted = state.claims.iter().filter(|(_, admitted)| *admitted);
    let seqs: std::collections::HashSet<u64> = admitted.map(|(claim, _)| claim.seq).collect();
    assert_eq!(seqs.len(), 1);
}
