//! Time and memory that reading the capacity document takes; prints one line of key=value pairs
//! per case.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthwick::document::example::{self, DocumentSize};
use amaranthwick::document::{OperatorKey, SectionCache, assemble, parse, sign_edit, verify_edit};
use amaranthwick::id::{Revision, SectionId};
use indexmap::IndexMap;

/// Runs over which the time to parse or assemble a whole document is averaged.
const WHOLE_DOCUMENT_RUNS: u32 = 50;

/// Edits timed for each size, one section at a time.
const EDITS: usize = 2_000;

/// Documents held at once, over which memory is averaged.
const DOCUMENTS_HELD: u64 = 50;

/// The first of the edits, whose times are also summed.
const BURST_EDITS: usize = 200;

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
        measure_whole_document(size);
        measure_edits(size);
    }
    measure_memory(DocumentSize::DESIGN_SIZE);
    measure_faulty_section();
    measure_verification();
}

/// Time to parse a document from one text, and to assemble it from its sections.
fn measure_whole_document(size: DocumentSize) {
    let sections = example::sections(size);
    let bytes: usize = sections.values().map(|text| text.len()).sum();
    let text = document_text(&sections);
    let parsed = mean_time(WHOLE_DOCUMENT_RUNS, || {
        black_box(parse("a", &text).is_ok());
    });
    let assembled = mean_time(WHOLE_DOCUMENT_RUNS, || {
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

/// Time to assemble the document again after each edit of a section, with the other sections
/// cached.
fn measure_edits(size: DocumentSize) {
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
    let burst: Duration = times.iter().take(BURST_EDITS).sum();
    times.sort_unstable();
    println!(
        "case=edit teams={} pools={} edits={EDITS} p50_us={} p99_us={} burst={BURST_EDITS} burst_us={}",
        size.teams,
        size.pools,
        times[EDITS / 2].as_micros(),
        times[EDITS * 99 / 100].as_micros(),
        burst.as_micros()
    );
}

/// Time to refuse a section with a fault in every pool, which the fold must do quickly too.
fn measure_faulty_section() {
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
    let refused = mean_time(FAULTY_RUNS, || {
        assert!(cache.assemble(&sections).is_err());
    });
    println!(
        "case=faulty faults={FAULTY_POOLS} refused_us={}",
        refused.as_micros()
    );
}

/// Resident memory of a document together with its cache and texts, in kB.
fn measure_memory(size: DocumentSize) {
    let before = resident_kb();
    let held: Vec<_> = (0..DOCUMENTS_HELD)
        .map(|_| {
            let sections = example::sections(size);
            let mut cache = SectionCache::default();
            let document = cache.assemble(&sections).expect("valid");
            (sections, cache, document)
        })
        .collect();
    let each = resident_kb().saturating_sub(before) / DOCUMENTS_HELD;
    println!(
        "case=memory teams={} pools={} held={} each_kb={each}",
        size.teams,
        size.pools,
        held.len()
    );
}

/// Resident memory of this process, in kB; 0 if `/proc` does not say.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// Time to verify the signature of a team's section.
fn measure_verification() {
    let key: OperatorKey = example::operator_key("team-0-ops");
    let section = SectionId::new("team-0");
    let text = example::team_section(DocumentSize::DESIGN_SIZE, 0, 1);
    let signature = sign_edit(&key, &section, Revision(1), &text);
    let public = key.public();
    let verified = mean_time(1_000, || {
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

/// Text of the whole document; the first of `sections` is the fleet's.
fn document_text(sections: &IndexMap<SectionId, Arc<str>>) -> String {
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

/// Mean time of `runs` calls of `work`.
fn mean_time(runs: u32, mut work: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..runs {
        work();
    }
    start.elapsed() / runs
}
