//! The capacity document: examples, findings, checks between sections, signatures.

use std::sync::Arc;

use amaranthwick::document::{
    self, Access, Document, FLEET, example, key_hash, section_text, sign, verify,
};
use amaranthwick::id::{OperatorId, Revision, SectionId};
use indexmap::IndexMap;
use rstest::rstest;

const NERETVA: &str = include_str!("../examples/neretva.jsonc");
const KON_JALAN: &str = include_str!("../examples/kon-jalan.jsonc");

fn parse(text: &str) -> Document {
    document::parse("a.jsonc", text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Sections of a valid whole document, as they are published.
fn sections(text: &str) -> IndexMap<SectionId, Arc<str>> {
    let document = parse(text);
    let teams = document.teams.keys().map(|id| id.as_str().to_owned());
    std::iter::once(FLEET.to_owned())
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
fn examples_have_the_size_of_today(#[case] text: &str) {
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
    assert!((45..=55).contains(&vms(document::Kind::Executor)));
    assert!((45..=55).contains(&vms(document::Kind::Worker)));
    assert!(queues.any(|queue| queue.access == Access::Open));
}

#[rstest]
#[case::neretva(NERETVA)]
#[case::kon_jalan(KON_JALAN)]
fn example_keys_follow_the_published_rule(#[case] text: &str) {
    let document = parse(text);

    for (id, team) in &document.teams {
        let operator = format!("{id}-ops");
        let owner = format!("{id}-owner");
        let hashes: Vec<_> = team.keys.values().map(|key| key.sha256).collect();
        assert_eq!(hashes, [key_hash(&example::secret(id.as_str()))]);
        assert_eq!(
            team.operators[&OperatorId::new(&operator)],
            example::operator(&operator).public()
        );
        assert_eq!(
            document.fleet.owners[id],
            example::operator(&owner).public()
        );
    }
}

#[rstest]
#[case::neretva(NERETVA)]
#[case::kon_jalan(KON_JALAN)]
fn sections_join_to_the_whole(#[case] text: &str) {
    let sections = sections(text);

    let joined = document::assemble(&sections).unwrap_or_else(|findings| panic!("{findings}"));

    assert_eq!(joined, parse(text));
}

#[test]
fn signature_holds_for_one_edit_alone() {
    let key = example::operator("herds-ops");
    let section = SectionId::new("herds");
    let signature = sign(&key, &section, Revision(3), "{}");

    let check = |section: &str, base, text| {
        let section = SectionId::new(section);
        verify(&key.public(), &section, Revision(base), text, &signature)
    };

    assert!(check("herds", 3, "{}"));
    assert!(!check("herd", 3, "{}"));
    assert!(!check("herds", 4, "{}"));
    assert!(!check("herds", 3, "{ }"));
    let other = example::operator("claims-ops").public();
    assert!(!verify(&other, &section, Revision(3), "{}", &signature));
}
