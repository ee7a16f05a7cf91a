//! Services whose answers a test sets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranthwick::dispatch::{
    AppendOutcome, ForwardAnswer, HoldRequest, OperatorChange, OrderClaim, Page, Producer,
    ReadOutcome, Services, Snapshot, StartAnswer, StartRequest, StopAnswer, StopRequest,
    TargetChange, wall_ms,
};
use amaranthwick::scheduler::{
    Change, EndKind, EndedRun, HoldFailure, JobKey, Millis, Record, RunningTask, StartOutcome,
    StopOutcome, TargetReport, TaskKey, Vm, VmOutcome,
};
use async_io::Timer;

use crate::process::{policy, target};

/// What the store does with appends of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderAppends {
    Stored,
    /// They are stored, but not answered.
    Unanswered,
    /// They are neither stored nor answered until this changes.
    Silent,
    /// They are refused because of a higher fencing token.
    Fenced,
}

/// Runs on the only target.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    /// Whether the target answers.
    pub(crate) up: bool,
    pub(crate) running: Vec<(TaskKey, u32)>,
    /// Runs that have ended as done, in their order.
    pub(crate) ended: Vec<(TaskKey, u32)>,
}

/// What the services answer, and what they were asked to store.
#[derive(Debug)]
pub(crate) struct Script {
    /// Records that the process loads when it starts.
    pub(crate) loaded: Vec<Change>,
    /// The leader's answer to forwarded records.
    pub(crate) forward: ForwardAnswer,
    /// The store's answer to records of callers.
    pub(crate) append: AppendOutcome,
    pub(crate) appended: Vec<Record>,
    pub(crate) leader_appends: LeaderAppends,
    pub(crate) runs: Runs,
    /// How often the records were loaded.
    pub(crate) loads: u32,
    /// Records of the leader that the stream holds after the loaded ones.
    pub(crate) stream: Vec<Change>,
    /// Number of records that a read brings at most.
    pub(crate) page_records: usize,
    /// Whether the stream can be read.
    pub(crate) readable: bool,
    /// Whether the next read of the stream finds its records expired, so that the process loads
    /// `loaded` again.
    pub(crate) expired: bool,
    /// Earlier leaders that were told of a later one: address, name and fencing token.
    pub(crate) notices: Vec<(SocketAddr, String, u64)>,
    /// Ages of the summary that the entry told the leader.
    pub(crate) summary_ages: Vec<Option<Millis>>,
}

#[derive(Clone, Debug)]
pub(crate) struct FakeServices(pub(crate) Arc<Mutex<Script>>);

impl FakeServices {
    pub(crate) fn script(&self) -> MutexGuard<'_, Script> {
        self.0.lock().unwrap()
    }
}

/// The report of the only target.
fn report(runs: &Runs) -> TargetReport {
    let running = runs.running.iter().map(|&(task, run)| RunningTask {
        task,
        run,
        checkpoint: String::new(),
        percent: 0,
        load: 0,
    });
    let ended = (1..)
        .zip(&runs.ended)
        .map(|(position, &(task, run))| EndedRun {
            position,
            task,
            run,
            kind: EndKind::Done,
            checkpoint: String::new(),
        });
    TargetReport {
        born: target().born,
        clock_ms: wall_ms(),
        running: running.collect(),
        ended: ended.collect(),
        complete: true,
    }
}

async fn pause(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

impl Services for FakeServices {
    async fn load_snapshot(&self) -> ReadOutcome<Snapshot> {
        let changes = {
            let mut script = self.script();
            if !script.readable {
                return ReadOutcome::Failed("unavailable".to_owned());
            }
            script.loads += 1;
            script.loaded.clone()
        };
        ReadOutcome::Read(Snapshot { changes, next: 1 })
    }

    async fn read_records(&self, from: u64, _wait_ms: u64) -> ReadOutcome<Page> {
        pause(20).await;
        let mut script = self.script();
        if !script.readable {
            return ReadOutcome::Failed("unavailable".to_owned());
        }
        if std::mem::take(&mut script.expired) {
            return ReadOutcome::Expired;
        }
        let unread = script
            .stream
            .get(usize::try_from(from).unwrap() - 1..)
            .unwrap_or_default();
        let page = &unread[..unread.len().min(script.page_records)];
        ReadOutcome::Read(Page {
            changes: page.to_vec(),
            next: from + page.len() as u64,
            end: from + unread.len() as u64,
        })
    }

    async fn append(
        &self,
        records: &[Record],
        _forget: &[JobKey],
        producer: Option<Producer>,
        _expected: Option<u64>,
    ) -> AppendOutcome {
        while producer.is_some() && self.script().leader_appends == LeaderAppends::Silent {
            pause(10).await;
        }
        let unanswered = producer.is_some() && {
            let mut script = self.script();
            let unanswered = script.leader_appends == LeaderAppends::Unanswered;
            if unanswered {
                let changes = records.iter().cloned().map(Change::Put);
                script.stream.extend(changes);
            }
            unanswered
        };
        if unanswered {
            std::future::pending::<()>().await;
        }
        let mut script = self.script();
        if producer.is_some() {
            if script.leader_appends == LeaderAppends::Fenced {
                return AppendOutcome::Fenced;
            }
            let changes = records.iter().cloned().map(Change::Put);
            script.stream.extend(changes);
            let end = 1 + script.stream.len() as u64;
            return AppendOutcome::Stored { end };
        }
        script.appended.extend_from_slice(records);
        script.append
    }

    async fn forward(
        &self,
        _peer: SocketAddr,
        _records: &[Record],
        summary_age_ms: Option<Millis>,
    ) -> ForwardAnswer {
        let mut script = self.script();
        script.summary_ages.push(summary_age_ms);
        script.forward.clone()
    }

    async fn notify_predecessor(&self, peer: SocketAddr, member: &str, epoch: u64) -> Option<u64> {
        let notice = (peer, member.to_owned(), epoch);
        self.script().notices.push(notice);
        None
    }

    async fn operator_changes(
        &self,
        cursor: Option<u64>,
        _wait_ms: u64,
    ) -> ReadOutcome<(Vec<OperatorChange>, u64)> {
        if cursor.is_some() {
            pause(50).await;
            return ReadOutcome::Read((Vec::new(), 1));
        }
        let change = OperatorChange::Policy(Arc::new(policy()));
        ReadOutcome::Read((vec![change], 1))
    }

    async fn target_changes(
        &self,
        cursor: Option<u64>,
        _wait_ms: u64,
    ) -> ReadOutcome<(Vec<TargetChange>, u64)> {
        if cursor.is_some() {
            pause(50).await;
            return ReadOutcome::Read((Vec::new(), 1));
        }
        ReadOutcome::Read((vec![TargetChange::Entry(target())], 1))
    }

    async fn start_run(&self, start: StartRequest<'_>) -> StartAnswer {
        let mut script = self.script();
        if script.runs.up {
            script.runs.running.push((start.task, start.run));
            return StartAnswer {
                outcome: StartOutcome::Running,
                clock_ms: Some(wall_ms()),
            };
        }
        StartAnswer {
            outcome: StartOutcome::Unknown,
            clock_ms: None,
        }
    }

    async fn stop_run(&self, _stop: StopRequest<'_>) -> StopAnswer {
        StopAnswer {
            outcome: StopOutcome::Unknown,
            clock_ms: None,
        }
    }

    async fn hold(&self, _hold: HoldRequest<'_>) -> Result<TargetReport, HoldFailure> {
        pause(50).await;
        let script = self.script();
        if !script.runs.up {
            return Err(HoldFailure::NoAnswer);
        }
        Ok(report(&script.runs))
    }

    async fn list_vms(&self) -> Option<Vec<Vm>> {
        Some(Vec::new())
    }

    async fn begin_upkeep(&self, _vm: &str, _wave: u64, _claim: OrderClaim) -> VmOutcome {
        VmOutcome::Invalid
    }

    async fn move_vm(&self, _vm: &str, _pool: &str, _claim: OrderClaim) -> VmOutcome {
        VmOutcome::Invalid
    }

    fn set_peers(&self, _peers: Vec<SocketAddr>) {}

    async fn report_wave(&self, _wave: u64, _complete: bool) -> bool {
        true
    }
}
