//! Tests of the decision on a job by a summary of the waiting work.

use rstest::rstest;

use crate::scheduler::admission::{Refused, decide, is_subject};
use crate::scheduler::backlog::{Backlog, PoolBacklog};
use crate::scheduler::work::{JobClaim, Work};
use crate::scheduler::{
    Capacity, JobKey, JobSpec, Policy, Queue, QueueTerms, RefusalCause, Step, Team,
};

const POOL: &str = "pool";
const QUEUE: &str = "queue";

/// CPU of the pool, in thousandths of a core.
const POOL_CPU: u64 = 100_000;

fn cpu(cpu: u64) -> Capacity {
    Capacity {
        cpu,
        ..Capacity::default()
    }
}

/// A queue with an objective of 600 ms plus twice the longest chain.
fn queue() -> Queue {
    Queue {
        name: QUEUE.into(),
        host: String::new(),
        prefix: String::new(),
        pool: POOL.into(),
        priority: 1,
        attempts: 2,
        objective_ms: 600,
        slack_factor: 2.0,
        public: true,
    }
}

fn policy() -> Policy {
    let team = Team {
        name: "a".into(),
        weight: 1,
        limit: Capacity::default(),
    };
    Policy {
        version: 1,
        queues: [(QUEUE.into(), queue())].into_iter().collect(),
        teams: [("a".into(), team)].into_iter().collect(),
        ..Policy::default()
    }
}

/// A job of one task of 700 ms, whose objective is 2,000 ms.
fn job(team: Option<&str>) -> JobSpec {
    let step = Step {
        count: 1,
        needs: cpu(1_000),
        estimate_ms: 700,
        ..Step::default()
    };
    JobSpec {
        queue: QUEUE.to_owned(),
        pool: POOL.to_owned(),
        team: team.map(str::to_owned),
        payload: String::new(),
        steps: vec![step],
        occurrence_count: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
        terms: None,
    }
}

/// Work that takes the whole pool this long.
fn work(ms: u64) -> Work {
    Work::of(&cpu(POOL_CPU), 1, ms)
}

/// A summary of work of the team "a", or without a team, that takes the pool `wait_ms`.
fn backlog(wait_ms: u64, team: Option<&str>) -> Backlog {
    let mut pool = PoolBacklog {
        now: cpu(POOL_CPU),
        later: cpu(POOL_CPU),
        ..PoolBacklog::default()
    };
    pool.add(1, &work(wait_ms), team, false);
    Backlog {
        pools: [(POOL.to_owned(), pool)].into_iter().collect(),
        ..Backlog::default()
    }
}

fn decision(backlog: &Backlog, spec: &JobSpec, age_ms: u64) -> Result<(), Refused> {
    let claim = JobClaim::of(spec, queue().terms_for(spec));
    decide(backlog, &claim, spec, POOL, JobKey(7), age_ms)
}

fn cause(decision: Result<(), Refused>) -> Option<RefusalCause> {
    decision.err().map(|refused| refused.refusal.cause)
}

/// Guards against refusals of jobs that could be served: at 6,000 ms, three times the objective,
/// the job is of no use, but only a wait that is certain to be as long justifies a refusal.
#[rstest]
#[case::no_work(0, None)]
#[case::past_its_objective(3_000, None)]
#[case::perhaps_past_use(6_500, None)]
#[case::certainly_past_use(8_200, Some(RefusalCause::NoCapacity))]
fn a_job_is_refused_once_it_certainly_ends_too_late(
    #[case] wait_ms: u64,
    #[case] expected: Option<RefusalCause>,
) {
    let decision = decision(&backlog(wait_ms, None), &job(None), 0);

    assert_eq!(cause(decision), expected);
}

/// Guards against neighbours that pay for a team over its share, and against refusals of that team
/// while it can still be served in time.
#[rstest]
#[case::over_and_late(2_000, "a", Some(RefusalCause::OverShare))]
#[case::over_in_time(1_000, "a", None)]
#[case::over_and_past_use(9_000, "a", Some(RefusalCause::NoCapacity))]
#[case::neighbour(20_000, "b", None)]
fn a_team_over_its_share_is_refused_what_would_be_late(
    #[case] wait_ms: u64,
    #[case] team: &str,
    #[case] expected: Option<RefusalCause>,
) {
    let mut backlog = backlog(wait_ms, Some("a"));
    backlog.over.insert("a".to_owned());
    for pool in backlog.pools.values_mut() {
        pool.apply_shares(|team| team == "a", 1.0, |_| 0.5);
    }

    let decision = decision(&backlog, &job(Some(team)), 0);

    assert_eq!(cause(decision), expected);
}

/// Guards against a team that is refused because others have queued up work before they run more
/// than their shares: its own work takes 1 s on the tenth of the pool that it can expect.
#[test]
fn a_team_within_its_share_does_not_wait_for_the_work_of_others() {
    let mut backlog = backlog(60_000, Some("a"));
    for pool in backlog.pools.values_mut() {
        pool.add(1, &work(100), Some("b"), false);
        pool.apply_shares(|_| false, 1.0, |_| 0.1);
    }

    let neighbour = decision(&backlog, &job(Some("b")), 0);
    let cause_of_wait = decision(&backlog, &job(Some("a")), 0);

    assert_eq!(cause(neighbour), None);
    assert_eq!(cause(cause_of_wait), Some(RefusalCause::NoCapacity));
}

/// Guards against refusals by figures that say nothing: of an unknown pool, of one that is not
/// known to have or get VMs, and of a pool whose VMs are only now being moved to it.
#[rstest]
#[case::empty_summary(Backlog::default())]
#[case::no_vms({
    let mut backlog = backlog(60_000, None);
    backlog.pools[POOL].now = Capacity::default();
    backlog.pools[POOL].later = Capacity::default();
    backlog
})]
#[case::standby_vms({
    let mut backlog = backlog(6_500, None);
    backlog.pools[POOL].now = Capacity::default();
    backlog
})]
#[case::more_vms_to_come({
    let mut backlog = backlog(20_000, None);
    backlog.pools[POOL].later = cpu(10 * POOL_CPU);
    backlog
})]
fn a_job_is_accepted_where_the_figures_do_not_rule_it_out(#[case] backlog: Backlog) {
    assert_eq!(decision(&backlog, &job(None), 0), Ok(()));
}

/// Guards against a job that is refused, or accepted without a look at the figures, because of
/// work for a resource that it does not need: here accelerators, of which the pool has `gpus`.
#[rstest]
#[case::queued_up(1, 500, None)]
#[case::queued_up_behind_cpu(1, 9_000, Some(RefusalCause::NoCapacity))]
#[case::pool_without(0, 9_000, Some(RefusalCause::NoCapacity))]
fn only_resources_that_a_job_needs_count(
    #[case] gpus: u64,
    #[case] wait_ms: u64,
    #[case] expected: Option<RefusalCause>,
) {
    let gpu = |gpu| Capacity {
        gpu,
        ..Capacity::default()
    };
    let mut backlog = backlog(wait_ms, None);
    let pool = &mut backlog.pools[POOL];
    (pool.now.gpu, pool.later.gpu) = (gpus, gpus);
    let accelerated = Work::of(&gpu(1), 1, 60_000);
    pool.add(1, &accelerated, None, false);
    pool.drain = 1_000;
    pool.returning = accelerated;

    let decision = decision(&backlog, &job(None), 0);

    if let Err(refused) = decision {
        // 9,700 ms must fall to 6,000 / 0.8 ms.
        assert!(refused.refusal.retry_s <= 4, "{refused:?}");
    }
    assert_eq!(cause(decision), expected);
}

/// Guards against a job that would be refused however often its caller comes back: alone it takes
/// longer than three times its objective.
#[test]
fn a_job_that_is_late_on_an_idle_pool_is_accepted() {
    let claim = JobClaim {
        objective_ms: 100,
        ..JobClaim::of(&job(None), queue().terms_for(&job(None)))
    };
    let backlog = backlog(60_000, None);

    let decision = decide(&backlog, &claim, &job(None), POOL, JobKey(7), 0);

    assert_eq!(decision, Ok(()));
}

/// Guards against refusals without an objective: of a queue that is gone or has none.
#[test]
fn a_job_without_an_objective_is_accepted() {
    let claim = JobClaim::of(&job(None), QueueTerms::UNKNOWN);
    let backlog = backlog(60_000, None);

    let decision = decide(&backlog, &claim, &job(None), POOL, JobKey(7), 0);

    assert_eq!(decision, Ok(()));
}

/// Guards against jobs that wait behind those of a lower priority in the figures only.
#[test]
fn work_of_a_lower_priority_is_not_ahead() {
    let mut backlog = backlog(500, None);
    backlog.pools[POOL].add(2, &work(60_000), None, false);

    assert_eq!(decision(&backlog, &job(None), 0), Ok(()));
}

/// Guards against decisions by old figures while there is no leader: from 2 s on only teams over
/// their share are refused, and from 10 s on nobody. The work is assumed to go on meanwhile.
#[rstest]
#[case::fresh(8_500, 100, None, Some(RefusalCause::NoCapacity))]
#[case::done_meanwhile(8_500, 1_900, None, None)]
#[case::old(60_000, 2_001, None, None)]
#[case::old_over_share(60_000, 2_001, Some("a"), Some(RefusalCause::OverShare))]
#[case::too_old(60_000, 10_001, Some("a"), None)]
fn an_old_summary_justifies_fewer_refusals(
    #[case] wait_ms: u64,
    #[case] age_ms: u64,
    #[case] team: Option<&str>,
    #[case] expected: Option<RefusalCause>,
) {
    let mut backlog = backlog(wait_ms, Some("a"));
    backlog.over.insert("a".to_owned());
    let decision = decision(&backlog, &job(team), age_ms);

    assert_eq!(cause(decision), expected);
}

/// Guards against admission of jobs to which a wait means nothing, and against decisions before
/// the operators have given any team a weight.
#[test]
fn long_running_and_timed_jobs_are_not_subject_to_admission() {
    let mut timed = job(None);
    timed.occurrence_count = 1;
    let mut long_running = job(None);
    long_running.steps[0].long_running = true;
    let mut unweighted = policy();
    unweighted.teams["a"].weight = 0;

    assert!(is_subject(&job(None), &policy()));
    assert!(!is_subject(&timed, &policy()));
    assert!(!is_subject(&long_running, &policy()));
    assert!(!is_subject(&job(None), &unweighted));
    assert!(!is_subject(&job(None), &Policy::default()));
}

/// Guards against callers that come back before there is capacity, or all at the same time.
#[test]
fn callers_are_told_to_come_back_when_the_work_has_drained() {
    let wait = |drain, scarce_ms, returning| {
        let mut backlog = backlog(10_000, None);
        let pool = &mut backlog.pools[POOL];
        (pool.drain, pool.scarce_ms, pool.returning) = (drain, scarce_ms, work(returning));
        let spec = job(None);
        let claim = JobClaim::of(&spec, queue().terms_for(&spec));
        let told = (0..100).map(|key| {
            let decision = decide(&backlog, &claim, &spec, POOL, JobKey(key), 0);
            decision.unwrap_err().refusal.retry_s
        });
        let told: Vec<u32> = told.collect();
        (*told.iter().min().unwrap(), *told.iter().max().unwrap())
    };

    // 10,700 ms must fall to 6,000 / 0.8 ms, by 3,200 ms.
    assert_eq!(wait(1_000, 0, 0), (4, 5));
    assert_eq!(wait(500, 0, 0), (7, 10));
    assert_eq!(wait(1_000, 0, 20_000), (24, 35));
    // A burst that has lasted 3 s is expected to last as long again.
    assert_eq!(wait(0, 3_000, 0), (10, 15));
}
