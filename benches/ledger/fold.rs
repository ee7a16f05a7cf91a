//! Proposals that one core folds per second, by kind.

use std::time::Instant;

use amaranthwick::ledger::{Proposal, Verdict};

use crate::fleet::{
    self, ENTRIES, FoldedLog, TARGET_SIZE, assign, edit, full_fleet, register, submit, team_name,
    team_section, transfer,
};

/// Records of each kind; edits are fewer.
const RECORDS: usize = 100_000;

const EDITS: usize = 300;

pub(crate) fn run() {
    let mixed: Vec<Proposal> = (0..RECORDS).map(mixed_proposal).collect();
    measure("mixed", &mixed);
    measure("register", &proposals(|n| register(n % ENTRIES)));
    measure(
        "transfer",
        &proposals(|n| transfer(n / 2 % TARGET_SIZE.teams, 0, n % 2 == 1)),
    );
    measure("assign", &proposals(next_pool_assignment));
    measure("submit", &proposals(|n| submit(n, TARGET_SIZE.teams)));
    measure_job_updates();
    measure_forged();
    measure_edits();
}

/// Updates of jobs that are placed and end, while as many other jobs wait.
fn measure_job_updates() {
    let mut log = full_fleet(&TARGET_SIZE);
    let jobs = RECORDS / 4;
    for n in 0..2 * jobs {
        log.apply_accepted(submit(n, TARGET_SIZE.teams));
    }
    for n in 0..TARGET_SIZE.teams {
        log.apply_accepted(fleet::jobs_quota(n, 100));
    }
    let start = log.state.offset();
    let records: Vec<Vec<u8>> = (0..2 * jobs)
        .map(|n| log.encode(start.0 + n as u64, fleet::job_update(n / 2, n % 2)))
        .collect();
    let started = Instant::now();
    let accepted = fold(&mut log, &records);
    let rate = records.len() as f64 / started.elapsed().as_secs_f64();
    println!(
        "fold=update records={} accepted={accepted} rate_per_s={rate:.0}",
        records.len()
    );
}

/// [`RECORDS`] proposals, made from their numbers.
fn proposals(proposal: impl Fn(usize) -> Proposal) -> Vec<Proposal> {
    (0..RECORDS).map(proposal).collect()
}

/// Moves each VM from its pool to the next one, round after round.
fn next_pool_assignment(n: usize) -> Proposal {
    let (vm, round) = (n % TARGET_SIZE.workers, n / TARGET_SIZE.workers);
    let from = (vm + round) % TARGET_SIZE.pools;
    assign(vm, Some(from), (from + 1) % TARGET_SIZE.pools)
}

/// Half of the proposals are transfers, a quarter renewals of registrations, an eighth moves of
/// VMs and an eighth jobs.
fn mixed_proposal(n: usize) -> Proposal {
    match n % 8 {
        0 => register(n % ENTRIES),
        2 => next_pool_assignment(n / 8),
        4 => submit(n, TARGET_SIZE.teams),
        6 => register(n / 8 % ENTRIES),
        _ => transfer(n / 4 % TARGET_SIZE.teams, 0, n % 4 == 3),
    }
}

fn measure(name: &str, proposals: &[Proposal]) {
    let mut log = full_fleet(&TARGET_SIZE);
    let start = log.state.offset();
    let records: Vec<Vec<u8>> = (start.0..)
        .zip(proposals)
        .map(|(proposed_at, proposal)| log.encode(proposed_at, proposal.clone()))
        .collect();
    let bytes: usize = records.iter().map(Vec::len).sum();
    let started = Instant::now();
    let accepted = fold(&mut log, &records);
    let time = started.elapsed();
    let rate = records.len() as f64 / time.as_secs_f64();
    println!(
        "fold={name} records={} accepted={accepted} rate_per_s={rate:.0} bytes_per_record={}",
        records.len(),
        bytes / records.len()
    );
}

/// Folds the records and returns how many were accepted.
fn fold(log: &mut FoldedLog, records: &[Vec<u8>]) -> usize {
    let mut accepted = 0;
    for bytes in records {
        let offset = log.state.offset();
        if let Some((_, Verdict::Accepted(_))) = log.state.apply(offset, bytes) {
            accepted += 1;
        }
    }
    accepted
}

/// Records whose MAC does not match, such as those that a stranger to the fleet might append.
fn measure_forged() {
    let mut log = full_fleet(&TARGET_SIZE);
    let mut bytes = log.encode(0, register(0));
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    let records = vec![bytes; RECORDS];
    let started = Instant::now();
    fold(&mut log, &records);
    let rate = RECORDS as f64 / started.elapsed().as_secs_f64();
    println!("fold=forged records={RECORDS} rate_per_s={rate:.0}");
}

/// Edits of the teams' sections, one team after the other.
fn measure_edits() {
    let mut log = full_fleet(&TARGET_SIZE);
    let mut times = Vec::with_capacity(EDITS);
    for n in 0..EDITS {
        let (team, base) = (n % TARGET_SIZE.teams, 1 + (n / TARGET_SIZE.teams) as u64);
        let text = team_section(&TARGET_SIZE, team, 11 + n);
        let proposal = edit(
            &team_name(team),
            base,
            &text,
            &format!("{}-ops", team_name(team)),
        );
        let offset = log.state.offset();
        let bytes = log.encode(offset.0, proposal);
        let started = Instant::now();
        let verdict = log.state.apply(offset, &bytes).map(|(_, verdict)| verdict);
        times.push(started.elapsed());
        assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    }
    times.sort();
    println!(
        "fold=edit records={EDITS} p50_us={} p99_us={}",
        times[EDITS / 2].as_micros(),
        times[EDITS * 99 / 100].as_micros()
    );
}
