//! Joining of sections that parses only those that have changed.

use std::sync::Arc;

use indexmap::IndexMap;

use super::check::{Parts, TeamPart, check};
use super::section::{FLEET_SECTION, START, missing_fleet};
use super::{Document, FleetSection, TeamSection, decode};
use crate::finding::{Finding, Findings};
use crate::id::{SectionId, TeamId};
use crate::jsonc::{self, Site};

/// Longest text of a section, in bytes.
pub const MAX_SECTION_BYTES: usize = 262_144; // bounds the time that a faulty edit takes in the fold

// A refusal is kept in the memory of every process.
const MAX_FINDINGS: usize = 100;

/// Decoded sections of the last valid document.
#[derive(Clone, Debug, Default)]
pub struct SectionCache {
    sections: IndexMap<SectionId, Cached>,
}

#[derive(Clone, Debug)]
struct Cached {
    text: Arc<str>,
    value: Value,
}

#[derive(Clone, Debug)]
enum Value {
    Fleet(Arc<FleetSection>),
    Team(TeamId, Arc<TeamSection>),
}

impl SectionCache {
    /// Joins sections as they were published; the result depends on `sections` alone.
    ///
    /// # Errors
    /// Gives every fault of the sections and between them; the cache then stays as it was.
    pub fn assemble(
        &mut self,
        sections: &IndexMap<SectionId, Arc<str>>,
    ) -> Result<Document, Findings> {
        let mut fresh = IndexMap::with_capacity(sections.len());
        let mut findings = Vec::new();
        // The order of arrival must not show, neither in the document nor in the findings.
        let mut ordered: Vec<_> = sections.iter().collect();
        ordered.sort_unstable_by_key(|(id, _)| *id);
        for (id, text) in ordered {
            match self.section(id, text) {
                Ok(cached) => {
                    fresh.insert(id.clone(), cached);
                }
                Err(Findings(found)) => findings.extend(found),
            }
        }
        let whole = findings.is_empty();
        findings.extend(join(sections, &fresh, whole));
        if !findings.is_empty() {
            return Err(Findings(bounded(findings)));
        }
        let document =
            document(&fresh).ok_or_else(|| Findings(vec![missing_fleet(FLEET_SECTION)]))?;
        self.sections = fresh;
        Ok(document)
    }

    fn section(&self, id: &SectionId, text: &Arc<str>) -> Result<Cached, Findings> {
        let known = self.sections.get(id);
        let same = known.filter(|known| Arc::ptr_eq(&known.text, text) || known.text == *text);
        if let Some(cached) = same {
            return Ok(cached.clone());
        }
        let file = id.as_str();
        if text.len() > MAX_SECTION_BYTES {
            return Err(Findings(vec![too_long(file, text.len())]));
        }
        let value = if file == FLEET_SECTION {
            Value::Fleet(Arc::new(jsonc::read(file, text, decode::fleet)?))
        } else {
            let team = jsonc::read(file, text, decode::team)?;
            Value::Team(TeamId::from(file), Arc::new(team))
        };
        let text = Arc::clone(text);
        Ok(Cached { text, value })
    }
}

fn too_long(file: &str, bytes: usize) -> Finding {
    Finding {
        file: file.to_owned(),
        place: START,
        message: format!("section has {bytes} bytes, at most {MAX_SECTION_BYTES} are allowed"),
    }
}

/// The first findings, and how many more there are.
fn bounded(mut findings: Vec<Finding>) -> Vec<Finding> {
    let more = findings.len().saturating_sub(MAX_FINDINGS);
    findings.truncate(MAX_FINDINGS);
    if let Some(last) = findings.last().filter(|_| more > 0) {
        let message = format!("{more} more findings; `amaranthwick check` shows all");
        let last = last.clone();
        findings.push(Finding { message, ..last });
    }
    findings
}

/// Checks between sections; each section is a file of its own.
fn join(
    sections: &IndexMap<SectionId, Arc<str>>,
    decoded: &IndexMap<SectionId, Cached>,
    whole: bool,
) -> Vec<Finding> {
    let mut fleet = None;
    let mut teams = Vec::new();
    for (id, cached) in decoded {
        let site = Site::new(id.as_str(), &cached.text, &[]);
        match &cached.value {
            Value::Fleet(value) => fleet = Some((site, value)),
            Value::Team(id, team) => teams.push(TeamPart { id, site, team }),
        }
    }
    let Some((site, value)) = fleet else {
        let absent = !sections.contains_key(&SectionId::from(FLEET_SECTION));
        let name = sections
            .keys()
            .next()
            .map_or(FLEET_SECTION, SectionId::as_str);
        return absent.then(|| missing_fleet(name)).into_iter().collect();
    };
    check(&Parts {
        fleet: site,
        fleet_value: value,
        teams,
        whole,
    })
}

fn document(sections: &IndexMap<SectionId, Cached>) -> Option<Document> {
    let mut fleet = None;
    let mut teams = IndexMap::with_capacity(sections.len());
    for cached in sections.values() {
        match &cached.value {
            Value::Fleet(value) => fleet = Some(FleetSection::clone(value)),
            Value::Team(id, team) => {
                teams.insert(id.clone(), TeamSection::clone(team));
            }
        }
    }
    Some(Document::new(fleet?, teams))
}
