//! What is known of other data centres: one witness for each.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{DataCentre, MemberId};
use crate::peer::{DataCentreSummary, LastHeard};

/// Silence after which a whole data centre is taken for cut off, in ms.
const SUSPECT_MS: u64 = 25_000;

/// Newest summaries of other data centres.
#[derive(Debug, Default)]
pub(super) struct Zones(IndexMap<DataCentre, Summary>);

#[derive(Debug)]
struct Summary {
    at: Instant,
    /// Since when nothing is known of some member that is not suspected.
    heard: Option<Instant>,
    witness: Option<LastHeard>,
    suspects: Vec<MemberId>,
}

impl Zones {
    pub(super) fn watch(&mut self, data_centre: &DataCentre, now: Instant) {
        self.0.entry(data_centre.clone()).or_insert(Summary {
            at: now,
            heard: None,
            witness: None,
            suspects: Vec::new(),
        });
    }

    /// Takes a summary whose witness has lived on since it was last heard of.
    pub(super) fn hear(&mut self, zone: &DataCentreSummary, now: Instant) {
        let Some(known) = self.0.get_mut(&zone.data_centre) else {
            return;
        };
        let lived = now.checked_sub(Duration::from_millis(zone.reporter.age_ms));
        known.at = lived.unwrap_or(known.at);
        let age = Duration::from_millis(zone.age_ms);
        known.heard = known.heard.max(now.checked_sub(age));
        known.witness = Some(zone.reporter.clone());
        known.suspects.clone_from(&zone.suspects);
    }

    pub(super) fn summary(&self, now: Instant) -> Vec<DataCentreSummary> {
        let known = self.0.iter().filter_map(|(data_centre, summary)| {
            let mut witness = summary.witness.clone()?;
            witness.age_ms = age_ms(summary.at, now);
            Some(DataCentreSummary {
                data_centre: data_centre.clone(),
                reporter: witness,
                suspects: summary.suspects.clone(),
                age_ms: age_ms(summary.heard?, now),
            })
        });
        known.collect()
    }

    pub(super) fn is_alive(&self, data_centre: &DataCentre, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_MS);
        self.0
            .get(data_centre)
            .is_some_and(|summary| now.saturating_duration_since(summary.at) < limit)
    }

    /// Until when all members that are not suspected are known to have heard no more of
    /// the log than this process; not moved by a pause of this process.
    pub(super) fn heard(&self, data_centre: &DataCentre) -> Option<Instant> {
        self.0.get(data_centre).and_then(|summary| summary.heard)
    }

    pub(super) fn is_suspected(&self, data_centre: &DataCentre, id: &MemberId) -> bool {
        self.0
            .get(data_centre)
            .is_some_and(|summary| summary.suspects.contains(id))
    }

    pub(super) fn excuse(&mut self, pause: Duration, now: Instant) {
        for summary in self.0.values_mut() {
            summary.at = (summary.at + pause).min(now);
        }
    }
}

/// Age of what was known at `at`, in ms.
pub(super) fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX)
}
