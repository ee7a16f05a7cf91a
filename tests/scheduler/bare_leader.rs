//! A leader without a simulated platform: the test passes it each event.

use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Change, Command, EndKind, EndedRun, Event, Holder, Job, JobKey, JobState, JobTable,
    Leader, LeaderSettings, Millis, Predecessor, Record, RunningTask, StartOutcome, StopOutcome,
    StoredTable, TargetEntry, TargetId, TargetReport, TargetState, TaskKey,
};

use crate::fixtures::{POOL, job, policy, step, task};

/// The target's clock when the leader starts, in ms.
pub(crate) const CLOCK_MS: u64 = 50_000;
/// `born` of the target's only incarnation.
pub(crate) const BORN: u64 = 1_000;

/// Name of the earlier leader's process.
const PREDECESSOR: &str = "earlier";

/// A leader whose calls and batches the test answers.
pub(crate) struct Fixture {
    pub(crate) now: Millis,
    pub(crate) table: JobTable,
    pub(crate) leader: Leader,
    /// What was stored.
    pub(crate) log: Vec<Change>,
    /// The batch that is not stored yet.
    pub(crate) batch: Option<(u64, Vec<Record>)>,
    /// Hold calls that are not answered yet: the entry of the target, and the call's number.
    pub(crate) holds: Vec<(Arc<TargetEntry>, u64)>,
    /// Tasks that were started, with the numbers of their runs.
    pub(crate) starts: Vec<(TaskKey, u32)>,
    /// Runs for which a stop was sent.
    pub(crate) stops: Vec<u32>,
    /// VMs whose maintenance was ordered.
    pub(crate) upkeeps: Vec<String>,
    /// Reports on waves: the number, and whether the wave is complete.
    pub(crate) reports: Vec<(u64, bool)>,
}

impl Fixture {
    /// A leader that has heard from its target.
    pub(crate) fn new() -> Self {
        let mut fixture = Self::take_over(0, Vec::new(), vec![entry("t0")], 0);
        fixture.poll(0);
        fixture.now = 5;
        fixture.hold_answered(0, &[], &[]);
        fixture
    }

    /// A leader that takes the role at `now`, with what was stored before. Earlier leaders may extend
    /// leases for `earlier_extend_ms` more.
    pub(crate) fn take_over(
        now: Millis,
        log: Vec<Change>,
        entries: Vec<TargetEntry>,
        earlier_extend_ms: Millis,
    ) -> Self {
        let mut table = JobTable::default();
        for change in &log {
            table.apply(change.clone());
        }
        let settings = LeaderSettings {
            earlier_extend_ms,
            predecessors: vec![Predecessor {
                member: PREDECESSOR.to_owned(),
                extend_ms: earlier_extend_ms,
            }],
            earlier_silence_ms: (!log.is_empty()).then_some(0),
            ..settings()
        };
        let leader = Leader::new(settings, &mut table, Arc::new(policy()), entries, now, now);
        Self {
            now,
            table,
            leader,
            log,
            batch: None,
            holds: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            upkeeps: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// The earlier leader answers that it was told of this one, and has just stopped leading.
    pub(crate) fn predecessor_answers(&mut self) {
        self.handle(Event::PredecessorNotified {
            member: PREDECESSOR.to_owned(),
            idle_ms: Some(0),
        });
    }

    /// A leader that has sent the start of the task of job 1.
    pub(crate) fn with_sent_start() -> Self {
        let mut fixture = Self::new();
        fixture.submit(1);
        fixture.poll(10);
        fixture.batch_stored();
        fixture.poll(12);
        fixture
    }

    /// A leader whose target runs the task of job 1.
    pub(crate) fn with_running_task() -> Self {
        let mut fixture = Self::with_sent_start();
        fixture.start_answered(1, StartOutcome::Running, 13);
        fixture.poll(15);
        fixture
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.leader.handle(&mut self.table, event, self.now);
    }

    pub(crate) fn poll(&mut self, now: Millis) {
        self.now = now;
        for command in self.leader.poll(&mut self.table, now, now) {
            match command {
                Command::Append { batch, records, .. } => self.batch = Some((batch, records)),
                Command::Hold { target, number, .. } => self.holds.push((target, number)),
                Command::Start { task, run, .. } => self.starts.push((task, run)),
                Command::Stop { run, .. } => self.stops.push(run),
                Command::BeginUpkeep { vm, .. } => self.upkeeps.push(vm),
                Command::ReportWave { wave, complete } => {
                    self.reports.push((wave, complete));
                    self.handle(Event::WaveReported { wave, stored: true });
                }
                _ => {}
            }
        }
    }

    /// Has the leader decide, and its batches stored, until nothing more follows.
    pub(crate) fn settle(&mut self, now: Millis) {
        for _ in 0..4 {
            self.poll(now);
            if self.batch.is_some() {
                self.batch_stored();
            }
        }
    }

    /// Submits a job with one task.
    pub(crate) fn submit(&mut self, number: u64) {
        let key = JobKey(number);
        let change = Change::Put(Record::Job(key, job(vec![step(1, 400, &[])])));
        self.log.push(change.clone());
        self.table.apply(change);
        self.handle(Event::JobChanged(key));
    }

    /// A caller's cancel is stored.
    pub(crate) fn cancel(&mut self, number: u64) {
        let key = JobKey(number);
        let change = Change::Put(Record::Cancel(key));
        self.log.push(change.clone());
        self.table.apply(change);
        let shown = self.shown(key);
        self.handle(Event::JobCancelled { job: key, shown });
    }

    /// State of a job, as callers are shown it by a process that has read all that is stored.
    fn shown(&self, key: JobKey) -> Option<JobState> {
        let mut stored = StoredTable::default();
        for change in &self.log {
            stored.apply_read(change.clone());
        }
        stored.table().get(key).map(Job::state)
    }

    pub(crate) fn batch_stored(&mut self) {
        let (batch, records) = self.batch.take().expect("a batch was sent");
        self.log.extend(records.into_iter().map(Change::Put));
        self.handle(Event::BatchStored { batch });
    }

    pub(crate) fn start_answered(&mut self, job: u64, outcome: StartOutcome, sent_at: Millis) {
        let (task, run) = *self.starts.last().expect("a start was sent");
        assert_eq!(task.step.job, JobKey(job));
        let answered = outcome != StartOutcome::Unknown;
        self.handle(Event::StartAnswered {
            target: entry("t0").id,
            born: BORN,
            task,
            run,
            outcome,
            clock_ms: answered.then_some(CLOCK_MS + sent_at),
            sent_at,
        });
    }

    /// A stop of a run of the task of job 1 is confirmed.
    pub(crate) fn stop_confirmed(&mut self, born: u64, run: u32, sent_at: Millis) {
        self.now = sent_at + 1;
        self.handle(Event::StopAnswered {
            target: entry("t0").id,
            born,
            task: task(1, 0),
            run,
            outcome: StopOutcome::Confirmed,
            clock_ms: Some(CLOCK_MS + sent_at),
            sent_at,
        });
    }

    /// The oldest hold call is answered by the incarnation `born` of the target.
    pub(crate) fn hold_answered_by(
        &mut self,
        born: u64,
        sent_at: Millis,
        running: &[RunningTask],
        ended: &[EndedRun],
    ) {
        let (called, number) = self.holds.remove(0);
        let report = TargetReport {
            born,
            clock_ms: CLOCK_MS + sent_at,
            running: running.to_vec(),
            ended: ended.to_vec(),
            complete: true,
        };
        self.handle(Event::HoldAnswered {
            target: called.id.clone(),
            born: called.born,
            number,
            result: Ok(report),
            sent_at,
        });
    }

    pub(crate) fn hold_answered(
        &mut self,
        sent_at: Millis,
        running: &[RunningTask],
        ended: &[EndedRun],
    ) {
        self.hold_answered_by(BORN, sent_at, running, ended);
    }
}

pub(crate) fn settings() -> LeaderSettings {
    LeaderSettings {
        holder: Holder {
            member: "n".to_owned(),
            incarnation: 1,
            epoch: 1,
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

pub(crate) fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: TargetId(id.into()),
        born: BORN,
        address: "127.0.0.1:9".parse().unwrap(),
        pool: POOL.into(),
        vm: format!("vm-{id}").into(),
        data_centre: "".into(),
        labels: vec!["kind".to_owned(), "rack".to_owned()],
        capacity: Capacity {
            cpu: 8_000,
            mem_mb: 16_000,
            gpu: 0,
        },
        state: TargetState::Ready,
        cold_left_ms: 0,
    }
}

pub(crate) fn running(job: u64) -> RunningTask {
    RunningTask {
        task: task(job, 0),
        run: 1,
        checkpoint: String::new(),
        percent: 10,
        load: 0,
    }
}

pub(crate) fn done(job: u64) -> EndedRun {
    EndedRun {
        position: 1,
        task: task(job, 0),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }
}
