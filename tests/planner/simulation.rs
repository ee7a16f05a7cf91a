//! Simulates a platform, the log and planners in virtual time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthwick::control::FleetState;
use amaranthwick::document::{Document, example, sign_edit};
use amaranthwick::id::{
    DataCentre, Epoch, Generation, MemberId, Offset, OperatorId, PoolId, Rack, RecordId, Revision,
    SectionId, VmId,
};
use amaranthwick::ledger::{
    Claim, Edit, Proposal, Record, Role, State, StopReason, TrustedKeys, Verdict, encode_edit,
    encode_record,
};
use amaranthwick::planner::{StopAction, StopEnd, VmObservation, VmPlanner};
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{Vm, VmPhase, VmReport};
use indexmap::{IndexMap, IndexSet};

/// Time between two rounds of a planner.
pub(crate) const ROUND_TIME: Duration = Duration::from_secs(1);

/// Time from a reboot until the VM is live again.
pub(crate) const REBOOT_TIME: Duration = Duration::from_mins(1);

const VMS_PER_RACK: usize = 4;

/// How the VM list of the platform relates to the actual VMs.
#[derive(Clone, Debug)]
pub(crate) enum ListBehaviour {
    /// It shows all VMs as they are.
    Accurate,
    /// It is empty.
    Empty,
    /// It shows these VMs, as they were at an earlier time.
    Stale(Vec<Vm>),
    /// It shows every VM twice.
    Doubled,
    /// It shows only this many VMs, the first ones.
    Truncated(usize),
}

/// A VM of the platform.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedVm {
    /// Its entry in an accurate list.
    pub(crate) listed: Vm,
    /// Generation that its last reboot gave it; 0 before the first.
    pub(crate) rebooted: Generation,
    /// Requests that run on it; a reboot ends them.
    pub(crate) running: u64,
    /// When its reboot ends; `None` if no reboot is under way or it never ends.
    pub(crate) up_at: Option<Instant>,
    /// False if it never comes back from a reboot.
    pub(crate) returns: bool,
    /// False if it does not answer checks.
    pub(crate) serves: bool,
    pub(crate) reboots: u32,
    /// Reboots while requests ran on it.
    pub(crate) interrupting_reboots: u32,
}

/// Checks that keep late calls of a former planner from taking effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fences {
    /// Just before the call, the planner checks the newest folded state for the role and stop.
    pub(crate) check_fold: bool,
    /// The platform refuses a call for another generation than the VM has.
    pub(crate) check_generation: bool,
}

/// A planner process.
#[derive(Debug)]
pub(crate) struct SimulatedPlanner {
    pub(crate) vm_planner: VmPlanner,
    pub(crate) epoch: Epoch,
}

/// An action that a planner has decided on but not yet performed.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    pub(crate) vm: VmId,
    pub(crate) action: StopAction,
    epoch: Epoch,
}

/// A simulated fleet and its log.
pub(crate) struct Simulation {
    pub(crate) state: State,
    last_record_id: u128,
    pub(crate) vms: IndexMap<VmId, SimulatedVm>,
    pub(crate) now: Instant,
    start: Instant,
    /// Wall-clock time at `start`, in s since 1970.
    pub(crate) start_unix_s: u64,
    /// False while proposals get no verdict.
    pub(crate) log_up: bool,
    pub(crate) list: ListBehaviour,
    /// Data centres whose VMs answer no checks of a planner, though they run.
    pub(crate) unreachable: IndexSet<DataCentre>,
    pub(crate) fences: Fences,
    /// How many of the next calls to the platform are lost before they arrive.
    pub(crate) calls_to_drop: usize,
    pub(crate) accepted_moves: usize,
    /// Time between two rounds of a planner; [`ROUND_TIME`] unless changed.
    pub(crate) round_time: Duration,
    /// When each open stop was first seen in the folded state.
    stop_seen_at: IndexMap<VmId, Instant>,
    /// Shortest time so far from the start to the end of a stop with a reboot.
    pub(crate) shortest_stop: Duration,
    /// Most VMs of one data centre that planned stops had out of service at a time.
    pub(crate) most_out: usize,
}

fn trust() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new([7; 32]),
        root: example::operator_key("root").public(),
    }
}

impl Simulation {
    /// A fleet with just as many VMs as its document places, none of them in a pool yet.
    pub(crate) fn new(edits: Vec<Edit>) -> Self {
        Self::with_extra_vms(edits, 0)
    }

    /// The same with `extra` more VMs of each class in each data centre that uses the class.
    pub(crate) fn with_extra_vms(edits: Vec<Edit>, extra: u32) -> Self {
        let mut state = State::empty(trust());
        for (id, edit) in (1_000_000_u128..).zip(edits) {
            let record = Record {
                id: RecordId(id),
                proposed_at: Offset(0),
                proposal: Proposal::Edit(edit),
            };
            let folded = state.apply(state.offset(), &encode_edit(&record));
            assert!(
                matches!(folded, Some((_, Verdict::Accepted(_)))),
                "{folded:?}"
            );
        }
        let document = state.document().cloned().expect("a document");
        let now = Instant::now();
        Self {
            state,
            last_record_id: 0,
            vms: simulated_vms(&document, extra),
            now,
            start: now,
            start_unix_s: 1_000_000,
            log_up: true,
            list: ListBehaviour::Accurate,
            unreachable: IndexSet::new(),
            fences: Fences {
                check_fold: true,
                check_generation: true,
            },
            calls_to_drop: 0,
            accepted_moves: 0,
            round_time: ROUND_TIME,
            stop_seen_at: IndexMap::new(),
            shortest_stop: Duration::MAX,
            most_out: 0,
        }
    }

    /// Starts a planner, which takes the planner role over.
    pub(crate) fn start_planner(&mut self) -> SimulatedPlanner {
        let holding = self.state.facts().planner.clone();
        let epoch = holding
            .as_ref()
            .map_or(Epoch(1), |holding| holding.epoch.next());
        let claim = Proposal::Claim(Claim {
            role: Role::Planner,
            holder: MemberId::new(&format!("p{epoch}")),
            epoch,
            last_renewal: holding.map(|holding| holding.renewed_at),
        });
        assert!(matches!(self.propose(claim), Some(Verdict::Accepted(_))));
        let vm_planner = VmPlanner::default();
        SimulatedPlanner { vm_planner, epoch }
    }

    pub(crate) fn propose(&mut self, proposal: Proposal) -> Option<Verdict> {
        if !self.log_up {
            return None;
        }
        self.last_record_id += 1;
        let is_move = matches!(proposal, Proposal::Assign { .. });
        let record = Record {
            id: RecordId(self.last_record_id),
            proposed_at: self.state.offset(),
            proposal,
        };
        let bytes = encode_record(&record, &trust().secret);
        let (_, verdict) = self.state.apply(self.state.offset(), &bytes)?;
        self.accepted_moves += usize::from(is_move && matches!(verdict, Verdict::Accepted(_)));
        Some(verdict)
    }

    /// Publishes a signed edit of a section; it must be accepted.
    pub(crate) fn edit(&mut self, edit: Edit) {
        self.last_record_id += 1;
        let record = Record {
            id: RecordId(self.last_record_id),
            proposed_at: Offset(0),
            proposal: Proposal::Edit(edit),
        };
        let folded = self.state.apply(self.state.offset(), &encode_edit(&record));
        assert!(
            matches!(folded, Some((_, Verdict::Accepted(_)))),
            "{folded:?}"
        );
    }

    pub(crate) fn list(&self) -> Vec<Vm> {
        let vms: Vec<Vm> = self.vms.values().map(|vm| vm.listed.clone()).collect();
        match &self.list {
            ListBehaviour::Accurate => vms,
            ListBehaviour::Empty => Vec::new(),
            ListBehaviour::Stale(vms) => vms.clone(),
            ListBehaviour::Doubled => [vms.clone(), vms].concat(),
            ListBehaviour::Truncated(count) => vms[..*count].to_vec(),
        }
    }

    pub(crate) fn fleet(&self) -> FleetState {
        let facts = self.state.facts();
        FleetState {
            offset: facts.offset,
            verified: Some(self.now),
            document: self.state.document().map(Arc::clone),
            vms: self.list(),
            assignment: facts.assignment.clone(),
            stops: facts.stops.clone(),
            locations: facts.locations.clone(),
            cycle_starts_s: facts.cycle_starts_s.clone(),
            down: facts.down.clone(),
            failed_stops: facts.failed_stops.clone(),
            allotments: IndexMap::new(),
            planner: facts.planner.clone(),
            jobs: facts.jobs.values().cloned().collect(),
        }
    }

    pub(crate) fn unix_s(&self) -> u64 {
        self.start_unix_s + (self.now - self.start).as_secs()
    }

    /// Runs one round of a planner and passes the time until the next one.
    pub(crate) fn run_round(&mut self, planner: &mut SimulatedPlanner) {
        for call in self.decide(planner) {
            self.perform(&call);
        }
        self.advance();
    }

    /// Runs rounds until `done`, for at most `limit` of virtual time; returns the time taken.
    pub(crate) fn run_until(
        &mut self,
        planner: &mut SimulatedPlanner,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "not done in {limit:?}");
            self.run_round(planner);
        }
        self.now - start
    }

    /// Runs rounds for `time` of virtual time.
    pub(crate) fn run_for(&mut self, planner: &mut SimulatedPlanner, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run_round(planner);
        }
    }

    /// Runs a round up to its decisions on stops, and returns those without performing them.
    pub(crate) fn decide(&mut self, planner: &mut SimulatedPlanner) -> Vec<PlannedCall> {
        let fleet = self.fleet();
        for check in planner.vm_planner.due_checks(&fleet, self.now, usize::MAX) {
            let serves = self.answers(&check.vm);
            planner.vm_planner.record_check(&check.vm, serves, self.now);
        }
        let mut proposals =
            planner
                .vm_planner
                .health_proposals(&fleet, planner.epoch, self.now, self.unix_s());
        proposals.extend(
            planner
                .vm_planner
                .move_proposals(&fleet, planner.epoch, self.now),
        );
        for proposal in proposals {
            self.propose(proposal);
        }
        if self.log_up {
            self.propose_stops(planner, &fleet);
        }
        self.decide_stops(planner, &fleet)
    }

    fn propose_stops(&mut self, planner: &SimulatedPlanner, fleet: &FleetState) {
        for vm in planner
            .vm_planner
            .vms_to_stop(fleet, self.now, self.unix_s())
        {
            let report = self.report(&vm);
            if report.phase == VmPhase::Live {
                self.propose(Proposal::Stop {
                    vm,
                    reason: StopReason::Maintenance,
                    epoch: planner.epoch,
                    generation: report.generation,
                });
            }
        }
    }

    fn decide_stops(
        &mut self,
        planner: &mut SimulatedPlanner,
        fleet: &FleetState,
    ) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for vm in fleet.stops.keys() {
            let observation = VmObservation {
                report: self.report(vm),
                serves: self.answers(vm),
                job: None,
                log_verified: self.log_up,
            };
            let action = planner
                .vm_planner
                .next_action(fleet, vm, &observation, self.now);
            calls.extend(action.map(|action| PlannedCall {
                vm: vm.clone(),
                action,
                epoch: planner.epoch,
            }));
        }
        calls
    }

    /// Performs an action, which may have been decided long before.
    pub(crate) fn perform(&mut self, call: &PlannedCall) {
        let holds_role = self
            .state
            .facts()
            .planner
            .as_ref()
            .map(|holding| holding.epoch)
            == Some(call.epoch);
        let is_open = self.state.facts().stops.contains_key(&call.vm);
        if self.fences.check_fold && !(holds_role && is_open) {
            return;
        }
        match call.action {
            StopAction::Wait(_) => {}
            StopAction::Drain(generation) => self.change_vm(&call.vm, generation, VmPhase::Leaving),
            StopAction::Restore(generation) => self.change_vm(&call.vm, generation, VmPhase::Live),
            StopAction::Reboot(generation) => self.change_vm(&call.vm, generation, VmPhase::Down),
            StopAction::Resolve(end) => {
                let rebooted_s = (end == StopEnd::Rebooted).then(|| self.unix_s());
                self.propose(Proposal::Stopped {
                    vm: call.vm.clone(),
                    healthy: end != StopEnd::Failed,
                    epoch: call.epoch,
                    rebooted_s,
                });
            }
        }
    }

    /// Applies a drain, restore or reboot to a VM, unless the call is to be lost.
    pub(crate) fn change_vm(&mut self, vm: &VmId, generation: Generation, phase: VmPhase) {
        if self.calls_to_drop > 0 {
            self.calls_to_drop -= 1;
            return;
        }
        let up_at = self.now + REBOOT_TIME;
        let simulated = &mut self.vms[vm];
        if self.fences.check_generation && simulated.listed.generation != generation {
            return;
        }
        simulated.listed.generation = simulated.listed.generation.next();
        simulated.listed.phase = phase;
        if phase == VmPhase::Down {
            simulated.rebooted = simulated.listed.generation;
            simulated.reboots += 1;
            simulated.interrupting_reboots += u32::from(simulated.running > 0);
            simulated.running = 0;
            simulated.up_at = simulated.returns.then_some(up_at);
        }
    }

    pub(crate) fn report(&self, vm: &VmId) -> VmReport {
        let simulated = &self.vms[vm];
        VmReport {
            phase: simulated.listed.phase,
            generation: simulated.listed.generation,
            rebooted: simulated.rebooted,
            running: simulated.running,
        }
    }

    fn answers(&self, vm: &VmId) -> bool {
        let simulated = &self.vms[vm];
        let reachable = !self.unreachable.contains(&simulated.listed.data_centre);
        reachable && simulated.serves && simulated.listed.phase != VmPhase::Down
    }

    /// Passes the time of one round: ends reboots and checks that budgets are kept.
    pub(crate) fn advance(&mut self) {
        self.now += self.round_time;
        self.record_stop_times();
        for simulated in self.vms.values_mut() {
            if simulated.up_at.is_some_and(|at| at <= self.now) {
                simulated.up_at = None;
                simulated.listed.phase = VmPhase::Live;
            }
        }
        self.check_budgets();
    }

    fn record_stop_times(&mut self) {
        let stops = &self.state.facts().stops;
        for vm in stops.keys() {
            self.stop_seen_at.entry(vm.clone()).or_insert(self.now);
        }
        let ended: Vec<(VmId, Instant)> = self
            .stop_seen_at
            .extract_if(.., |vm, _| !stops.contains_key(vm))
            .collect();
        let rebooted = ended.iter().filter(|(vm, at)| {
            let cycle = self.state.facts().cycle_starts_s[vm];
            cycle >= self.start_unix_s + (*at - self.start).as_secs()
        });
        let shortest = rebooted.map(|(_, at)| self.now - *at).min();
        self.shortest_stop = shortest.map_or(self.shortest_stop, |s| s.min(self.shortest_stop));
    }

    /// Asserts that planned stops take no more racks and VMs of any data centre out of service
    /// than its budgets allow.
    fn check_budgets(&mut self) {
        let facts = self.state.facts();
        let document = self.state.document().expect("a document");
        let mut out: IndexMap<&DataCentre, IndexSet<&Rack>> = IndexMap::new();
        let mut counts: IndexMap<&DataCentre, u32> = IndexMap::new();
        for vm in facts.stops.keys() {
            let vm = &self.vms[vm].listed;
            if vm.phase != VmPhase::Live {
                out.entry(&vm.data_centre).or_default().insert(&vm.rack);
                *counts.entry(&vm.data_centre).or_default() += 1;
            }
        }
        let budgets = &document.fleet.budgets;
        assert!(
            out.values()
                .all(|racks| racks.len() <= budgets.racks as usize)
        );
        assert!(counts.values().all(|count| *count <= budgets.vms));
        let most = counts.values().copied().max().unwrap_or(0) as usize;
        self.most_out = self.most_out.max(most);
    }

    /// Takes VMs down for which `test` is true, without a planned stop; they stay down.
    pub(crate) fn fail_vms(&mut self, test: impl Fn(&Vm) -> bool) {
        for simulated in self.vms.values_mut().filter(|vm| test(&vm.listed)) {
            simulated.listed.phase = VmPhase::Down;
            simulated.up_at = None;
            simulated.returns = false;
        }
    }

    /// Makes all VMs live that are down, and lets later reboots end.
    pub(crate) fn return_all(&mut self) {
        for simulated in self.vms.values_mut() {
            simulated.returns = true;
            if simulated.listed.phase == VmPhase::Down {
                simulated.listed.phase = VmPhase::Live;
            }
        }
    }

    /// True once as many VMs are in pools as the document asks for.
    pub(crate) fn is_filled(&self) -> bool {
        let document = self.state.document().expect("a document");
        let teams = document.teams.values().flat_map(|team| &team.pools);
        let wanted: u32 = teams.flat_map(|(_, spec)| spec.vms.values()).sum();
        self.state.facts().assignment.len() == wanted as usize
    }

    pub(crate) fn vms_in_pool(&self, pool: &str) -> Vec<&VmId> {
        let pool = PoolId::new(pool);
        let all = self.state.facts().assignment.iter();
        all.filter(|(_, p)| **p == pool).map(|(vm, _)| vm).collect()
    }

    /// Advances the wall clock by one maintenance cycle, so that every VM is due.
    pub(crate) fn skip_cycle(&mut self) {
        let document = self.state.document().expect("a document");
        self.start_unix_s += u64::from(document.fleet.budgets.cycle_days) * 24 * 60 * 60;
    }

    pub(crate) fn all_rebooted(&self) -> bool {
        self.vms.values().all(|vm| vm.reboots > 0) && self.has_no_stops()
    }

    pub(crate) fn has_no_stops(&self) -> bool {
        self.state.facts().stops.is_empty()
    }
}

/// Just as many VMs as the document places and `extra` more, class by class, in racks of
/// four.
fn simulated_vms(document: &Document, extra: u32) -> IndexMap<VmId, SimulatedVm> {
    let mut vms = IndexMap::new();
    for data_centre in document.fleet.data_centres.keys() {
        let mut placed = 0;
        for class in document.fleet.classes.keys() {
            let pools = document.teams.values().flat_map(|team| team.pools.values());
            let count: u32 = pools
                .filter(|spec| spec.class == *class)
                .filter_map(|spec| spec.vms.get(data_centre))
                .sum();
            let extra = if count > 0 { extra } else { 0 };
            for i in 0..count + extra {
                let vm = Vm {
                    id: VmId::new(&format!("{data_centre}-{class}-{i}")),
                    class: class.clone(),
                    data_centre: data_centre.clone(),
                    rack: Rack::new(&format!("{data_centre}-r{}", placed / VMS_PER_RACK)),
                    address: None,
                    phase: VmPhase::Live,
                    generation: Generation(0),
                };
                vms.insert(vm.id.clone(), simulated_vm(vm));
                placed += 1;
            }
        }
    }
    vms
}

fn simulated_vm(vm: Vm) -> SimulatedVm {
    SimulatedVm {
        listed: vm,
        rebooted: Generation(0),
        running: 0,
        up_at: None,
        returns: true,
        serves: true,
        reboots: 0,
        interrupting_reboots: 0,
    }
}

/// A signed edit that creates a section.
pub(crate) fn first_edit(section: &str, text: &str, operator: &str) -> Edit {
    edit(section, 0, text, operator)
}

/// A signed edit of the section's revision `base`.
pub(crate) fn edit(section: &str, base: u64, text: &str, operator: &str) -> Edit {
    let id = SectionId::new(section);
    Edit {
        signature: sign_edit(&example::operator_key(operator), &id, Revision(base), text),
        section: id,
        base_revision: Revision(base),
        text: text.to_owned(),
        operator: OperatorId::new(operator),
    }
}
