//! Fraction of the starts that each team gets, compared with its share, while a pool has twice
//! the load that it can serve.
//!
//! There is one data centre, with one entry in this process and the stand-ins' executors; the
//! load is open-loop. Prints key=value lines. Those with `way=model-...` simulate other queue
//! disciplines over the same arrivals in virtual time; they are no measurement of the product.

#[path = "../../tests/common/entry.rs"]
mod common;
mod deployment;
mod model;

use std::thread;
use std::time::{Duration, Instant};

use amaranthwick_standins::load::{Arrivals, LoadReport, Shape, run_open};

use deployment::{Deployment, EXAMPLES, Example, RUN_MS, request, to_f64};
use model::{Arrival, Pool};

const SEED: u64 = 41;

/// Rate of all teams together, as a multiple of what the pool can serve; the load of
/// [`LOWEST_URGENCY`] comes on top.
const OVERLOAD: f64 = 2.0;

const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Second 0 is left out, because the queue still fills.
const FIRST_MEASURED_SECOND: usize = 1;

/// The measured seconds end before this one.
const MEASURED_SECONDS_END: usize = 11;

/// Time between two samples of the slots in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a request that still waits is not started.
const WAIT_S: u64 = 5;

/// The same for requests of the lowest urgency.
const LOWEST_URGENCY_WAIT_S: u64 = 60;

const DEFAULT_URGENCY: u8 = 3;
const LOWEST_URGENCY: u8 = 7;

/// Requests per second of each team at the lowest urgency.
const LOWEST_URGENCY_RATE: f64 = 2.0;

/// Starts of each team in one second, and the fraction of the slots in use.
#[derive(Clone, Debug)]
struct Second {
    starts: Vec<u64>,
    used: f64,
}

/// A team and its share of the pool, relative to those of the other teams.
struct Team {
    name: String,
    share: u64,
}

fn main() {
    for example in &EXAMPLES {
        measure_example(example);
    }
}

fn measure_example(example: &Example) {
    let deployment = Deployment::open(example);
    let teams: Vec<Team> = deployment
        .document
        .teams
        .iter()
        .map(|(id, team)| Team {
            name: id.to_string(),
            share: u64::from(team.share),
        })
        .collect();
    let rate = OVERLOAD * deployment.capacity() / to_f64(teams.len() as u64);
    println!(
        "bench=fairness example={} data_centres=1 slots={} run_ms={RUN_MS} teams={} team_rate={rate:.0} overload={OVERLOAD} seed={SEED}",
        example.name,
        deployment.slots,
        teams.len(),
    );
    let seconds = run_loads(example, &deployment, &teams, rate);
    report(example, "product", &teams, &seconds);
    let arrivals = arrivals(&teams, rate);
    let pool = Pool {
        shares: teams.iter().map(|team| team.share).collect(),
        slots: deployment.slots,
        max_queued: deployment.max_queued(example),
    };
    for discipline in &model::DISCIPLINES {
        let starts = model::simulate(discipline, &pool, &arrivals);
        let seconds = simulated_seconds(&starts, &pool);
        report(example, discipline.name, &teams, &seconds);
    }
}

/// Seed of a team's arrivals, so that the model can repeat them.
fn seed(team: usize) -> u64 {
    SEED + team as u64
}

/// Sends the load of all teams and returns what the executors counted meanwhile; `rate` is that
/// of each team at the default urgency.
fn run_loads(example: &Example, deployment: &Deployment, teams: &[Team], rate: f64) -> Vec<Second> {
    let mut loads = Vec::new();
    for (i, team) in teams.iter().enumerate() {
        for (urgency, rate, wait_s, seed) in [
            (DEFAULT_URGENCY, rate, WAIT_S, seed(i)),
            (
                LOWEST_URGENCY,
                LOWEST_URGENCY_RATE,
                LOWEST_URGENCY_WAIT_S,
                seed(i) + 100,
            ),
        ] {
            let request = request(example.queue, &team.name, urgency, wait_s);
            let spec = deployment.load_spec();
            let arrivals = Arrivals::new(seed, rate, Shape::Steady);
            let load = thread::spawn(move || {
                run_open(&spec, arrivals, LOAD_DURATION, move |_| request.clone()).expect("load")
            });
            loads.push((team.name.clone(), urgency, load));
        }
    }
    let seconds = sample_executors(deployment, teams);
    for (team, urgency, load) in loads {
        let answers = load.join().expect("load");
        report_load(example, &team, urgency, &answers);
    }
    seconds
}

/// Reads the executors' counters of starts at the end of each second, and those of running
/// requests each [`SAMPLE_INTERVAL`].
fn sample_executors(deployment: &Deployment, teams: &[Team]) -> Vec<Second> {
    let control = deployment.executors.control();
    let start = Instant::now();
    let mut before = vec![0; teams.len()];
    let mut seconds = Vec::new();
    for second in 1..=MEASURED_SECONDS_END as u64 {
        let (mut busy, mut samples) = (0, 0);
        while start.elapsed() < Duration::from_secs(second) {
            let counters = control.counters();
            busy += counters.teams.values().map(|t| t.running).sum::<u64>();
            samples += 1;
            thread::sleep(SAMPLE_INTERVAL);
        }
        let counters = control.counters();
        let after: Vec<u64> = teams
            .iter()
            .map(|team| counters.teams.get(&team.name).map_or(0, |t| t.runs))
            .collect();
        let starts = after.iter().zip(&before).map(|(a, b)| a - b).collect();
        let used = to_f64(busy) / to_f64((samples * deployment.slots).max(1));
        seconds.push(Second { starts, used });
        before = after;
    }
    seconds
}

fn report_load(example: &Example, team: &str, urgency: u8, answers: &LoadReport) {
    println!(
        "bench=fairness example={} way=product team={team} urgency={urgency} {answers} max_wait_ms={}",
        example.name,
        (answers.max_us() / 1_000).saturating_sub(RUN_MS),
    );
}

/// Prints for each measured second the largest gap between a team's fraction of the starts and
/// its share, in percentage points, and then the worst of all.
fn report(example: &Example, way: &str, teams: &[Team], seconds: &[Second]) {
    let total_share: u64 = teams.iter().map(|team| team.share).sum();
    let mut worst_gap = 0.0_f64;
    let mut within_bound = 0;
    let measured = &seconds[FIRST_MEASURED_SECOND..MEASURED_SECONDS_END];
    for (i, second) in measured.iter().enumerate() {
        let total = to_f64(second.starts.iter().sum::<u64>().max(1));
        let (mut gap, mut gap_team) = (0.0, "");
        for (team, starts) in teams.iter().zip(&second.starts) {
            let fraction = to_f64(*starts) / total;
            let gap_points = (fraction - to_f64(team.share) / to_f64(total_share)) * 100.0;
            if gap_points.abs() > f64::abs(gap) {
                (gap, gap_team) = (gap_points, &team.name);
            }
        }
        within_bound += usize::from(gap.abs() <= 2.0);
        worst_gap = worst_gap.max(gap.abs());
        println!(
            "bench=fairness example={} way={way} second={} starts={total} gap_points={gap:.2} gap_team={gap_team} used_percent={:.1}",
            example.name,
            i + FIRST_MEASURED_SECOND,
            second.used * 100.0,
        );
    }
    let used: f64 = measured.iter().map(|second| second.used).sum();
    println!(
        "bench=fairness example={} way={way} worst_gap_points={worst_gap:.2} seconds_within_2_points={within_bound}/{} used_percent={:.1}",
        example.name,
        measured.len(),
        used / to_f64(measured.len() as u64) * 100.0,
    );
}

/// The arrivals that [`run_loads`] sends, sorted by time.
fn arrivals(teams: &[Team], rate: f64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for team in 0..teams.len() {
        for (rate, wait_s, seed) in [
            (rate, WAIT_S, seed(team)),
            (LOWEST_URGENCY_RATE, LOWEST_URGENCY_WAIT_S, seed(team) + 100),
        ] {
            let due = Arrivals::new(seed, rate, Shape::Steady).take_while(|at| *at < LOAD_DURATION);
            all.extend(due.map(|at| Arrival {
                at_us: u64::try_from(at.as_micros()).unwrap_or(u64::MAX),
                team,
                urgent: false,
                wait_us: wait_s * 1_000_000,
            }));
        }
    }
    all.sort_by_key(|arrival| arrival.at_us);
    all
}

/// Counts simulated starts in each second, in the form that [`sample_executors`] returns.
fn simulated_seconds(starts: &[model::Start], pool: &Pool) -> Vec<Second> {
    let capacity_per_s = to_f64(pool.slots) * 1_000.0 / to_f64(RUN_MS);
    let second = |n: usize| {
        let from = n as u64 * 1_000_000;
        let range = from..from + 1_000_000;
        let mut counts = vec![0; pool.shares.len()];
        for start in starts.iter().filter(|start| range.contains(&start.at_us)) {
            counts[start.arrival.team] += 1;
        }
        let used = to_f64(counts.iter().sum()) / capacity_per_s;
        Second {
            starts: counts,
            used,
        }
    };
    (0..MEASURED_SECONDS_END).map(second).collect()
}
