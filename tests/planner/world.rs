//! A platform, a log and planners in virtual time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthwick::control::FleetState;
use amaranthwick::document::{Document, example, sign};
use amaranthwick::id::{
    DataCentre, Epoch, Generation, MemberId, Offset, OperatorId, PoolId, Rack, RecordId, Revision,
    SectionId, VmId,
};
use amaranthwick::ledger::{
    Claim, Edit, Proposal, Record, Role, State, StopReason, TrustedKeys, Verdict, encode_edit,
    encode_record,
};
use amaranthwick::planner::{Action, Decisions, End, Sight};
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{Vm, VmPhase, VmReport};
use indexmap::{IndexMap, IndexSet};

/// Time between two rounds of a planner.
pub(crate) const ROUND: Duration = Duration::from_secs(1);

/// Time that a reboot takes.
pub(crate) const REBOOT: Duration = Duration::from_mins(1);

/// VMs in a rack.
const PER_RACK: usize = 4;

/// What the VM list shows.
#[derive(Clone, Debug)]
pub(crate) enum List {
    /// The truth.
    True,
    /// Nothing.
    Empty,
    /// What was true at a moment.
    Stale(Vec<Vm>),
    /// Every VM twice.
    Doubled,
    /// Only the first VMs.
    Short(usize),
}

/// A VM of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) vm: Vm,
    pub(crate) rebooted: Generation,
    /// Requests that run on it.
    pub(crate) running: u64,
    /// When its reboot ends.
    pub(crate) up_at: Option<Instant>,
    /// False if it never comes back from a reboot.
    pub(crate) returns: bool,
    /// False if it does not answer checks.
    pub(crate) serves: bool,
    pub(crate) reboots: u32,
    /// Reboots that cut work.
    pub(crate) cuts: u32,
}

/// Which of the fences before a call are in place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fences {
    /// The newest fold is looked at just before.
    pub(crate) fold: bool,
    /// The call is conditional on the generation.
    pub(crate) condition: bool,
}

/// A planner process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) decisions: Decisions,
    pub(crate) epoch: Epoch,
}

/// A call that a planner has decided on.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) vm: VmId,
    pub(crate) action: Action,
    epoch: Epoch,
}

pub(crate) struct World {
    pub(crate) state: State,
    id: u128,
    pub(crate) machines: IndexMap<VmId, Machine>,
    pub(crate) now: Instant,
    start: Instant,
    /// In s since 1970 at the start.
    pub(crate) clock_s: u64,
    pub(crate) log_up: bool,
    pub(crate) list: List,
    /// Data centres that the planner can't reach.
    pub(crate) cut: IndexSet<DataCentre>,
    pub(crate) fences: Fences,
    /// Calls to the platform that are dropped on the way.
    pub(crate) dropped: usize,
    pub(crate) moves: usize,
    /// Time between two rounds of a planner.
    pub(crate) step: Duration,
    /// When each open stop was accepted.
    begun: IndexMap<VmId, Instant>,
    /// The shortest stop with a reboot so far.
    pub(crate) shortest_stop: Duration,
    /// Most VMs of any data centre out at a time.
    pub(crate) most_out: usize,
}

fn trust() -> TrustedKeys {
    TrustedKeys {
        secret: FleetSecret::new([7; 32]),
        root: example::operator("root").public(),
    }
}

impl World {
    /// A fleet that has just enough VMs for its document, none of them placed.
    pub(crate) fn open(edits: Vec<Edit>) -> Self {
        Self::open_with(edits, 0)
    }

    /// A fleet with so many VMs more of each class in each data centre.
    pub(crate) fn open_with(edits: Vec<Edit>, extra: u32) -> Self {
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
            id: 0,
            machines: machines(&document, extra),
            now,
            start: now,
            clock_s: 1_000_000,
            log_up: true,
            list: List::True,
            cut: IndexSet::new(),
            fences: Fences {
                fold: true,
                condition: true,
            },
            dropped: 0,
            moves: 0,
            step: ROUND,
            begun: IndexMap::new(),
            shortest_stop: Duration::MAX,
            most_out: 0,
        }
    }

    /// A planner that takes the role over.
    pub(crate) fn node(&mut self) -> Node {
        let held = self.state.facts().planner.clone();
        let epoch = held.as_ref().map_or(Epoch(1), |held| held.epoch.next());
        let claim = Proposal::Claim(Claim {
            role: Role::Planner,
            holder: MemberId::new(&format!("p{epoch}")),
            epoch,
            last_renewal: held.map(|held| held.renewed_at),
        });
        assert!(matches!(self.propose(claim), Some(Verdict::Accepted(_))));
        let decisions = Decisions::default();
        Node { decisions, epoch }
    }

    pub(crate) fn propose(&mut self, proposal: Proposal) -> Option<Verdict> {
        if !self.log_up {
            return None;
        }
        self.id += 1;
        let moved = matches!(proposal, Proposal::Assign { .. });
        let record = Record {
            id: RecordId(self.id),
            proposed_at: self.state.offset(),
            proposal,
        };
        let bytes = encode_record(&record, &trust().secret);
        let (_, verdict) = self.state.apply(self.state.offset(), &bytes)?;
        self.moves += usize::from(moved && matches!(verdict, Verdict::Accepted(_)));
        Some(verdict)
    }

    /// Publishes a section anew under the key of `operator`.
    pub(crate) fn edit(&mut self, edit: Edit) {
        self.id += 1;
        let record = Record {
            id: RecordId(self.id),
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
        let vms: Vec<Vm> = self.machines.values().map(|m| m.vm.clone()).collect();
        match &self.list {
            List::True => vms,
            List::Empty => Vec::new(),
            List::Stale(vms) => vms.clone(),
            List::Doubled => [vms.clone(), vms].concat(),
            List::Short(count) => vms[..*count].to_vec(),
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
            sites: facts.locations.clone(),
            cycles: facts.cycle_starts_s.clone(),
            down: facts.down.clone(),
            failed: facts.failed_stops.clone(),
            allotments: IndexMap::new(),
            planner: facts.planner.clone(),
            jobs: facts.jobs.values().cloned().collect(),
        }
    }

    pub(crate) fn seconds(&self) -> u64 {
        self.clock_s + (self.now - self.start).as_secs()
    }

    /// One round of a planner, and the time until the next one.
    pub(crate) fn round(&mut self, node: &mut Node) {
        for call in self.decide(node) {
            self.perform(&call);
        }
        self.advance();
    }

    /// Rounds until `done`, at most for `limit` of virtual time; returns the time taken.
    pub(crate) fn run(
        &mut self,
        node: &mut Node,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "not done in {limit:?}");
            self.round(node);
        }
        self.now - start
    }

    /// Rounds for a time.
    pub(crate) fn pass(&mut self, node: &mut Node, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.round(node);
        }
    }

    /// Everything of a round but its calls.
    pub(crate) fn decide(&mut self, node: &mut Node) -> Vec<Call> {
        let fleet = self.fleet();
        for check in node.decisions.checks(&fleet, self.now, usize::MAX) {
            let serves = self.answers(&check.vm);
            node.decisions.checked(&check.vm, serves, self.now);
        }
        let mut proposals = node
            .decisions
            .observe(&fleet, node.epoch, self.now, self.seconds());
        proposals.extend(node.decisions.moves(&fleet, node.epoch, self.now));
        for proposal in proposals {
            self.propose(proposal);
        }
        if self.log_up {
            self.begin(node, &fleet);
        }
        self.actions(node, &fleet)
    }

    fn begin(&mut self, node: &Node, fleet: &FleetState) {
        for vm in node.decisions.starts(fleet, self.now, self.seconds()) {
            let report = self.report(&vm);
            if report.phase == VmPhase::Live {
                self.propose(Proposal::Stop {
                    vm,
                    reason: StopReason::Maintenance,
                    epoch: node.epoch,
                    generation: report.generation,
                });
            }
        }
    }

    fn actions(&mut self, node: &mut Node, fleet: &FleetState) -> Vec<Call> {
        let mut calls = Vec::new();
        for vm in fleet.stops.keys() {
            let sight = Sight {
                report: self.report(vm),
                serves: self.answers(vm),
                job: None,
                verified: self.log_up,
            };
            let action = node.decisions.decide(fleet, vm, &sight, self.now);
            calls.extend(action.map(|action| Call {
                vm: vm.clone(),
                action,
                epoch: node.epoch,
            }));
        }
        calls
    }

    /// Carries a call out, perhaps long after it was decided.
    pub(crate) fn perform(&mut self, call: &Call) {
        let own = self.state.facts().planner.as_ref().map(|held| held.epoch) == Some(call.epoch);
        let open = self.state.facts().stops.contains_key(&call.vm);
        if self.fences.fold && !(own && open) {
            return;
        }
        match call.action {
            Action::Wait(_) => {}
            Action::Drain(generation) => self.change(&call.vm, generation, VmPhase::Leaving),
            Action::Restore(generation) => self.change(&call.vm, generation, VmPhase::Live),
            Action::Reboot(generation) => self.change(&call.vm, generation, VmPhase::Down),
            Action::Resolve(end) => {
                let rebooted_s = (end == End::Rebooted).then(|| self.seconds());
                self.propose(Proposal::Stopped {
                    vm: call.vm.clone(),
                    healthy: end != End::Failed,
                    epoch: call.epoch,
                    rebooted_s,
                });
            }
        }
    }

    /// What a call to the pools does.
    pub(crate) fn change(&mut self, vm: &VmId, generation: Generation, phase: VmPhase) {
        if self.dropped > 0 {
            self.dropped -= 1;
            return;
        }
        let up_at = self.now + REBOOT;
        let machine = &mut self.machines[vm];
        if self.fences.condition && machine.vm.generation != generation {
            return;
        }
        machine.vm.generation = machine.vm.generation.next();
        machine.vm.phase = phase;
        if phase == VmPhase::Down {
            machine.rebooted = machine.vm.generation;
            machine.reboots += 1;
            machine.cuts += u32::from(machine.running > 0);
            machine.running = 0;
            machine.up_at = machine.returns.then_some(up_at);
        }
    }

    pub(crate) fn report(&self, vm: &VmId) -> VmReport {
        let machine = &self.machines[vm];
        VmReport {
            phase: machine.vm.phase,
            generation: machine.vm.generation,
            rebooted: machine.rebooted,
            running: machine.running,
        }
    }

    fn answers(&self, vm: &VmId) -> bool {
        let machine = &self.machines[vm];
        let reached = !self.cut.contains(&machine.vm.data_centre);
        reached && machine.serves && machine.vm.phase != VmPhase::Down
    }

    /// Passes the time of one round.
    pub(crate) fn advance(&mut self) {
        self.now += self.step;
        self.time_stops();
        for machine in self.machines.values_mut() {
            if machine.up_at.is_some_and(|at| at <= self.now) {
                machine.up_at = None;
                machine.vm.phase = VmPhase::Live;
            }
        }
        self.check_budgets();
    }

    fn time_stops(&mut self) {
        let stops = &self.state.facts().stops;
        for vm in stops.keys() {
            self.begun.entry(vm.clone()).or_insert(self.now);
        }
        let ended: Vec<(VmId, Instant)> = self
            .begun
            .extract_if(.., |vm, _| !stops.contains_key(vm))
            .collect();
        let rebooted = ended.iter().filter(|(vm, at)| {
            let cycle = self.state.facts().cycle_starts_s[vm];
            cycle >= self.clock_s + (*at - self.start).as_secs()
        });
        let shortest = rebooted.map(|(_, at)| self.now - *at).min();
        self.shortest_stop = shortest.map_or(self.shortest_stop, |s| s.min(self.shortest_stop));
    }

    /// Planned stops on the platform never exceed what a data centre or a pool allows.
    fn check_budgets(&mut self) {
        let facts = self.state.facts();
        let document = self.state.document().expect("a document");
        let mut out: IndexMap<&DataCentre, IndexSet<&Rack>> = IndexMap::new();
        let mut counts: IndexMap<&DataCentre, u32> = IndexMap::new();
        for vm in facts.stops.keys() {
            let vm = &self.machines[vm].vm;
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

    /// Takes VMs down without a plan.
    pub(crate) fn fail(&mut self, test: impl Fn(&Vm) -> bool) {
        for machine in self.machines.values_mut().filter(|m| test(&m.vm)) {
            machine.vm.phase = VmPhase::Down;
            machine.up_at = None;
            machine.returns = false;
        }
    }

    /// Brings all VMs back.
    pub(crate) fn repair(&mut self) {
        for machine in self.machines.values_mut() {
            machine.returns = true;
            if machine.vm.phase == VmPhase::Down {
                machine.vm.phase = VmPhase::Live;
            }
        }
    }

    /// True once every VM that the document asks for is in its pool.
    pub(crate) fn is_filled(&self) -> bool {
        let document = self.state.document().expect("a document");
        let teams = document.teams.values().flat_map(|team| &team.pools);
        let wanted: u32 = teams.flat_map(|(_, spec)| spec.vms.values()).sum();
        self.state.facts().assignment.len() == wanted as usize
    }

    pub(crate) fn in_pool(&self, pool: &str) -> Vec<&VmId> {
        let pool = PoolId::new(pool);
        let all = self.state.facts().assignment.iter();
        all.filter(|(_, p)| **p == pool).map(|(vm, _)| vm).collect()
    }

    /// Lets every maintenance cycle come to its end.
    pub(crate) fn pass_cycle(&mut self) {
        let document = self.state.document().expect("a document");
        self.clock_s += u64::from(document.fleet.budgets.cycle_days) * 24 * 60 * 60;
    }

    pub(crate) fn all_rebooted(&self) -> bool {
        self.machines.values().all(|machine| machine.reboots > 0) && self.is_idle()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.state.facts().stops.is_empty()
    }
}

/// VMs for every place of the document, class by class, in racks of four.
fn machines(document: &Document, extra: u32) -> IndexMap<VmId, Machine> {
    let mut machines = IndexMap::new();
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
                    rack: Rack::new(&format!("{data_centre}-r{}", placed / PER_RACK)),
                    address: None,
                    phase: VmPhase::Live,
                    generation: Generation(0),
                };
                machines.insert(vm.id.clone(), machine(vm));
                placed += 1;
            }
        }
    }
    machines
}

fn machine(vm: Vm) -> Machine {
    Machine {
        vm,
        rebooted: Generation(0),
        running: 0,
        up_at: None,
        returns: true,
        serves: true,
        reboots: 0,
        cuts: 0,
    }
}

/// A signed first edit of a section.
pub(crate) fn first_edit(section: &str, text: &str, operator: &str) -> Edit {
    edit(section, 0, text, operator)
}

pub(crate) fn edit(section: &str, base: u64, text: &str, operator: &str) -> Edit {
    let id = SectionId::new(section);
    Edit {
        signature: sign(&example::operator(operator), &id, Revision(base), text),
        section: id,
        base_revision: Revision(base),
        text: text.to_owned(),
        operator: OperatorId::new(operator),
    }
}
