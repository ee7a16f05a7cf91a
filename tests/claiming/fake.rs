//! A platform in memory, whose store can be made to answer claims late, wrongly or not at all.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use amaranthwick::dispatch::{
    AppendOutcome, Dispatch, DispatchSettings, ForwardAnswer, HoldRequest, OperatorChange,
    OrderClaim, Page, Producer, ReadOutcome, Services, Snapshot, StartAnswer, StartRequest,
    StopAnswer, StopRequest, TargetChange,
};
use amaranthwick::runtime::Runtime;
use amaranthwick::scheduler::{
    HoldFailure, Holder, JobKey, Policy, Record, StartOutcome, StopOutcome, TargetReport, Vm,
    VmOutcome,
};
use amaranthwick::telemetry::Metrics;
use async_io::Timer;

use crate::store::{ClaimFault, HIDDEN_TIME, State, holder};

/// Time of each call to the store, in both directions together.
const CALL_TIME: Duration = Duration::from_millis(5);
/// Interval at which a read that waits looks for a record.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which the answer to a claim is held up.
const LATE_ANSWER: Duration = Duration::from_millis(1_500);

/// The platform; clones share its state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Platform(Arc<Mutex<State>>);

impl Platform {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another process gives the role up.
    pub(crate) fn release_from_outside(&self, epoch: u64) {
        let mut state = self.lock();
        state.epoch = epoch;
        state.push(Record::Holder(holder(epoch, 0, true)));
    }

    /// Starts a process with this number.
    pub(crate) fn spawn(&self, number: u64, rank: u64, runtime: &Runtime) -> Dispatch<Self> {
        let settings = DispatchSettings {
            member: format!("n{number}"),
            incarnation: 1,
            peer: SocketAddr::from(([127, 0, 0, 1], 9)),
            rank,
            vm_order_delay_ms: 3_000,
            max_lease_ms: 6_000,
            stop_timeout_ms: 400,
            job_retention_ms: 120_000,
        };
        Dispatch::start(settings, self.clone(), Metrics::new(), runtime).expect("a process")
    }

    /// Applies the fault to a claim, and returns the answer; `None` if there never is one.
    async fn claim(&self, records: &[Record], producer: Producer) -> Option<AppendOutcome> {
        let (fault, first_try, end) = {
            let mut state = self.lock();
            let first_try = state.claims.iter().all(|(other, _)| *other != producer);
            if let ClaimFault::Preceded(before) = &mut state.fault {
                for record in std::mem::take(before) {
                    state.push(record);
                }
                state.hidden_until = Some(Instant::now() + HIDDEN_TIME);
            }
            if matches!(state.fault, ClaimFault::Beaten) && state.claims.is_empty() {
                state.lead_from_outside(producer.epoch, 0);
            }
            let end = state.append(records, Some(producer));
            match state.fault {
                ClaimFault::Expired => state.first = state.end(),
                ClaimFault::CutOff => state.cut_off = true,
                _ => {}
            }
            state.claims.push((producer, end.is_some()));
            (state.fault.clone(), first_try, end)
        };
        let answer = end.map_or(AppendOutcome::Fenced, |end| AppendOutcome::Stored { end });
        match fault {
            ClaimFault::AnswerLost if first_try => return Some(AppendOutcome::Unknown),
            ClaimFault::AnswerLate => {
                Timer::after(LATE_ANSWER).await;
            }
            ClaimFault::NoAnswer => return None,
            _ => {}
        }
        Some(answer)
    }
}

impl Services for Platform {
    async fn load_snapshot(&self) -> ReadOutcome<Snapshot> {
        Timer::after(CALL_TIME).await;
        let state = self.lock();
        if state.cut_off {
            return ReadOutcome::Failed("cut off".to_owned());
        }
        ReadOutcome::Read(Snapshot {
            changes: state.log.clone(),
            next: state.end(),
        })
    }

    async fn read_records(&self, from: u64, wait_ms: u64) -> ReadOutcome<Page> {
        Timer::after(CALL_TIME).await;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.lock();
                if state.cut_off {
                    return ReadOutcome::Failed("cut off".to_owned());
                }
                if from < state.first {
                    return ReadOutcome::Expired;
                }
                let from_index = usize::try_from(from).expect("an offset");
                let late = state
                    .hidden_until
                    .is_some_and(|until| Instant::now() < until);
                let hidden = late || (state.lags && wait_ms > 0);
                let changes = state.log.get(from_index..).unwrap_or_default();
                let changes = if hidden { Vec::new() } else { changes.to_vec() };
                if !changes.is_empty() || Instant::now() >= deadline {
                    let next = from + changes.len() as u64;
                    let end = if hidden { next } else { state.end() };
                    return ReadOutcome::Read(Page { changes, next, end });
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn append(
        &self,
        records: &[Record],
        _forget: &[JobKey],
        producer: Option<Producer>,
        expected: Option<u64>,
    ) -> AppendOutcome {
        Timer::after(CALL_TIME).await;
        if expected.is_some_and(|expected| expected != self.lock().end()) {
            return AppendOutcome::EndMismatch;
        }
        let is_claim = matches!(
            records,
            [Record::Holder(Holder {
                released: false,
                batch: 0,
                ..
            })]
        );
        if let Some(producer) = producer.filter(|_| is_claim) {
            return match self.claim(records, producer).await {
                Some(answer) => answer,
                None => pending().await,
            };
        }
        let end = self.lock().append(records, producer);
        end.map_or(AppendOutcome::Fenced, |end| AppendOutcome::Stored { end })
    }

    async fn forward(
        &self,
        _peer: SocketAddr,
        _records: &[Record],
        _summary_age_ms: Option<u64>,
    ) -> ForwardAnswer {
        ForwardAnswer::plain(AppendOutcome::Busy)
    }

    async fn notify_predecessor(
        &self,
        _peer: SocketAddr,
        _member: &str,
        _epoch: u64,
    ) -> Option<u64> {
        None
    }

    async fn operator_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> ReadOutcome<(Vec<OperatorChange>, u64)> {
        if self.lock().operators_away {
            return ReadOutcome::Failed("away".to_owned());
        }
        if cursor.is_some() {
            Timer::after(Duration::from_millis(wait_ms)).await;
            return ReadOutcome::Read((Vec::new(), 1));
        }
        let policy = Policy {
            version: 1,
            ..Policy::default()
        };
        ReadOutcome::Read((vec![OperatorChange::Policy(Arc::new(policy))], 1))
    }

    async fn target_changes(
        &self,
        cursor: Option<u64>,
        wait_ms: u64,
    ) -> ReadOutcome<(Vec<TargetChange>, u64)> {
        if cursor.is_some() {
            Timer::after(Duration::from_millis(wait_ms)).await;
            return ReadOutcome::Read((Vec::new(), 1));
        }
        Timer::after(CALL_TIME).await;
        let entries = self.lock().targets.clone();
        ReadOutcome::Read((entries.into_iter().map(TargetChange::Entry).collect(), 1))
    }

    async fn start_run(&self, start: StartRequest<'_>) -> StartAnswer {
        self.lock().starts.push(start.task);
        StartAnswer {
            outcome: StartOutcome::Running,
            clock_ms: None,
        }
    }

    async fn stop_run(&self, _stop: StopRequest<'_>) -> StopAnswer {
        StopAnswer {
            outcome: StopOutcome::Confirmed,
            clock_ms: None,
        }
    }

    async fn hold(&self, hold: HoldRequest<'_>) -> Result<TargetReport, HoldFailure> {
        Timer::after(Duration::from_millis(hold.wait_ms)).await;
        Ok(TargetReport {
            born: hold.target.born,
            clock_ms: 0,
            running: self.lock().running.clone(),
            ended: Vec::new(),
            complete: true,
        })
    }

    async fn list_vms(&self) -> Option<Vec<Vm>> {
        Some(Vec::new())
    }

    async fn begin_upkeep(&self, _vm: &str, _wave: u64, _claim: OrderClaim) -> VmOutcome {
        VmOutcome::Busy
    }

    async fn move_vm(&self, _vm: &str, _pool: &str, _claim: OrderClaim) -> VmOutcome {
        VmOutcome::Busy
    }

    fn set_peers(&self, _peers: Vec<SocketAddr>) {}

    async fn report_wave(&self, _wave: u64, _complete: bool) -> bool {
        true
    }
}
