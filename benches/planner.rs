//! Decisions of the planner on whole fleets in virtual time, one line of key=value pairs a case.
//!
//! `simple_*` are figures of the simplest planner on the same fleet: first fit, a buffer a
//! pool, one VM at a time.

use std::fs;
use std::time::{Duration, Instant};

use amaranthwick::control::FleetState;
use amaranthwick::document::example::{self, DocumentSize};
use amaranthwick::document::{parse, section_text};
use amaranthwick::id::{DataCentre, PoolId, Rack, SectionId, VmId};
use amaranthwick::ledger::{Availability, BudgetInputs, Edit};
use amaranthwick::planner::{BufferNeed, buffer_needs};
use amaranthwick::services::VmPhase;
use indexmap::IndexMap;

use simulation::{SimulatedPlanner, Simulation, first_edit};

#[allow(dead_code)] // The tests use more of it.
#[path = "../tests/planner/simulation.rs"]
mod simulation;

/// VMs of each class and data centre beyond those that the document places.
const EXTRA: u32 = 8;

/// Longest wave, in virtual time.
const LIMIT: Duration = Duration::from_hours(48);

const EXAMPLES: [&str; 2] = ["neretva", "kon-jalan"];

/// Rounds over which the cost of one event is averaged.
const EVENT_RUNS: u32 = 10;

fn main() {
    for name in EXAMPLES {
        measure(name, example(name), Duration::from_secs(1));
    }
    measure("target", target(), Duration::from_secs(2));
}

fn example(name: &str) -> Vec<Edit> {
    let path = format!("{}/examples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("an example");
    let document = parse(name, &text).expect("valid");
    let teams = document.teams.keys().map(|team| {
        let text = section_text(name, &text, &SectionId::new(team.as_str())).expect("a section");
        first_edit(team.as_str(), &text, &format!("{team}-owner"))
    });
    let fleet = section_text(name, &text, &SectionId::new("fleet")).expect("a section");
    std::iter::once(first_edit("fleet", &fleet, "root"))
        .chain(teams)
        .collect()
}

fn target() -> Vec<Edit> {
    let sections = example::sections(DocumentSize::DESIGN_SIZE);
    let edits = sections.iter().map(|(id, text)| match id.as_str() {
        "fleet" => first_edit("fleet", text, "root"),
        team => first_edit(team, text, &format!("{team}-owner")),
    });
    edits.collect()
}

fn measure(name: &str, edits: Vec<Edit>, step: Duration) {
    let mut world = Simulation::with_extra_vms(edits, EXTRA);
    world.round_time = step;
    let mut node = world.start_planner();
    fill(name, &mut world, &mut node);
    buffer(name, &world);
    event(name, &mut world, &mut node);
    wave(name, &mut world, &mut node);
    lose_vm(name, &mut world, &mut node);
    lose_rack(name, &mut world, &mut node);
}

/// The first placement of a whole fleet.
fn fill(name: &str, world: &mut Simulation, node: &mut SimulatedPlanner) {
    world.run_round(node);
    let fleet = world.fleet();
    let start = Instant::now();
    let moves = node
        .vm_planner
        .move_proposals(&fleet, node.epoch, world.now);
    let plan = start.elapsed();
    world.run_until(node, LIMIT, Simulation::is_filled);
    let bound = world.state.facts().assignment.len();
    println!(
        "case=fill fleet={name} vms={} moves={} moves_bound={bound} planned={} plan_us={} rss_kb={}",
        world.vms.len(),
        world.accepted_moves,
        moves.len(),
        plan.as_micros(),
        rss_kb()
    );
}

fn buffer(name: &str, world: &Simulation) {
    let fleet = world.fleet();
    let needed: usize = buffer_needs(&fleet).iter().map(BufferNeed::needed).sum();
    let bound: usize = buffer_needs(&fleet)
        .iter()
        .map(|need| need.worst_rack)
        .sum();
    let spare: usize = buffer_needs(&fleet).iter().map(|need| need.spare).sum();
    let simple = simple_buffer(&first_fit(&fleet));
    println!(
        "case=buffer fleet={name} needed={needed} worst_rack_bound={bound} spare={spare} \
         simple_needed={simple}"
    );
}

/// Cost of a round's decisions when nothing is to be done, and when one VM is lost.
fn event(name: &str, world: &mut Simulation, node: &mut SimulatedPlanner) {
    let fleet = world.fleet();
    let calm = mean(|| {
        node.vm_planner.due_checks(&fleet, world.now, 0);
        node.vm_planner
            .health_proposals(&fleet, node.epoch, world.now, world.unix_s());
        node.vm_planner
            .move_proposals(&fleet, node.epoch, world.now);
        let _ = node
            .vm_planner
            .vms_to_stop(&fleet, world.now, world.unix_s());
    });
    let mut due = fleet.clone();
    due.cycles.values_mut().for_each(|start| *start = 0);
    let starts = mean(|| {
        let _ = node.vm_planner.vms_to_stop(&due, world.now, u64::MAX / 2);
    });
    println!(
        "case=event fleet={name} round_us={} all_due_us={}",
        calm.as_micros(),
        starts.as_micros()
    );
}

/// Every VM rebooted once.
fn wave(name: &str, world: &mut Simulation, node: &mut SimulatedPlanner) {
    world.skip_cycle();
    let before = world.accepted_moves;
    let bound_stops = stops_bound(&world.fleet());
    let start = Instant::now();
    let time = world.run_until(node, LIMIT, Simulation::all_rebooted);
    let spent = start.elapsed();
    let one = world.shortest_stop;
    let bound = one * u32::try_from(bound_stops).unwrap_or(u32::MAX);
    let vms = u32::try_from(world.vms.len()).unwrap_or(u32::MAX);
    println!(
        "case=wave fleet={name} vms={vms} time_s={} bound_s={} ratio={:.2} stop_s={} most_out={} \
         moves={} simple_time_s={} spent_ms={}",
        time.as_secs(),
        bound.as_secs(),
        time.as_secs_f64() / bound.as_secs_f64(),
        one.as_secs(),
        world.most_out,
        world.accepted_moves - before,
        (one * vms).as_secs(),
        spent.as_millis()
    );
}

fn lose_vm(name: &str, world: &mut Simulation, node: &mut SimulatedPlanner) {
    let lost = serving(&world.fleet())[0].clone();
    lose(name, "lose_vm", world, node, &[lost]);
}

/// Loses the rack with the most VMs in service.
fn lose_rack(name: &str, world: &mut Simulation, node: &mut SimulatedPlanner) {
    let fleet = world.fleet();
    let mut racks: IndexMap<&Rack, Vec<VmId>> = IndexMap::new();
    for vm in serving(&fleet) {
        racks
            .entry(&fleet.sites[vm].rack)
            .or_default()
            .push(vm.clone());
    }
    let worst = racks.into_values().max_by_key(Vec::len).unwrap_or_default();
    lose(name, "lose_rack", world, node, &worst);
}

/// Each lost VM has to leave its pool and another has to enter: two moves.
fn lose(
    name: &str,
    case: &str,
    world: &mut Simulation,
    node: &mut SimulatedPlanner,
    lost: &[VmId],
) {
    let before = world.accepted_moves;
    world.fail_vms(|vm| lost.contains(&vm.id));
    let out = |world: &Simulation| {
        let assignment = &world.state.facts().assignment;
        lost.iter().all(|vm| !assignment.contains_key(vm))
    };
    let left = world.run_until(node, LIMIT, out);
    world.run_for(node, Duration::from_mins(1));
    let bound = lost.len() * 2;
    println!(
        "case={case} fleet={name} lost={} moves={} moves_bound={bound} replaced_s={}",
        lost.len(),
        world.accepted_moves - before,
        left.as_secs()
    );
}

fn serving(fleet: &FleetState) -> Vec<&VmId> {
    let document = fleet.document.as_deref().expect("a document");
    let spare = |pool: &PoolId| {
        let mut teams = document.teams.values();
        teams.any(|team| team.pools.get(pool).is_some_and(|spec| spec.spare))
    };
    let vms = fleet.assignment.iter();
    let live = vms.filter(|(vm, pool)| !spare(pool) && !fleet.down.contains(*vm));
    live.map(|(vm, _)| vm).collect()
}

/// Fewest rounds of stops in which every VM can be stopped once within the budgets.
fn stops_bound(fleet: &FleetState) -> usize {
    let document = fleet.document.as_deref().expect("a document");
    let available = Availability::count(BudgetInputs {
        document,
        assignment: &fleet.assignment,
        locations: &fleet.sites,
        stops: &fleet.stops,
        down: &fleet.down,
    });
    let mut pools: IndexMap<&PoolId, usize> = IndexMap::new();
    for pool in fleet.assignment.values() {
        *pools.entry(pool).or_default() += 1;
    }
    let by_pool = pools
        .iter()
        .map(|(pool, size)| size.div_ceil(available.max_unavailable(pool).max(1)));
    let mut centres: IndexMap<&DataCentre, IndexMap<&Rack, usize>> = IndexMap::new();
    for site in fleet.sites.values() {
        let racks = centres.entry(&site.data_centre).or_default();
        *racks.entry(&site.rack).or_default() += 1;
    }
    let budgets = &document.fleet.budgets;
    let by_centre = centres.values().map(|racks| {
        let rounds = racks
            .values()
            .map(|size| size.div_ceil(budgets.vms as usize));
        rounds.sum::<usize>().div_ceil(budgets.racks as usize)
    });
    by_pool.chain(by_centre).max().unwrap_or(0)
}

/// Pools filled in the order of the document with VMs in the order of the list.
fn first_fit(fleet: &FleetState) -> FleetState {
    let document = fleet.document.as_deref().expect("a document");
    let mut simple = fleet.clone();
    simple.assignment.clear();
    for (pool, spec) in document.teams.values().flat_map(|team| &team.pools) {
        for (home, wanted) in &spec.vms {
            let free = fleet.vms.iter().filter(|vm| {
                vm.class == spec.class && vm.data_centre == *home && vm.phase == VmPhase::Live
            });
            let free = free.filter(|vm| !simple.assignment.contains_key(&vm.id));
            let picked: Vec<VmId> = free
                .map(|vm| vm.id.clone())
                .take(*wanted as usize)
                .collect();
            let placed = picked.into_iter().map(|vm| (vm, pool.clone()));
            simple.assignment.extend(placed);
        }
    }
    simple
}

/// The worst rack of each pool in each data centre, and one VM for ordinary failures.
fn simple_buffer(fleet: &FleetState) -> usize {
    let mut parts: IndexMap<(&PoolId, &DataCentre), IndexMap<&Rack, usize>> = IndexMap::new();
    for vm in serving(fleet) {
        let (pool, site) = (&fleet.assignment[vm], &fleet.sites[vm]);
        let racks = parts.entry((pool, &site.data_centre)).or_default();
        *racks.entry(&site.rack).or_default() += 1;
    }
    let worst = parts
        .values()
        .map(|racks| racks.values().max().copied().unwrap_or(0) + 1);
    worst.sum()
}

fn mean(mut work: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..EVENT_RUNS {
        work();
    }
    start.elapsed() / EVENT_RUNS
}

/// Resident memory of this process.
fn rss_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
