//! Builds a document from its sections and decodes only the sections that have changed.

use std::sync::Arc;

use indexmap::IndexMap;

use super::check::{LocatedSections, LocatedTeam, check};
use super::section::{FILE_START, FLEET_SECTION, missing_fleet};
use super::{Document, FleetSection, TeamSection, decode};
use crate::finding::{Finding, Findings};
use crate::id::{SectionId, TeamId};
use crate::jsonc::{self, SectionSource};

/// Maximum length of a section's text, in bytes; bounds the time that replaying the log spends on
/// a faulty edit.
pub const MAX_SECTION_BYTES: usize = 262_144;

// Every process keeps the findings of a refusal in memory.
const MAX_FINDINGS: usize = 100;

/// Decoded sections of the last valid document, for reuse when the next one is built.
#[derive(Clone, Debug, Default)]
pub struct SectionCache {
    sections: IndexMap<SectionId, CachedSection>,
}

#[derive(Clone, Debug)]
struct CachedSection {
    text: Arc<str>,
    section: DecodedSection,
}

#[derive(Clone, Debug)]
enum DecodedSection {
    Fleet(Arc<FleetSection>),
    Team(TeamId, Arc<TeamSection>),
}

impl SectionCache {
    /// Builds a document from the texts of published sections; the result depends only on
    /// `sections`, not on their order or on the cache.
    ///
    /// # Errors
    /// Returns the faults in and between the sections, at most 100 of them and the number of the
    /// others; the cache is then unchanged.
    pub fn assemble(
        &mut self,
        sections: &IndexMap<SectionId, Arc<str>>,
    ) -> Result<Document, Findings> {
        let mut decoded = IndexMap::with_capacity(sections.len());
        let mut findings = Vec::new();
        // Neither the document nor the findings may depend on the order of publication.
        let mut sorted: Vec<_> = sections.iter().collect();
        sorted.sort_unstable_by_key(|(id, _)| *id);
        for (id, text) in sorted {
            match self.decode_section(id, text) {
                Ok(cached) => {
                    decoded.insert(id.clone(), cached);
                }
                Err(Findings(found)) => findings.extend(found),
            }
        }
        let all_decoded = findings.is_empty();
        findings.extend(check_sections(sections, &decoded, all_decoded));
        if !findings.is_empty() {
            return Err(Findings(truncate_findings(findings)));
        }
        let document =
            build_document(&decoded).ok_or_else(|| Findings(vec![missing_fleet(FLEET_SECTION)]))?;
        self.sections = decoded;
        Ok(document)
    }

    fn decode_section(&self, id: &SectionId, text: &Arc<str>) -> Result<CachedSection, Findings> {
        let cached = self.sections.get(id);
        let unchanged =
            cached.filter(|cached| Arc::ptr_eq(&cached.text, text) || cached.text == *text);
        if let Some(cached) = unchanged {
            return Ok(cached.clone());
        }
        let file = id.as_str();
        if text.len() > MAX_SECTION_BYTES {
            return Err(Findings(vec![section_too_long(file, text.len())]));
        }
        let section = if file == FLEET_SECTION {
            DecodedSection::Fleet(Arc::new(jsonc::read(file, text, decode::fleet)?))
        } else {
            let team = jsonc::read(file, text, decode::team)?;
            DecodedSection::Team(TeamId::from(file), Arc::new(team))
        };
        let text = Arc::clone(text);
        Ok(CachedSection { text, section })
    }
}

fn section_too_long(file: &str, bytes: usize) -> Finding {
    Finding {
        file: file.to_owned(),
        place: FILE_START,
        message: format!("section has {bytes} bytes, at most {MAX_SECTION_BYTES} are allowed"),
    }
}

/// Keeps the first findings and adds one that says how many were left out.
fn truncate_findings(mut findings: Vec<Finding>) -> Vec<Finding> {
    let omitted = findings.len().saturating_sub(MAX_FINDINGS);
    findings.truncate(MAX_FINDINGS);
    if let Some(last) = findings.last().filter(|_| omitted > 0) {
        let message = format!("{omitted} more findings; `amaranthwick check` shows all");
        let last = last.clone();
        findings.push(Finding { message, ..last });
    }
    findings
}

/// Runs the checks between sections; a finding names its section as the file.
fn check_sections(
    sections: &IndexMap<SectionId, Arc<str>>,
    decoded: &IndexMap<SectionId, CachedSection>,
    all_decoded: bool,
) -> Vec<Finding> {
    let mut fleet = None;
    let mut teams = Vec::new();
    for (id, cached) in decoded {
        let site = SectionSource::new(id.as_str(), &cached.text, &[]);
        match &cached.section {
            DecodedSection::Fleet(section) => fleet = Some((site, section)),
            DecodedSection::Team(id, section) => teams.push(LocatedTeam { id, site, section }),
        }
    }
    let Some((site, fleet_section)) = fleet else {
        let missing = !sections.contains_key(&SectionId::from(FLEET_SECTION));
        let name = sections
            .keys()
            .next()
            .map_or(FLEET_SECTION, SectionId::as_str);
        return missing.then(|| missing_fleet(name)).into_iter().collect();
    };
    check(&LocatedSections {
        fleet_site: site,
        fleet: fleet_section,
        teams,
        all_decoded,
    })
}

fn build_document(sections: &IndexMap<SectionId, CachedSection>) -> Option<Document> {
    let mut fleet = None;
    let mut teams = IndexMap::with_capacity(sections.len());
    for cached in sections.values() {
        match &cached.section {
            DecodedSection::Fleet(section) => fleet = Some(FleetSection::clone(section)),
            DecodedSection::Team(id, team) => {
                teams.insert(id.clone(), TeamSection::clone(team));
            }
        }
    }
    Some(Document::new(fleet?, teams))
}
