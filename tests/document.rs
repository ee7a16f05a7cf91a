//! Tests of the capacity document: examples, sections, signatures and the section cache.

use std::sync::Arc;

use amaranthwick::document::{
    self, Access, Document, FLEET_SECTION, MAX_SECTION_BYTES, SectionCache, example, key_hash,
    section_text, sign_edit, verify_edit,
};
use amaranthwick::finding::Findings;
use amaranthwick::id::{OperatorId, Revision, SectionId};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const NERETVA: &str = include_str!("../examples/neretva.jsonc");
const KON_JALAN: &str = include_str!("../examples/kon-jalan.jsonc");

fn parse(text: &str) -> Document {
    document::parse("a.jsonc", text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Texts of the sections of a valid document, as they are published.
fn sections(text: &str) -> IndexMap<SectionId, Arc<str>> {
    let document = parse(text);
    let teams = document.teams.keys().map(|id| id.as_str().to_owned());
    std::iter::once(FLEET_SECTION.to_owned())
        .chain(teams)
        .map(|name| {
            let id = SectionId::new(&name);
            let text = section_text("a.jsonc", text, &id).expect("section");
            (id, Arc::from(text))
        })
        .collect()
}

#[rstest]
#[case::neretva(NERETVA)]
#[case::kon_jalan(KON_JALAN)]
fn examples_have_the_expected_size(#[case] text: &str) {
    let document = parse(text);

    let vms = |kind| -> u32 {
        let pools = document.teams.values().flat_map(|team| team.pools.values());
        pools
            .filter(|pool| document.fleet.classes[&pool.class].kind == kind)
            .flat_map(|pool| pool.vms.values())
            .sum()
    };
    let mut queues = document
        .teams
        .values()
        .flat_map(|team| team.queues.values());
    assert_eq!(document.fleet.data_centres.len(), 3);
    assert_eq!(document.fleet.services.len(), 5);
    assert_eq!(document.teams.len(), 6);
    assert!((45..=55).contains(&vms(document::TargetKind::Executor)));
    assert!((45..=55).contains(&vms(document::TargetKind::Worker)));
    assert!(queues.any(|queue| queue.access == Access::Open));
}

#[rstest]
#[case::neretva(NERETVA)]
#[case::kon_jalan(KON_JALAN)]
fn example_keys_are_derived_from_names(#[case] text: &str) {
    let document = parse(text);

    for (id, team) in &document.teams {
        let operator = format!("{id}-ops");
        let owner = format!("{id}-owner");
        let hashes: Vec<_> = team.keys.values().map(|key| key.sha256).collect();
        assert_eq!(hashes, [key_hash(&example::caller_secret(id.as_str()))]);
        assert_eq!(
            team.operators[&OperatorId::new(&operator)],
            example::operator_key(&operator).public()
        );
        assert_eq!(
            document.fleet.owners[id],
            example::operator_key(&owner).public()
        );
    }
}

#[rstest]
#[case::neretva(NERETVA)]
#[case::kon_jalan(KON_JALAN)]
fn assembled_sections_equal_the_whole_document(#[case] text: &str) {
    let sections = sections(text);

    let joined = document::assemble(&sections).unwrap_or_else(|findings| panic!("{findings}"));

    assert_eq!(joined, parse(text));
}

#[test]
fn signature_is_valid_for_exactly_one_edit() {
    let key = example::operator_key("herds-ops");
    let section = SectionId::new("herds");
    let signature = sign_edit(&key, &section, Revision(3), "{}");

    let check = |section: &str, base, text| {
        let section = SectionId::new(section);
        verify_edit(&key.public(), &section, Revision(base), text, &signature)
    };

    assert!(check("herds", 3, "{}"));
    assert!(!check("herd", 3, "{}"));
    assert!(!check("herds", 4, "{}"));
    assert!(!check("herds", 3, "{ }"));
    let other = example::operator_key("claims-ops").public();
    assert!(!verify_edit(
        &other,
        &section,
        Revision(3),
        "{}",
        &signature
    ));
}

#[test]
fn section_text_has_only_the_comments_inside_it() {
    let text = "{ \"fleet\": 1, \"teams\": { // a\n  \"herds\": { // b\n    \"share\": 1 /* c */ } // d\n} }";

    let herds = section_text("a", text, &SectionId::new("herds"));
    let claims = section_text("a", text, &SectionId::new("claims"));

    assert_eq!(herds.as_deref(), Ok("{ // b\n    \"share\": 1 /* c */ }"));
    let findings = claims.expect_err("missing").to_string();
    assert_eq!(findings, "a:1:1: no section `claims`");
}

#[test]
fn sections_before_the_fleet_section_are_refused() {
    let mut sections = sections(NERETVA);
    sections.shift_remove(&SectionId::from(FLEET_SECTION));

    let findings = document::assemble(&sections).expect_err("no fleet section");

    let expected = "claims:1:1: no `fleet` section has been published";
    assert_eq!(findings.to_string(), expected);
}

#[test]
fn sections_can_be_published_one_by_one() {
    let mut published = IndexMap::new();

    for (id, text) in sections(KON_JALAN) {
        published.insert(id, text);
        let result = document::assemble(&published);
        assert!(result.is_ok(), "{result:?}");
    }
}

#[test]
fn findings_of_published_sections_are_limited() {
    let unknown = |i: usize| format!("\"field-{i}\": 1,");
    let fields: Vec<String> = (0..1_000).map(unknown).collect();
    let text =
        example::team_section(SMALL, 0, 1).replacen('{', &format!("{{{}", fields.concat()), 1);
    let mut sections = example::sections(SMALL);
    sections.insert(SectionId::new("team-0"), Arc::from(text));

    let Findings(findings) = document::assemble(&sections).expect_err("faulty");

    assert_eq!(findings.len(), 101);
    let last = "900 more findings; `amaranthwick check` shows all";
    assert_eq!(findings[100].message, last);
}

#[test]
fn section_length_is_limited() {
    let padded = |bytes: usize| {
        let text = example::team_section(SMALL, 0, 1);
        let padding = " ".repeat(bytes - text.trim_end().len());
        text.trim_end().replacen('{', &format!("{{{padding}"), 1)
    };
    let assemble = |text: String| {
        let mut sections = example::sections(SMALL);
        sections.insert(SectionId::new("team-0"), Arc::from(text));
        document::assemble(&sections).map(drop)
    };
    let whole =
        |text: String| format!("{{ \"fleet\": {{}}, \"teams\": {{ \"team-0\": {text} }} }}");

    let fits = assemble(padded(MAX_SECTION_BYTES));
    let published = assemble(padded(MAX_SECTION_BYTES + 1));
    let checked = document::parse("a", &whole(padded(MAX_SECTION_BYTES + 1)));

    let message = "section has 262145 bytes, at most 262144 are allowed";
    assert_eq!(fits, Ok(()));
    let published = published.expect_err("too long").to_string();
    assert_eq!(published, format!("team-0:1:1: {message}"));
    let checked = checked.expect_err("too long").to_string();
    assert!(checked.contains(&format!("a:1:37: {message}")), "{checked}");
}

/// Text to replace the section of a team: valid (kinds 0 to 3), valid in some documents only (4 to 6)
/// or not valid JSON (7).
fn replacement(team: usize, kind: usize) -> String {
    let text = example::team_section(SMALL, team, 1 + kind);
    match kind {
        0..=3 => text,
        4 => text.replace("\"ceiling\": 100", "\"ceiling\": 100000"),
        5 => text.replace("team-", "team-1"),
        6 => example::team_section(SMALL, (team + 1) % SMALL.teams, 1),
        _ => text.replace('}', ""),
    }
}

const SMALL: example::DocumentSize = example::DocumentSize {
    teams: 6,
    pools: 4,
    data_centres: 3,
};

proptest! {
    #![proptest_config(Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(20_262),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn cached_assembly_equals_assembly_without_a_cache(
        edits in prop::collection::vec((0..SMALL.teams, 0..8_usize), 1..30),
    ) {
        let mut accepted = example::sections(SMALL);
        let mut cache = SectionCache::default();

        for (team, kind) in edits {
            let mut edited = accepted.clone();
            let id = SectionId::new(&format!("team-{team}"));
            edited.insert(id, Arc::from(replacement(team, kind)));
            let cached = cache.assemble(&edited);
            let mut reversed = edited.clone();
            reversed.reverse();
            let fresh = document::assemble(&reversed);
            // Maps compare equal in any order; the debug form shows the order too.
            prop_assert_eq!(format!("{cached:?}"), format!("{fresh:?}"));
            if cached.is_ok() {
                accepted = edited;
            }
        }
    }
}
