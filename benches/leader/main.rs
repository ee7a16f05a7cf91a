//! Cost of the leader's decisions under load: prints one line of key=value pairs per case with the
//! time that polls and events take. Virtual time; nothing is sent.

use std::time::{Duration, Instant};

use amaranthwick::scheduler::{Command, Event, JobTable, Leader, Millis};
use fleet::Fleet;
use fleet::fixtures::{MIDNIGHT_MS, leader_settings, policy};
use load::Arrivals;

mod fleet;
mod load;

/// Virtual time between two polls, in ms.
const TICK_MS: Millis = 10;

/// Virtual time of one case, in ms. Measuring starts when the backlog is in.
const RUN_MS: Millis = 3_000;

/// Targets of each pool; the first one serves the queue that is overloaded.
const POOL_SIZES: [usize; 4] = [250, 40, 30, 30];

fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    measure("waiting_3000", 3_000, 0);
    measure("burst_300_per_s", 3_000, 300);
    measure("light_30_per_s", 0, 30);
}

/// Lets a leader decide with `waiting` jobs in, to which `per_s` jobs are added each second.
fn measure(name: &str, waiting: u64, per_s: u64) {
    let mut fleet = Fleet::new(&POOL_SIZES);
    let mut table = JobTable::default();
    let mut now: Millis = 1_000;
    let mut leader = Leader::new(
        leader_settings(),
        &mut table,
        policy(POOL_SIZES.len()),
        fleet.entries(),
        now,
        MIDNIGHT_MS + now,
    );
    leader.handle(&mut table, Event::VmList(Some(fleet.vms())), now);
    let mut arrivals = Arrivals::new(7);
    let mut polls = Samples::default();
    let mut events = Duration::ZERO;
    for _ in 0..20 {
        now += TICK_MS;
        let commands = leader.poll(&mut table, now, MIDNIGHT_MS + now);
        for event in fleet.carry_out(commands, now) {
            leader.handle(&mut table, event, now);
        }
    }
    for _ in 0..waiting {
        let event = arrivals.submit(&mut table, now);
        leader.handle(&mut table, event, now);
    }
    let end = now + RUN_MS;
    let mut added = 0;
    let mut starts = 0;
    while now < end {
        now += TICK_MS;
        let mut arrived = fleet.advance(now);
        while added < (now + RUN_MS - end) * per_s / 1_000 {
            added += 1;
            arrived.push(arrivals.submit(&mut table, now));
        }
        let begun = Instant::now();
        for event in arrived {
            leader.handle(&mut table, event, now);
        }
        events += begun.elapsed();
        let begun = Instant::now();
        let commands = leader.poll(&mut table, now, MIDNIGHT_MS + now);
        polls.add(begun.elapsed());
        starts += commands.iter().filter(|c| is_start(c)).count();
        for event in fleet.carry_out(commands, now) {
            fleet.schedule(event, now);
        }
    }
    let (mean, p99, max) = polls.summary();
    let span_s = Duration::from_millis(RUN_MS).as_secs_f64();
    println!(
        "case={name} polls={} mean_ms={mean:.3} p99_ms={p99:.3} max_ms={max:.3} events_ms_per_s={:.1} polls_ms_per_s={:.1} starts={starts}",
        polls.0.len(),
        events.as_secs_f64() * 1e3 / span_s,
        polls.total().as_secs_f64() * 1e3 / span_s,
    );
}

const fn is_start(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}

/// Times of polls.
#[derive(Default)]
struct Samples(Vec<Duration>);

impl Samples {
    fn add(&mut self, sample: Duration) {
        self.0.push(sample);
    }

    fn total(&self) -> Duration {
        self.0.iter().sum()
    }

    /// Mean, 99th percentile and largest, in ms.
    fn summary(&mut self) -> (f64, f64, f64) {
        self.0.sort_unstable();
        let ms = |sample: Duration| sample.as_secs_f64() * 1e3;
        let count = self.0.len();
        let mean = ms(self.total() / u32::try_from(count).unwrap_or(u32::MAX));
        (mean, ms(self.0[count * 99 / 100]), ms(self.0[count - 1]))
    }
}
