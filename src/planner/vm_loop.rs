//! Runs the loop that looks after VMs: makes the health checks and platform calls that
//! [`VmPlanner`] decides on, and proposes its changes to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_lock::Mutex;
use async_net::TcpStream;
use futures_lite::future;
use indexmap::{IndexMap, IndexSet};

use super::clock::unix_now_s;
use super::decisions::VmPlanner;
use super::health::HealthCheck;
use super::main_loop::{PlatformClients, RoleState};
use super::proposer::Proposer;
use super::stop::{StopAction, StopEnd, VmObservation};
use super::timeout::with_timeout;
use super::{buffer, job_placement};
use crate::control::FleetState;
use crate::id::{Epoch, Offset, PoolId, VmId};
use crate::ledger::{PlannedStop, Proposal, StopReason, Verdict};
use crate::services::{PlatformError, Pools, VmPhase, Workers};

/// Pause between two rounds of the loop, in ms.
const ROUND_MS: u64 = 500;

/// Time between two reports of open stops and of a spare that is too small, in ms.
const REPORT_INTERVAL_MS: u64 = 60_000;

/// Time in which a target must accept a connection to pass a check, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Most health checks begun in one round.
const MAX_CHECKS: usize = 64;

/// Most proposals of one kind (health, moves) in one round; the rest follows in the next.
const MAX_PROPOSALS: usize = 256;

/// Age of the last verified head of the log from which no new stop is begun.
const MAX_LOG_AGE: Duration = Duration::from_secs(15);

/// The loop's clients and what it remembers between rounds.
pub(super) struct VmLoop<W, P> {
    proposer: Proposer,
    clients: Arc<PlatformClients<W, P>>,
    vm_planner: Mutex<VmPlanner>,
    /// VMs whose stop is being advanced by a task now.
    in_progress: Mutex<IndexSet<VmId>>,
    /// When open stops and a spare that is too small were last reported.
    last_report: Mutex<Option<Instant>>,
}

impl<W: Workers, P: Pools> VmLoop<W, P> {
    pub(super) fn new(proposer: Proposer, clients: Arc<PlatformClients<W, P>>) -> Arc<Self> {
        Arc::new(Self {
            proposer,
            clients,
            vm_planner: Mutex::default(),
            in_progress: Mutex::default(),
            last_report: Mutex::default(),
        })
    }

    /// Runs rounds for as long as the control thread does.
    pub(super) async fn run(self: Arc<Self>, shared_role: Arc<Mutex<RoleState>>) {
        while let Some(fleet) = self.proposer.control.fleet().await {
            let role = *shared_role.lock().await;
            match role {
                RoleState::NotHeld => {}
                RoleState::Lapsed(epoch) => self.advance_stops(&fleet, epoch, false).await,
                RoleState::Held(epoch) => self.run_round(&fleet, epoch).await,
            }
            Timer::after(Duration::from_millis(ROUND_MS)).await;
        }
    }

    async fn run_round(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        self.check_health(fleet, epoch).await;
        self.move_vms(fleet, epoch).await;
        let too_old = |at: Instant| at.elapsed() >= MAX_LOG_AGE;
        let log_verified = !fleet.verified.is_none_or(too_old);
        if log_verified {
            self.propose_stops(fleet, epoch).await;
        }
        self.advance_stops(fleet, epoch, log_verified).await;
        self.log_status(fleet).await;
    }

    /// Starts the checks that are due, and proposes what earlier checks and the list have shown.
    async fn check_health(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch) {
        let now = Instant::now();
        let mut vm_planner = self.vm_planner.lock().await;
        let mut checks = vm_planner.due_checks(fleet, now, MAX_CHECKS);
        let mut proposals = vm_planner.health_proposals(fleet, epoch, now, unix_now_s());
        drop(vm_planner);
        let workers: Vec<HealthCheck> = checks.extract_if(.., |c| c.address.is_none()).collect();
        for check in checks {
            let vm_loop = Arc::clone(self);
            let task = async move { vm_loop.check_target(check).await };
            self.proposer.runtime.spawn(task).detach();
        }
        if !workers.is_empty() {
            let vm_loop = Arc::clone(self);
            let task = async move { vm_loop.check_workers(workers).await };
            self.proposer.runtime.spawn(task).detach();
        }
        proposals.truncate(MAX_PROPOSALS);
        self.proposer.propose_all(proposals).await;
    }

    async fn check_target(&self, check: HealthCheck) {
        let Some(address) = check.address else {
            return;
        };
        let serves = accepts_connection(address).await;
        let mut vm_planner = self.vm_planner.lock().await;
        vm_planner.record_check(&check.vm, serves, Instant::now());
    }

    /// Checks workers with one call to the workers' service; if it fails, it says nothing about
    /// any worker and no result is recorded.
    async fn check_workers(&self, checks: Vec<HealthCheck>) {
        let Ok(reports) = with_timeout(self.clients.workers.workers()).await else {
            return;
        };
        let is_on: IndexMap<VmId, bool> = reports.into_iter().map(|r| (r.vm, !r.off)).collect();
        let mut vm_planner = self.vm_planner.lock().await;
        for check in checks {
            let serves = is_on.get(&check.vm).copied().unwrap_or(false);
            vm_planner.record_check(&check.vm, serves, Instant::now());
        }
    }

    /// Proposes moves of VMs, and logs those that are accepted.
    async fn move_vms(&self, fleet: &FleetState, epoch: Epoch) {
        let mut vm_planner = self.vm_planner.lock().await;
        let mut moves = vm_planner.move_proposals(fleet, epoch, Instant::now());
        drop(vm_planner);
        moves.truncate(MAX_PROPOSALS);
        let verdicts = self.proposer.propose_all(moves.clone()).await;
        for (proposal, verdict) in moves.iter().zip(verdicts) {
            if let Some(Verdict::Accepted(offset)) = verdict {
                log_move(proposal, offset);
            }
        }
    }

    /// Proposes the stops that are due and that the budgets allow.
    async fn propose_stops(&self, fleet: &FleetState, epoch: Epoch) {
        let vm_planner = self.vm_planner.lock().await;
        let to_stop = vm_planner.vms_to_stop(fleet, Instant::now(), unix_now_s());
        drop(vm_planner);
        let mut proposals = Vec::new();
        for vm in to_stop {
            let Ok(report) = with_timeout(self.clients.pools.inspect(&vm)).await else {
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

    /// Advances every accepted stop, whichever process began it, each in a task of its own.
    async fn advance_stops(self: &Arc<Self>, fleet: &FleetState, epoch: Epoch, log_verified: bool) {
        let fleet = Arc::new(fleet.clone());
        for vm in fleet.stops.keys() {
            if !self.in_progress.lock().await.insert(vm.clone()) {
                continue;
            }
            let (vm_loop, fleet, vm) = (Arc::clone(self), Arc::clone(&fleet), vm.clone());
            let task = async move {
                vm_loop.advance_stop(&fleet, &vm, epoch, log_verified).await;
                vm_loop.in_progress.lock().await.swap_remove(&vm);
            };
            self.proposer.runtime.spawn(task).detach();
        }
    }

    /// Asks the platform for the VM's state and performs the next action of its stop.
    async fn advance_stop(&self, fleet: &FleetState, vm: &VmId, epoch: Epoch, log_verified: bool) {
        let Some(stop) = fleet.stops.get(vm) else {
            return;
        };
        let report = match with_timeout(self.clients.pools.inspect(vm)).await {
            Ok(report) => report,
            Err(PlatformError::Missing) => return self.end_stop(vm, StopEnd::Failed, epoch).await,
            Err(_) => return,
        };
        let rebooted = report.rebooted > stop.generation && report.phase == VmPhase::Live;
        let observation = VmObservation {
            serves: rebooted && self.serves(fleet, vm).await,
            job: job_placement::job_placed_on(fleet, vm).cloned(),
            report,
            log_verified,
        };
        let mut vm_planner = self.vm_planner.lock().await;
        let action = vm_planner.next_action(fleet, vm, &observation, Instant::now());
        drop(vm_planner);
        if let Some(action) = action {
            self.perform_action(vm, stop, action, epoch).await;
        }
    }

    /// Performs the action, unless in the newest state folded from the log the stop has ended
    /// or changed, or the role is no longer held with `epoch`.
    async fn perform_action(
        &self,
        vm: &VmId,
        stop: &PlannedStop,
        action: StopAction,
        epoch: Epoch,
    ) {
        let Some(fleet) = self.proposer.control.fleet().await else {
            return;
        };
        let holds_role = fleet.planner.as_ref().map(|holding| holding.epoch) == Some(epoch);
        if !holds_role || fleet.stops.get(vm) != Some(stop) {
            return;
        }
        let pools = &self.clients.pools;
        let (call, result) = match action {
            StopAction::Wait(_) => return,
            StopAction::Resolve(end) => return self.end_stop(vm, end, epoch).await,
            StopAction::Drain(generation) => {
                ("drain", with_timeout(pools.drain(vm, generation)).await)
            }
            StopAction::Restore(generation) => {
                ("restore", with_timeout(pools.restore(vm, generation)).await)
            }
            StopAction::Reboot(generation) => {
                ("reboot", with_timeout(pools.reboot(vm, generation)).await)
            }
        };
        // A later round reads from the platform whether the call took effect.
        let result = result.map_or_else(|error| error.to_string(), |_| "done".to_owned());
        spdlog::info!("stop_step", kv: { vm = vm.as_str(), call, result });
    }

    /// Proposes that the stop has ended.
    async fn end_stop(&self, vm: &VmId, end: StopEnd, epoch: Epoch) {
        spdlog::info!("stop_ended", kv: { vm = vm.as_str(), end = format!("{end:?}") });
        self.proposer
            .propose(Proposal::Stopped {
                vm: vm.clone(),
                healthy: end != StopEnd::Failed,
                epoch,
                rebooted_s: (end == StopEnd::Rebooted).then(unix_now_s),
            })
            .await;
    }

    /// True if the VM answers a check: its target accepts a connection or, for a worker, the
    /// workers' service lists it as on.
    async fn serves(&self, fleet: &FleetState, vm: &VmId) -> bool {
        let listed = fleet.vms.iter().find(|listed| listed.id == *vm);
        if let Some(address) = listed.and_then(|listed| listed.address) {
            return accepts_connection(address).await;
        }
        let reports = with_timeout(self.clients.workers.workers()).await;
        reports.is_ok_and(|all| all.iter().any(|worker| worker.vm == *vm && !worker.off))
    }

    /// Logs open stops and a spare that is too small, at most once a minute.
    async fn log_status(&self, fleet: &FleetState) {
        let mut last_report = self.last_report.lock().await;
        let interval = Duration::from_millis(REPORT_INTERVAL_MS);
        if last_report.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        *last_report = Some(Instant::now());
        drop(last_report);
        for need in buffer::buffer_needs(fleet)
            .iter()
            .filter(|n| n.missing() > 0)
        {
            let (data_centre, class) = (need.data_centre.as_str(), need.class.as_str());
            spdlog::warn!("spare_too_small", kv: {
                data_centre, class, needed = need.needed(), spare = need.spare
            });
        }
        let vm_planner = self.vm_planner.lock().await;
        for stop in vm_planner.stop_statuses(Instant::now()) {
            let cause = stop
                .waiting_for
                .map_or_else(String::new, |reason| reason.to_string());
            let age_s = stop.watched_for.as_secs();
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

/// True if the address accepts a connection in time; nothing is sent on it.
async fn accepts_connection(address: SocketAddr) -> bool {
    let connect = async { TcpStream::connect(address).await.is_ok() };
    let timeout = async {
        Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS)).await;
        false
    };
    future::or(connect, timeout).await
}
