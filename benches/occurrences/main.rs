//! Cost of a job with many due occurrences: prints one line of key=value pairs with the leader's
//! memory, the time of its decisions and what it stores. Virtual time; nothing is sent.
//!
//! Takes the number of due occurrences, 1,000 by default; one process for each case, as the peak of
//! its memory is measured.

use std::time::{Duration, Instant};

use amaranthwick::scheduler::{
    ActiveLeader, BatchId, Capacity, Change, Command, Event, JobKey, JobSpec, JobUpdate, Millis,
    Record, Step, StoredTable,
};
use fleet::fixtures::{MIDNIGHT_MS, leader_settings, policy, pool_name};
use fleet::{Fleet, queue_name};

#[path = "../leader/fleet.rs"]
mod fleet;

/// Virtual time between two polls, in ms.
const TICK_MS: Millis = 10;

/// Virtual time of the run, in ms.
const RUN_MS: Millis = 5_000;

/// Targets of the only pool.
const TARGETS: usize = 9;

/// Time between the due times of two occurrences, in ms.
const INTERVAL_MS: u64 = 10_000;

fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let due = std::env::args().skip(1).find_map(|arg| arg.parse().ok());
    measure(due.unwrap_or(1_000));
}

/// A job of two short tasks with this many due occurrences.
fn timed_job(due: u32, now: Millis) -> JobSpec {
    let wall_ms = MIDNIGHT_MS + now;
    JobSpec {
        queue: queue_name(0),
        pool: pool_name(0),
        team: Some("team-1".to_owned()),
        payload: "work".to_owned(),
        steps: vec![Step {
            count: 2,
            needs: Capacity {
                cpu: 500,
                mem_mb: 256,
                gpu: 0,
            },
            estimate_ms: 200,
            ..Step::default()
        }],
        occurrence_count: 1_000_000,
        // Half an interval is left until the next one comes due.
        first_due_ms: wall_ms + INTERVAL_MS / 2 - u64::from(due) * INTERVAL_MS,
        interval_ms: INTERVAL_MS,
        accepted_ms: wall_ms,
        terms: None,
    }
}

/// What was stored.
#[derive(Default)]
struct StoredBytes {
    all: usize,
    largest: usize,
}

fn measure(due: u32) {
    let mut fleet = Fleet::new(&[TARGETS]);
    let mut now: Millis = 1_000;
    let mut stored = StoredTable::default();
    stored.apply_read(Change::Put(Record::Holder(leader_settings().holder)));
    let take_over = |stored: &StoredTable, fleet: &Fleet, now| {
        let wall_ms = MIDNIGHT_MS + now;
        let entries = fleet.entries();
        ActiveLeader::take_over(leader_settings(), stored, policy(1), entries, now, wall_ms)
    };
    let mut leader = take_over(&stored, &fleet, now);
    leader.handle(Event::VmList(Some(fleet.vms())), now);
    let record = Record::Job(JobKey(1), timed_job(due, now));
    if let Some(JobUpdate::Accepted(key, spec)) = stored.apply_acknowledged(record) {
        leader.apply(JobUpdate::Accepted(key, spec), now);
    }
    let end = now + RUN_MS;
    let (mut longest, mut starts) = (Duration::ZERO, 0);
    let mut bytes = StoredBytes::default();
    while now < end {
        now += TICK_MS;
        let arrived = fleet.advance(now);
        let begun = Instant::now();
        for event in arrived {
            leader.handle(event, now);
        }
        let commands = leader.poll(now, MIDNIGHT_MS + now);
        longest = longest.max(begun.elapsed());
        for command in &commands {
            starts += usize::from(matches!(command, Command::Start { .. }));
            if let Command::Append { batch, records, .. } = command {
                store(&mut stored, *batch, records, &mut bytes);
            }
        }
        for event in fleet.carry_out(commands, now) {
            fleet.schedule(event, now);
        }
    }
    let begun = Instant::now();
    drop(take_over(&stored, &fleet, now));
    println!(
        "due={due} peak_mb={} longest_ms={:.3} take_over_ms={:.3} starts={starts} stored_kb={} largest_record_bytes={}",
        peak_memory_kb() / 1_024,
        longest.as_secs_f64() * 1e3,
        begun.elapsed().as_secs_f64() * 1e3,
        bytes.all / 1_024,
        bytes.largest,
    );
}

fn store(stored: &mut StoredTable, number: u64, records: &[Record], bytes: &mut StoredBytes) {
    for record in records {
        let size = record.encode().map_or(0, |value| value.len());
        bytes.all += size;
        bytes.largest = bytes.largest.max(size);
    }
    let epoch = leader_settings().holder.epoch;
    stored.batch_stored(BatchId { epoch, number }, records.to_vec());
}

/// Most memory that the process has had resident, in KB; 0 where the system does not tell.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let number = peak.and_then(|peak| peak.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
