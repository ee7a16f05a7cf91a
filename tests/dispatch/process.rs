//! A process whose store, targets and leader are fakes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use amaranthwick::dispatch::{
    AppendOutcome, Appended, Dispatch, DispatchSettings, ForwardAnswer, RefusedJob, Submission,
};
use amaranthwick::runtime::Runtime;
use amaranthwick::scheduler::{
    Backlog, Capacity, Change, Holder, JobKey, JobSpec, JobTable, Leader, LeaderSettings, Member,
    Policy, Pool, Queue, Record, Refusal, RefusalCause, Step, TargetEntry, TargetId, TargetState,
    Team,
};
use amaranthwick::telemetry::Metrics;
use async_io::block_on;

use crate::fakes::{FakeServices, LeaderAppends, Runs, Script};

pub(crate) const LEADER: &str = "leader";
const ENTRY: &str = "entry";

/// Time for a call of a caller, in ms.
const LIMIT_MS: u64 = 300;

/// Number of stored jobs, each of 1 s on all targets: the next one can't be served.
pub(crate) const STORED_JOBS: u64 = 30;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A target of 16 cores, the only one.
pub(crate) fn target() -> TargetEntry {
    TargetEntry {
        id: TargetId(Arc::from("t")),
        born: 1,
        address: address(1),
        pool: Arc::from("pool"),
        vm: Arc::from("vm"),
        labels: vec!["rack".to_owned()],
        capacity: Capacity {
            cpu: 16_000,
            mem_mb: 64_000,
            gpu: 0,
        },
        state: TargetState::Ready,
        data_centre: Arc::from("z1"),
        cold_left_ms: 0,
    }
}

/// A policy with one queue with an objective of 600 ms and 1.6 times the run time, and one team.
pub(crate) fn policy() -> Policy {
    let queue = Queue {
        name: Arc::from("queue"),
        host: String::new(),
        prefix: String::new(),
        pool: Arc::from("pool"),
        priority: 0,
        attempts: 2,
        objective_ms: 600,
        slack_factor: 1.6,
        public: true,
    };
    let pool = Pool {
        name: Arc::from("pool"),
        admission_check: true,
        standby: false,
    };
    let team = Team {
        name: Arc::from("team"),
        weight: 1,
        limit: Capacity::default(),
    };
    Policy {
        version: 1,
        queues: [(Arc::from("queue"), queue)].into_iter().collect(),
        pools: [(Arc::from("pool"), pool)].into_iter().collect(),
        teams: [(Arc::from("team"), team)].into_iter().collect(),
        ..Policy::default()
    }
}

/// A job of one task that takes all of the target for 1 s.
pub(crate) fn job() -> JobSpec {
    let step = Step {
        count: 1,
        needs: target().capacity,
        estimate_ms: 1_000,
        ..Step::default()
    };
    JobSpec {
        queue: "queue".to_owned(),
        pool: "pool".to_owned(),
        team: Some("team".to_owned()),
        payload: String::new(),
        steps: vec![step],
        occurrence_count: 0,
        first_due_ms: 0,
        interval_ms: 0,
        // Jobs of the future are never past use.
        accepted_ms: u64::MAX / 2,
        terms: None,
    }
}

/// Waits until `condition` holds, for 10 s at most.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(20));
    }
}

fn stored_jobs() -> Vec<Change> {
    let job = |key| Change::Put(Record::Job(JobKey(key), job()));
    (0..STORED_JOBS).map(job).collect()
}

pub(crate) fn holder(member: &str) -> Holder {
    Holder {
        member: member.to_owned(),
        incarnation: 1,
        epoch: 1,
        released: false,
        batch: 0,
    }
}

/// The summary of a leader that has [`STORED_JOBS`].
pub(crate) fn overloaded_summary() -> Backlog {
    let mut table = JobTable::default();
    for change in stored_jobs() {
        table.apply(change);
    }
    let settings = LeaderSettings {
        holder: holder(LEADER),
        lease_ms: 4_000,
        max_lease_ms: 6_000,
        earlier_extend_ms: 0,
        predecessors: Vec::new(),
        earlier_silence_ms: None,
        step_down_after_ms: 7_000,
        vm_order_delay_ms: 0,
        stop_timeout_ms: 400,
        job_retention_ms: 120_000,
    };
    let entries = vec![target()];
    let mut leader = Leader::new(settings, &mut table, Arc::new(policy()), entries, 0, 0);
    leader.backlog_for_peers(&table, 0)
}

pub(crate) const fn stored() -> AppendOutcome {
    AppendOutcome::Stored { end: 0 }
}

pub(crate) const REFUSAL: Refusal = Refusal {
    cause: RefusalCause::OverShare,
    retry_s: 7,
};

/// The answer of a leader that refuses the job with this id.
pub(crate) fn refusing(key: u64) -> ForwardAnswer {
    ForwardAnswer {
        appended: Appended {
            outcome: stored(),
            refused: vec![RefusedJob {
                key: JobKey(key),
                refusal: REFUSAL,
            }],
        },
        summary: None,
    }
}

/// A process with fake services. Another process leads, unless `leads`.
pub(crate) struct Process {
    pub(crate) dispatch: Dispatch<FakeServices>,
    pub(crate) services: FakeServices,
    _runtime: Runtime,
}

impl Process {
    pub(crate) fn start(leads: bool) -> Self {
        let member = |name: &str, port| {
            let member = Member {
                name: name.to_owned(),
                address: address(port),
            };
            Change::Put(Record::Member(member))
        };
        let mut loaded = vec![member(ENTRY, 2), member(LEADER, 3)];
        if leads {
            loaded.extend(stored_jobs());
        } else {
            loaded.push(Change::Put(Record::Holder(holder(LEADER))));
        }
        let services = FakeServices(Arc::new(Mutex::new(Script {
            loaded,
            forward: ForwardAnswer::plain(stored()),
            append: stored(),
            appended: Vec::new(),
            leader_appends: LeaderAppends::Stored,
            runs: Runs::default(),
            loads: 0,
            stream: Vec::new(),
            page_records: usize::MAX,
            readable: true,
            expired: false,
            notices: Vec::new(),
            summary_ages: Vec::new(),
        })));
        let settings = DispatchSettings {
            member: ENTRY.to_owned(),
            incarnation: 1,
            peer: address(2),
            // One that does not lead must not claim the role during a test.
            rank: if leads { 0 } else { 1_000 },
            vm_order_delay_ms: 0,
            max_lease_ms: 6_000,
            stop_timeout_ms: 400,
            job_retention_ms: 120_000,
        };
        let runtime = Runtime::start(1).unwrap();
        let dispatch =
            Dispatch::start(settings, services.clone(), Metrics::new(), &runtime).unwrap();
        let process = Self {
            dispatch,
            services,
            _runtime: runtime,
        };
        wait_until(|| process.ready(leads));
        process
    }

    fn ready(&self, leads: bool) -> bool {
        self.dispatch.ready() && self.leads() == leads
    }

    pub(crate) fn leads(&self) -> bool {
        self.figure("busy_targets").is_some()
    }

    /// A figure of the state dump; `None` when it is missing.
    pub(crate) fn figure(&self, name: &str) -> Option<u64> {
        let summary = self.dispatch.summary();
        let figure = summary.iter().find(|(found, _)| *found == name);
        figure.map(|(_, value)| *value)
    }

    pub(crate) fn submit(&self, key: u64) -> Submission {
        block_on(self.dispatch.submit(JobKey(key), job(), LIMIT_MS))
    }

    pub(crate) fn stored_keys(&self) -> Vec<String> {
        let script = self.services.script();
        script.appended.iter().map(Record::key).collect()
    }
}
