//! Reads whole documents and single sections.

use std::sync::Arc;

use indexmap::IndexMap;

use super::cache::{MAX_SECTION_BYTES, SectionCache};
use super::check::{LocatedSections, LocatedTeam, check};
use super::{Document, FleetSection, TeamSection, decode};
use crate::finding::{Finding, Findings, Place};
use crate::id::{SectionId, TeamId};
use crate::jsonc::{self, Entry, Node, SectionSource};

/// Name of the section common to all teams.
pub const FLEET_SECTION: &str = "fleet";

const TEAMS: &str = "teams";
pub(super) const FILE_START: Place = Place { line: 1, column: 1 };

/// Parses and checks a whole document: `{ "fleet": {...}, "teams": { "name": {...} } }`.
///
/// # Errors
/// Returns all faults in the text and between its sections, in the order of the text.
pub fn parse(file: &str, text: &str) -> Result<Document, Findings> {
    let survey = jsonc::decode_partial(file, text, decode_sections);
    let mut findings = survey.findings;
    let sections = survey.value.flatten().unwrap_or_default();
    let Some(fleet_section) = &sections.fleet else {
        return Err(Findings(findings));
    };
    let located = LocatedSections {
        fleet_site: SectionSource::new(file, text, &[FLEET_SECTION]),
        fleet: fleet_section,
        teams: sections
            .teams
            .iter()
            .map(|(id, section)| LocatedTeam {
                id,
                site: SectionSource::new(file, text, &[TEAMS, id.as_str()]),
                section,
            })
            .collect(),
        all_decoded: sections.all_decoded,
    };
    findings.extend(check(&located));
    if !findings.is_empty() {
        findings.sort_by_key(|finding| finding.place);
        return Err(Findings(findings));
    }
    Ok(Document::new(fleet_section.clone(), sections.teams))
}

/// Builds a document from the texts of published sections.
///
/// # Errors
/// Returns the faults in and between the sections, as [`SectionCache::assemble`] does; a finding
/// names its section as the file.
pub fn assemble(sections: &IndexMap<SectionId, Arc<str>>) -> Result<Document, Findings> {
    SectionCache::default().assemble(sections)
}

/// Returns the exact text of one section of a whole document, with the comments inside it.
///
/// # Errors
/// Returns the syntax error of the text, or a finding that it has no such section.
pub fn section_text(file: &str, text: &str, section: &SectionId) -> Result<String, Findings> {
    jsonc::read(file, text, |_| Some(()))?;
    let path: &[&str] = match section.as_str() {
        FLEET_SECTION => &[FLEET_SECTION],
        team => &[TEAMS, team],
    };
    let span = jsonc::value_range(text, path);
    let found = span.map(|span| text[span.start..span.end].to_owned());
    found.ok_or_else(|| {
        Findings(vec![Finding {
            file: file.to_owned(),
            place: FILE_START,
            message: format!("no section `{section}`"),
        }])
    })
}

/// Sections that could be decoded.
#[derive(Default)]
struct DecodedSections {
    fleet: Option<FleetSection>,
    teams: IndexMap<TeamId, TeamSection>,
    /// True when no section of a team failed to decode.
    all_decoded: bool,
}

fn decode_sections(root: Node<'_>) -> Option<DecodedSections> {
    let fields = root.fields(&[FLEET_SECTION, TEAMS])?;
    let fleet = fields.required(FLEET_SECTION).and_then(|node| {
        check_section_size(node);
        decode::fleet(node)
    });
    let entries = fields.required(TEAMS).and_then(Node::entries)?;
    let expected = entries.len();
    let teams: IndexMap<TeamId, TeamSection> = entries.iter().filter_map(decode_team).collect();
    let all_decoded = teams.len() == expected;
    Some(DecodedSections {
        fleet,
        teams,
        all_decoded,
    })
}

fn decode_team(entry: &Entry<'_>) -> Option<(TeamId, TeamSection)> {
    let name = entry.name();
    if name == Some(FLEET_SECTION) {
        entry.report(format!("`{FLEET_SECTION}` can't be the name of a team"));
    }
    check_section_size(entry.node);
    let team = decode::team(entry.node);
    Some((TeamId::from(name?), team?))
}

/// Reports a section that is too long to be published.
fn check_section_size(node: Node<'_>) {
    let bytes = node.byte_len();
    if bytes > MAX_SECTION_BYTES {
        node.report(format!(
            "section has {bytes} bytes, at most {MAX_SECTION_BYTES} are allowed"
        ));
    }
}

/// Makes the finding that there is no fleet section.
pub(super) fn missing_fleet(file: &str) -> Finding {
    Finding {
        file: file.to_owned(),
        place: FILE_START,
        message: format!("no `{FLEET_SECTION}` section has been published"),
    }
}
