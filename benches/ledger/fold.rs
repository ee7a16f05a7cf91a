//! Proposals folded a second on one core, by kind.

use std::time::Instant;

use amaranthwick::ledger::{Proposal, Verdict};

use crate::fleet::{
    self, AIM, ENTRIES, Writer, assign, edit, full, register, submit, team, team_text, transfer,
};

const RECORDS: usize = 100_000;
const EDITS: usize = 300;

pub(crate) fn run() {
    let steady: Vec<Proposal> = (0..RECORDS).map(mixed).collect();
    measure("mixed", &steady);
    measure("register", &collect(|n| register(n % ENTRIES)));
    measure(
        "transfer",
        &collect(|n| transfer(n / 2 % AIM.teams, 0, n % 2 == 1)),
    );
    measure("assign", &collect(moved));
    measure("submit", &collect(|n| submit(n, AIM.teams)));
    updates();
    forged();
    edits();
}

/// Jobs that are placed and end, with as many waiting.
fn updates() {
    let mut writer = full(&AIM);
    let jobs = RECORDS / 4;
    for n in 0..2 * jobs {
        writer.accept(submit(n, AIM.teams));
    }
    for n in 0..AIM.teams {
        writer.accept(fleet::share(n, 100));
    }
    let start = writer.state.offset();
    let records: Vec<Vec<u8>> = (0..2 * jobs)
        .map(|n| writer.bytes(start.0 + n as u64, fleet::update(n / 2, n % 2)))
        .collect();
    let began = Instant::now();
    let accepted = fold(&mut writer, &records);
    let rate = records.len() as f64 / began.elapsed().as_secs_f64();
    println!(
        "fold=update records={} accepted={accepted} rate_per_s={rate:.0}",
        records.len()
    );
}

fn collect(proposal: impl Fn(usize) -> Proposal) -> Vec<Proposal> {
    (0..RECORDS).map(proposal).collect()
}

/// Moves each VM on by one pool, round after round.
fn moved(n: usize) -> Proposal {
    let (vm, round) = (n % AIM.workers, n / AIM.workers);
    let from = (vm + round) % AIM.pools;
    assign(vm, Some(from), (from + 1) % AIM.pools)
}

/// As many transfers as renewals, moves and jobs together.
fn mixed(n: usize) -> Proposal {
    match n % 8 {
        0 => register(n % ENTRIES),
        2 => moved(n / 8),
        4 => submit(n, AIM.teams),
        6 => register(n / 8 % ENTRIES),
        _ => transfer(n / 4 % AIM.teams, 0, n % 4 == 3),
    }
}

fn measure(name: &str, proposals: &[Proposal]) {
    let mut writer = full(&AIM);
    let start = writer.state.offset();
    let records: Vec<Vec<u8>> = (start.0..)
        .zip(proposals)
        .map(|(after, proposal)| writer.bytes(after, proposal.clone()))
        .collect();
    let bytes: usize = records.iter().map(Vec::len).sum();
    let began = Instant::now();
    let accepted = fold(&mut writer, &records);
    let time = began.elapsed();
    let rate = records.len() as f64 / time.as_secs_f64();
    println!(
        "fold={name} records={} accepted={accepted} rate_per_s={rate:.0} bytes_per_record={}",
        records.len(),
        bytes / records.len()
    );
}

fn fold(writer: &mut Writer, records: &[Vec<u8>]) -> usize {
    let mut accepted = 0;
    for bytes in records {
        let offset = writer.state.offset();
        if let Some((_, Verdict::Accepted(_))) = writer.state.apply(offset, bytes) {
            accepted += 1;
        }
    }
    accepted
}

/// Records of another fleet, as a stranger might append.
fn forged() {
    let mut writer = full(&AIM);
    let mut bytes = writer.bytes(0, register(0));
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    let records = vec![bytes; RECORDS];
    let began = Instant::now();
    fold(&mut writer, &records);
    let rate = RECORDS as f64 / began.elapsed().as_secs_f64();
    println!("fold=forged records={RECORDS} rate_per_s={rate:.0}");
}

fn edits() {
    let mut writer = full(&AIM);
    let mut times = Vec::with_capacity(EDITS);
    for n in 0..EDITS {
        let (at, base) = (n % AIM.teams, 1 + (n / AIM.teams) as u64);
        let text = team_text(&AIM, at, 11 + n);
        let proposal = edit(&team(at), base, &text, &format!("{}-ops", team(at)));
        let offset = writer.state.offset();
        let bytes = writer.bytes(offset.0, proposal);
        let began = Instant::now();
        let verdict = writer
            .state
            .apply(offset, &bytes)
            .map(|(_, verdict)| verdict);
        times.push(began.elapsed());
        assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    }
    times.sort();
    println!(
        "fold=edit records={EDITS} p50_us={} p99_us={}",
        times[EDITS / 2].as_micros(),
        times[EDITS * 99 / 100].as_micros()
    );
}
