//! Decisions of the planner on whole fleets in virtual time; prints one line of key=value pairs
//! per case.
//!
//! `simple_*` are the figures of the simplest planner on the same fleet: first fit, a buffer
//! for each pool, and stops of one VM at a time.

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

#[allow(dead_code)] // The planner's tests use the rest.
#[path = "../tests/planner/simulation.rs"]
mod simulation;

/// VMs of each class in each data centre beyond those that the document places.
const EXTRA_VMS: u32 = 8;

/// Virtual time within which a case, such as a wave, must end.
const TIME_LIMIT: Duration = Duration::from_hours(48);

const EXAMPLE_NAMES: [&str; 2] = ["neretva", "kon-jalan"];

/// Runs over which the time of one decision is averaged.
const DECISION_RUNS: u32 = 10;

fn main() {
    for name in EXAMPLE_NAMES {
        measure_fleet(name, example_edits(name), Duration::from_secs(1));
    }
    measure_fleet("target", target_edits(), Duration::from_secs(2));
}

/// Edits that create the sections of an example.
fn example_edits(name: &str) -> Vec<Edit> {
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

/// Edits that create the sections of a document of the target size.
fn target_edits() -> Vec<Edit> {
    let sections = example::sections(DocumentSize::DESIGN_SIZE);
    let edits = sections.iter().map(|(id, text)| match id.as_str() {
        "fleet" => first_edit("fleet", text, "root"),
        team => first_edit(team, text, &format!("{team}-owner")),
    });
    edits.collect()
}

/// Runs all cases on one fleet; `step` is the virtual time between two rounds of the planner.
fn measure_fleet(name: &str, edits: Vec<Edit>, step: Duration) {
    let mut simulation = Simulation::with_extra_vms(edits, EXTRA_VMS);
    simulation.round_time = step;
    let mut planner = simulation.start_planner();
    measure_fill(name, &mut simulation, &mut planner);
    measure_buffer(name, &simulation);
    measure_decisions(name, &mut simulation, &mut planner);
    measure_wave(name, &mut simulation, &mut planner);
    measure_vm_loss(name, &mut simulation, &mut planner);
    measure_rack_loss(name, &mut simulation, &mut planner);
}

/// First placement of the VMs of a whole fleet.
///
/// `moves_bound` is the number of VMs placed, one move each; `planned` and `plan_us` are the
/// moves that the planner proposes after its first round and the time to decide on them.
fn measure_fill(name: &str, simulation: &mut Simulation, planner: &mut SimulatedPlanner) {
    simulation.run_round(planner);
    let fleet = simulation.fleet();
    let start = Instant::now();
    let moves = planner
        .vm_planner
        .move_proposals(&fleet, planner.epoch, simulation.now);
    let plan_time = start.elapsed();
    simulation.run_until(planner, TIME_LIMIT, Simulation::is_filled);
    let bound = simulation.state.facts().assignment.len();
    println!(
        "case=fill fleet={name} vms={} moves={} moves_bound={bound} planned={} plan_us={} rss_kb={}",
        simulation.vms.len(),
        simulation.accepted_moves,
        moves.len(),
        plan_time.as_micros(),
        resident_kb()
    );
}

/// Spare VMs that the fleet needs and has; the rack with the most VMs in service bounds the
/// need from below.
fn measure_buffer(name: &str, simulation: &Simulation) {
    let fleet = simulation.fleet();
    let needed: usize = buffer_needs(&fleet).iter().map(BufferNeed::needed).sum();
    let bound: usize = buffer_needs(&fleet)
        .iter()
        .map(|need| need.worst_rack)
        .sum();
    let spare: usize = buffer_needs(&fleet).iter().map(|need| need.spare).sum();
    let simple = simple_buffer_size(&first_fit(&fleet));
    println!(
        "case=buffer fleet={name} needed={needed} worst_rack_bound={bound} spare={spare} \
         simple_needed={simple}"
    );
}

/// Time of a round's decisions when nothing is to be done, and of the choice of VMs to stop
/// when every VM is due.
fn measure_decisions(name: &str, simulation: &mut Simulation, planner: &mut SimulatedPlanner) {
    let fleet = simulation.fleet();
    let idle_round = mean_time(|| {
        planner.vm_planner.due_checks(&fleet, simulation.now, 0);
        planner.vm_planner.health_proposals(
            &fleet,
            planner.epoch,
            simulation.now,
            simulation.unix_s(),
        );
        planner
            .vm_planner
            .move_proposals(&fleet, planner.epoch, simulation.now);
        let _ = planner
            .vm_planner
            .vms_to_stop(&fleet, simulation.now, simulation.unix_s());
    });
    let mut all_due = fleet.clone();
    all_due
        .cycle_starts_s
        .values_mut()
        .for_each(|start| *start = 0);
    let stop_selection = mean_time(|| {
        let _ = planner
            .vm_planner
            .vms_to_stop(&all_due, simulation.now, u64::MAX / 2);
    });
    println!(
        "case=event fleet={name} round_us={} all_due_us={}",
        idle_round.as_micros(),
        stop_selection.as_micros()
    );
}

/// A wave that reboots every VM once.
///
/// `bound_s` is the least time that the budgets allow, if every stop took as long as the
/// shortest one seen; `spent_ms` is real time.
fn measure_wave(name: &str, simulation: &mut Simulation, planner: &mut SimulatedPlanner) {
    simulation.skip_cycle();
    let before = simulation.accepted_moves;
    let stop_rounds = min_stop_rounds(&simulation.fleet());
    let start = Instant::now();
    let time = simulation.run_until(planner, TIME_LIMIT, Simulation::all_rebooted);
    let real_time = start.elapsed();
    let stop_time = simulation.shortest_stop;
    let bound = stop_time * u32::try_from(stop_rounds).unwrap_or(u32::MAX);
    let vms = u32::try_from(simulation.vms.len()).unwrap_or(u32::MAX);
    println!(
        "case=wave fleet={name} vms={vms} time_s={} bound_s={} ratio={:.2} stop_s={} most_out={} \
         moves={} simple_time_s={} spent_ms={}",
        time.as_secs(),
        bound.as_secs(),
        time.as_secs_f64() / bound.as_secs_f64(),
        stop_time.as_secs(),
        simulation.most_out,
        simulation.accepted_moves - before,
        (stop_time * vms).as_secs(),
        real_time.as_millis()
    );
}

/// Loses one VM in service.
fn measure_vm_loss(name: &str, simulation: &mut Simulation, planner: &mut SimulatedPlanner) {
    let lost = in_service(&simulation.fleet())[0].clone();
    measure_loss(name, "lose_vm", simulation, planner, &[lost]);
}

/// Loses the rack with the most VMs in service.
fn measure_rack_loss(name: &str, simulation: &mut Simulation, planner: &mut SimulatedPlanner) {
    let fleet = simulation.fleet();
    let mut racks: IndexMap<&Rack, Vec<VmId>> = IndexMap::new();
    for vm in in_service(&fleet) {
        racks
            .entry(&fleet.locations[vm].rack)
            .or_default()
            .push(vm.clone());
    }
    let worst = racks.into_values().max_by_key(Vec::len).unwrap_or_default();
    measure_loss(name, "lose_rack", simulation, planner, &worst);
}

/// Takes the VMs `lost` down and waits until they have left their pools, then for another minute.
///
/// `moves_bound` is two moves for each lost VM: it has to leave its pool and another has to
/// enter.
fn measure_loss(
    name: &str,
    case: &str,
    simulation: &mut Simulation,
    planner: &mut SimulatedPlanner,
    lost: &[VmId],
) {
    let before = simulation.accepted_moves;
    simulation.fail_vms(|vm| lost.contains(&vm.id));
    let all_unassigned = |simulation: &Simulation| {
        let assignment = &simulation.state.facts().assignment;
        lost.iter().all(|vm| !assignment.contains_key(vm))
    };
    let unassign_time = simulation.run_until(planner, TIME_LIMIT, all_unassigned);
    simulation.run_for(planner, Duration::from_mins(1));
    let bound = lost.len() * 2;
    println!(
        "case={case} fleet={name} lost={} moves={} moves_bound={bound} replaced_s={}",
        lost.len(),
        simulation.accepted_moves - before,
        unassign_time.as_secs()
    );
}

/// VMs that are in pools other than spare ones and are not down.
fn in_service(fleet: &FleetState) -> Vec<&VmId> {
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
fn min_stop_rounds(fleet: &FleetState) -> usize {
    let document = fleet.document.as_deref().expect("a document");
    let available = Availability::count(BudgetInputs {
        document,
        assignment: &fleet.assignment,
        locations: &fleet.locations,
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
    let mut data_centres: IndexMap<&DataCentre, IndexMap<&Rack, usize>> = IndexMap::new();
    for location in fleet.locations.values() {
        let racks = data_centres.entry(&location.data_centre).or_default();
        *racks.entry(&location.rack).or_default() += 1;
    }
    let budgets = &document.fleet.budgets;
    let by_data_centre = data_centres.values().map(|racks| {
        let rounds = racks
            .values()
            .map(|size| size.div_ceil(budgets.vms as usize));
        rounds.sum::<usize>().div_ceil(budgets.racks as usize)
    });
    by_pool.chain(by_data_centre).max().unwrap_or(0)
}

/// The fleet with its pools filled in the order of the document, with VMs in the order of the
/// list.
fn first_fit(fleet: &FleetState) -> FleetState {
    let document = fleet.document.as_deref().expect("a document");
    let mut simple = fleet.clone();
    simple.assignment.clear();
    for (pool, spec) in document.teams.values().flat_map(|team| &team.pools) {
        for (data_centre, wanted) in &spec.vms {
            let free = fleet.vms.iter().filter(|vm| {
                vm.class == spec.class
                    && vm.data_centre == *data_centre
                    && vm.phase == VmPhase::Live
            });
            let free = free.filter(|vm| !simple.assignment.contains_key(&vm.id));
            let chosen: Vec<VmId> = free
                .map(|vm| vm.id.clone())
                .take(*wanted as usize)
                .collect();
            let placed = chosen.into_iter().map(|vm| (vm, pool.clone()));
            simple.assignment.extend(placed);
        }
    }
    simple
}

/// Size of a buffer that has, for each pool in each data centre, as many VMs as the rack with the
/// most of them, and one for ordinary failures.
fn simple_buffer_size(fleet: &FleetState) -> usize {
    let mut racks_by_pool: IndexMap<(&PoolId, &DataCentre), IndexMap<&Rack, usize>> =
        IndexMap::new();
    for vm in in_service(fleet) {
        let (pool, location) = (&fleet.assignment[vm], &fleet.locations[vm]);
        let racks = racks_by_pool
            .entry((pool, &location.data_centre))
            .or_default();
        *racks.entry(&location.rack).or_default() += 1;
    }
    let worst = racks_by_pool
        .values()
        .map(|racks| racks.values().max().copied().unwrap_or(0) + 1);
    worst.sum()
}

/// Mean time of a call of `work`.
fn mean_time(mut work: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..DECISION_RUNS {
        work();
    }
    start.elapsed() / DECISION_RUNS
}

/// Resident memory of this process, in kB; 0 if `/proc` does not say.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
