//! I/O around the decisions on VMs: checks, placement, repair and planned stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_lock::Mutex;
use async_net::TcpStream;
use futures_lite::future;
use indexmap::{IndexMap, IndexSet};

use super::call::within;
use super::clock::unix_s;
use super::decisions::Decisions;
use super::health::Check;
use super::proposer::Proposer;
use super::shell::{Duty, Platform};
use super::stop::{Action, End, Sight};
use super::{buffer, jobs};
use crate::control::FleetState;
use crate::id::{Epoch, Offset, PoolId, VmId};
use crate::ledger::{PlannedStop, Proposal, StopReason, Verdict};
use crate::services::{PlatformError, Pools, VmPhase, Workers};

/// Time between two rounds, in ms.
const ROUND_MS: u64 = 500;

/// Time between two reports that the spare is too small, in ms.
const REPORT_MS: u64 = 60_000;

/// Longest wait for a connection to a target, in ms.
const CONNECT_MS: u64 = 1_000;

/// Checks begun in one round.
const MAX_CHECKS: usize = 64;

/// Proposals of one round; the rest follows with the next.
const MAX_STEPS: usize = 256;

/// Age of the last verified head of the log above which nothing new is begun.
const LOG_AWAY: Duration = Duration::from_secs(15);

/// VMs as this process looks after them.
pub(super) struct Upkeep<W, P> {
    proposer: Proposer,
    platform: Arc<Platform<W, P>>,
    decisions: Mutex<Decisions>,
    /// VMs that a call is being made for.
    busy: Mutex<IndexSet<VmId>>,
    reported: Mutex<Option<Instant>>,
}

impl<W: Workers, P: Pools> Upkeep<W, P> {
    pub(super) fn new(proposer: Proposer, platform: Arc<Platform<W, P>>) -> Arc<Self> {
        Arc::new(Self {
            proposer,
            platform,
            decisions: Mutex::default(),
            busy: Mutex::default(),
            reported: Mutex::default(),
        })
    }

    /// Runs for as long as the control thread does.
    pub(super) async fn run(self: Arc<Self>, duty: Arc<Mutex<Duty>>) {
        while let Some(fleet) = self.proposer.control.fleet().await {
            let held = *duty.lock().await;
            match held {
                Duty::None => {}
                Duty::Finish(epoch) => self.carry_on(&fleet, epoch, false).await,
                Duty::Full(epoch) => self.act(&fleet, epoch).await,
            }
            Timer::after(Duration::from_millis(ROUND_MS)).await;
        }
    }

    async fn act(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        self.look(fleet, epoch).await;
        self.place(fleet, epoch).await;
        let away = |at: Instant| at.elapsed() >= LOG_AWAY;
        let verified = !fleet.verified.is_none_or(away);
        if verified {
            self.begin(fleet, epoch).await;
        }
        self.carry_on(fleet, epoch, verified).await;
        self.report(fleet).await;
    }

    /// Makes checks, and proposes what was found.
    async fn look(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut decisions = self.decisions.lock().await;
        let mut checks = decisions.checks(fleet, now, MAX_CHECKS);
        let mut proposals = decisions.observe(fleet, epoch, now, unix_s());
        drop(decisions);
        let workers: Vec<Check> = checks.extract_if(.., |c| c.address.is_none()).collect();
        for check in checks {
            let upkeep = Arc::clone(self);
            let work = async move { upkeep.check(check).await };
            self.proposer.runtime.spawn(work).detach();
        }
        if !workers.is_empty() {
            let upkeep = Arc::clone(self);
            let work = async move { upkeep.check_workers(workers).await };
            self.proposer.runtime.spawn(work).detach();
        }
        proposals.truncate(MAX_STEPS);
        self.proposer.propose_all(proposals).await;
    }

    async fn check(&self, check: Check) {
        let Some(address) = check.address else {
            return;
        };
        let serves = answers(address).await;
        let mut decisions = self.decisions.lock().await;
        decisions.checked(&check.vm, serves, Instant::now());
    }

    /// Without an answer of the workers' service nothing is known of any worker.
    async fn check_workers(&self, checks: Vec<Check>) {
        let Ok(reports) = within(self.platform.workers.workers()).await else {
            return;
        };
        let on: IndexMap<VmId, bool> = reports.into_iter().map(|r| (r.vm, !r.off)).collect();
        let mut decisions = self.decisions.lock().await;
        for check in checks {
            let serves = on.get(&check.vm).copied().unwrap_or(false);
            decisions.checked(&check.vm, serves, Instant::now());
        }
    }

    async fn place(&self, fleet: &FleetState, epoch: Epoch) {
        let mut decisions = self.decisions.lock().await;
        let mut moves = decisions.moves(fleet, epoch, Instant::now());
        drop(decisions);
        moves.truncate(MAX_STEPS);
        let verdicts = self.proposer.propose_all(moves.clone()).await;
        for (proposal, verdict) in moves.iter().zip(verdicts) {
            if let Some(Verdict::Accepted(offset)) = verdict {
                log_move(proposal, offset);
            }
        }
    }

    /// Proposes the stops that the budgets leave room for.
    async fn begin(&self, fleet: &FleetState, epoch: Epoch) {
        let decisions = self.decisions.lock().await;
        let starts = decisions.starts(fleet, Instant::now(), unix_s());
        drop(decisions);
        let mut proposals = Vec::new();
        for vm in starts {
            let Ok(report) = within(self.platform.pools.inspect(&vm)).await else {
                continue;
            };
            if report.phase == VmPhase::Live {
                spdlog::info!("stop_proposed", kv: { vm = vm.as_str(), reason = "maintenance" });
                proposals.push(Proposal::Stop {
                    vm,
                    reason: StopReason::Maintenance,
                    epoch,
                    generation: report.generation,
                });
            }
        }
        self.proposer.propose_all(proposals).await;
    }

    /// Takes every accepted stop a step further, whoever began it.
    async fn carry_on(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch, verified: bool) {
        let fleet = Arc::new(fleet.clone());
        for vm in fleet.stops.keys() {
            if !self.busy.lock().await.insert(vm.clone()) {
                continue;
            }
            let (upkeep, fleet, vm) = (Arc::clone(self), Arc::clone(&fleet), vm.clone());
            let work = async move {
                upkeep.step(&fleet, &vm, epoch, verified).await;
                upkeep.busy.lock().await.swap_remove(&vm);
            };
            self.proposer.runtime.spawn(work).detach();
        }
    }

    async fn step(&self, fleet: &FleetState, vm: &VmId, epoch: Epoch, verified: bool) {
        let Some(stop) = fleet.stops.get(vm) else {
            return;
        };
        let report = match within(self.platform.pools.inspect(vm)).await {
            Ok(report) => report,
            Err(PlatformError::Missing) => return self.resolve(vm, End::Failed, epoch).await,
            Err(_) => return,
        };
        let rebooted = report.rebooted > stop.generation && report.phase == VmPhase::Live;
        let sight = Sight {
            serves: rebooted && self.serves(fleet, vm).await,
            job: jobs::placed_on(fleet, vm).cloned(),
            report,
            verified,
        };
        let mut decisions = self.decisions.lock().await;
        let action = decisions.decide(fleet, vm, &sight, Instant::now());
        drop(decisions);
        if let Some(action) = action {
            self.perform(vm, stop, action, epoch).await;
        }
    }

    /// Acts only if the newest fold still has the stop and the role.
    async fn perform(&self, vm: &VmId, stop: &PlannedStop, action: Action, epoch: Epoch) {
        let Some(fleet) = self.proposer.control.fleet().await else {
            return;
        };
        let own = fleet.planner.as_ref().map(|held| held.epoch) == Some(epoch);
        if !own || fleet.stops.get(vm) != Some(stop) {
            return;
        }
        let pools = &self.platform.pools;
        let (call, result) = match action {
            Action::Wait(_) => return,
            Action::Resolve(end) => return self.resolve(vm, end, epoch).await,
            Action::Drain(generation) => ("drain", within(pools.drain(vm, generation)).await),
            Action::Restore(generation) => ("restore", within(pools.restore(vm, generation)).await),
            Action::Reboot(generation) => ("reboot", within(pools.reboot(vm, generation)).await),
        };
        // The next round reads what became of it.
        let result = result.map_or_else(|error| error.to_string(), |_| "done".to_owned());
        spdlog::info!("stop_step", kv: { vm = vm.as_str(), call, result });
    }

    async fn resolve(&self, vm: &VmId, end: End, epoch: Epoch) {
        spdlog::info!("stop_ended", kv: { vm = vm.as_str(), end = format!("{end:?}") });
        self.proposer
            .propose(Proposal::Stopped {
                vm: vm.clone(),
                healthy: end != End::Failed,
                epoch,
                rebooted_s: (end == End::Rebooted).then(unix_s),
            })
            .await;
    }

    async fn serves(&self, fleet: &FleetState, vm: &VmId) -> bool {
        let listed = fleet.vms.iter().find(|listed| listed.id == *vm);
        if let Some(address) = listed.and_then(|listed| listed.address) {
            return answers(address).await;
        }
        let reports = within(self.platform.workers.workers()).await;
        reports.is_ok_and(|all| all.iter().any(|worker| worker.vm == *vm && !worker.off))
    }

    async fn report(&self, fleet: &FleetState) {
        let mut reported = self.reported.lock().await;
        let gap = Duration::from_millis(REPORT_MS);
        if reported.is_some_and(|at| at.elapsed() < gap) {
            return;
        }
        *reported = Some(Instant::now());
        drop(reported);
        for need in buffer::needs(fleet).iter().filter(|n| n.missing() > 0) {
            let (data_centre, class) = (need.data_centre.as_str(), need.class.as_str());
            spdlog::warn!("spare_too_small", kv: {
                data_centre, class, needed = need.needed(), spare = need.spare
            });
        }
        let decisions = self.decisions.lock().await;
        for stop in decisions.stops(Instant::now()) {
            let cause = stop
                .cause
                .map_or_else(String::new, |cause| cause.to_string());
            let age_s = stop.age.as_secs();
            spdlog::info!("stop_open", kv: { vm = stop.vm.as_str(), cause, age_s });
        }
    }
}

fn log_move(proposal: &Proposal, offset: Offset) {
    if let Proposal::Assign { vm, from, to, .. } = proposal {
        let name = |pool: &Option<PoolId>| pool.as_ref().map_or("", PoolId::as_str).to_owned();
        let (vm, from, to) = (vm.as_str(), name(from), name(to));
        spdlog::info!("vm_moved", kv: { vm, from, to, offset = offset.0 });
    }
}

/// True if a connection is accepted in time; nothing is sent on it.
async fn answers(address: SocketAddr) -> bool {
    let connect = async { TcpStream::connect(address).await.is_ok() };
    let timeout = async {
        Timer::after(Duration::from_millis(CONNECT_MS)).await;
        false
    };
    future::or(connect, timeout).await
}
