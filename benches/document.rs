//! Cost of reading the capacity document, printed as one line of key=value pairs a case.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthwick::document::example::{self, DocumentSize};
use amaranthwick::document::{OperatorKey, SectionCache, assemble, parse, sign_edit, verify_edit};
use amaranthwick::id::{Revision, SectionId};
use indexmap::IndexMap;

const WHOLE_RUNS: u32 = 50;
const EDITS: usize = 2_000;
const HELD: u64 = 50;
const BURST: usize = 200;
const FAULTY_POOLS: usize = 5_000;
const FAULTY_RUNS: u32 = 5;
const SIZES: [DocumentSize; 3] = [
    DocumentSize {
        teams: 6,
        pools: 6,
        data_centres: 3,
    },
    DocumentSize {
        teams: 70,
        pools: 35,
        data_centres: 10,
    },
    DocumentSize::DESIGN_SIZE,
];

fn main() {
    for size in SIZES {
        whole(size);
        edits(size);
    }
    memory(DocumentSize::DESIGN_SIZE);
    faulty();
    signatures();
}

fn whole(size: DocumentSize) {
    let sections = example::sections(size);
    let bytes: usize = sections.values().map(|text| text.len()).sum();
    let text = joined(&sections);
    let parsed = mean(WHOLE_RUNS, || {
        black_box(parse("a", &text).is_ok());
    });
    let assembled = mean(WHOLE_RUNS, || {
        black_box(assemble(&sections).is_ok());
    });
    println!(
        "case=whole teams={} pools={} data_centres={} bytes={bytes} parse_us={} assemble_us={}",
        size.teams,
        size.pools,
        size.data_centres,
        parsed.as_micros(),
        assembled.as_micros()
    );
}

fn edits(size: DocumentSize) {
    let mut sections = example::sections(size);
    let mut cache = SectionCache::default();
    cache.assemble(&sections).expect("valid");
    let mut times: Vec<Duration> = (0..EDITS)
        .map(|n| {
            let i = n % size.teams;
            let id = SectionId::new(&format!("team-{i}"));
            let text = example::team_section(size, i, 2 + n);
            sections.insert(id, Arc::from(text));
            let start = Instant::now();
            black_box(cache.assemble(&sections).expect("valid"));
            start.elapsed()
        })
        .collect();
    let burst: Duration = times.iter().take(BURST).sum();
    times.sort_unstable();
    println!(
        "case=edit teams={} pools={} edits={EDITS} p50_us={} p99_us={} burst={BURST} burst_us={}",
        size.teams,
        size.pools,
        times[EDITS / 2].as_micros(),
        times[EDITS * 99 / 100].as_micros(),
        burst.as_micros()
    );
}

/// A section with a fault in every pool; the fold must refuse it quickly too.
fn faulty() {
    let size = DocumentSize::DESIGN_SIZE;
    let mut text = example::team_section(size, size.teams - 1, 1);
    let mut pools = String::from("\"pools\": {");
    for i in 0..FAULTY_POOLS {
        pools.push_str("\n\"p");
        pools.push_str(&i.to_string());
        pools.push_str("\": { \"class\": \"none\", \"vms\": {} },");
    }
    pools.push_str("},\n\"keys\"");
    text = text.replace("\"keys\"", &pools);
    let mut sections = example::sections(size);
    let id = SectionId::new(&format!("team-{}", size.teams - 1));
    let mut cache = SectionCache::default();
    cache.assemble(&sections).expect("valid");
    sections.insert(id, Arc::from(text));
    let refused = mean(FAULTY_RUNS, || {
        assert!(cache.assemble(&sections).is_err());
    });
    println!(
        "case=faulty faults={FAULTY_POOLS} refused_us={}",
        refused.as_micros()
    );
}

/// Resident memory of a document together with its cache and texts.
fn memory(size: DocumentSize) {
    let before = resident_kb();
    let held: Vec<_> = (0..HELD)
        .map(|_| {
            let sections = example::sections(size);
            let mut cache = SectionCache::default();
            let document = cache.assemble(&sections).expect("valid");
            (sections, cache, document)
        })
        .collect();
    let each = resident_kb().saturating_sub(before) / HELD;
    println!(
        "case=memory teams={} pools={} held={} each_kb={each}",
        size.teams,
        size.pools,
        held.len()
    );
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

fn signatures() {
    let key: OperatorKey = example::operator_key("team-0-ops");
    let section = SectionId::new("team-0");
    let text = example::team_section(DocumentSize::DESIGN_SIZE, 0, 1);
    let signature = sign_edit(&key, &section, Revision(1), &text);
    let public = key.public();
    let verified = mean(1_000, || {
        assert!(verify_edit(
            &public,
            &section,
            Revision(1),
            &text,
            &signature
        ));
    });
    println!(
        "case=verify bytes={} verify_us={}",
        text.len(),
        verified.as_micros()
    );
}

fn joined(sections: &IndexMap<SectionId, Arc<str>>) -> String {
    let mut sections = sections.iter();
    let fleet = sections.next().map_or("", |(_, text)| text);
    let teams: Vec<String> = sections
        .map(|(id, text)| format!("\"{id}\": {text}"))
        .collect();
    format!(
        "{{ \"fleet\": {fleet}, \"teams\": {{ {} }} }}",
        teams.join(",\n")
    )
}

fn mean(runs: u32, mut work: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..runs {
        work();
    }
    start.elapsed() / runs
}
