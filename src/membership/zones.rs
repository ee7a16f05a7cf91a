//! What is known of other data centres: one witness for each.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{DataCentre, MemberId};
use crate::peer::{Heard, Zone};

/// Silence after which a whole data centre is taken for cut off, in ms.
const SUSPECT_MS: u64 = 30_000;

/// Newest summaries of other data centres.
#[derive(Debug, Default)]
pub(super) struct Zones(IndexMap<DataCentre, Summary>);

#[derive(Debug)]
struct Summary {
    at: Instant,
    witness: Option<Heard>,
    suspects: Vec<MemberId>,
}

impl Zones {
    pub(super) fn watch(&mut self, data_centre: &DataCentre, now: Instant) {
        self.0.entry(data_centre.clone()).or_insert(Summary {
            at: now,
            witness: None,
            suspects: Vec::new(),
        });
    }

    /// Takes a summary whose witness has lived on since it was last heard of.
    pub(super) fn hear(&mut self, zone: &Zone, now: Instant) {
        let Some(known) = self.0.get_mut(&zone.data_centre) else {
            return;
        };
        known.at = now;
        known.witness = Some(zone.witness.clone());
        known.suspects.clone_from(&zone.suspects);
    }

    pub(super) fn summary(&self) -> Vec<Zone> {
        let known = self.0.iter().filter_map(|(data_centre, summary)| {
            Some(Zone {
                data_centre: data_centre.clone(),
                witness: summary.witness.clone()?,
                suspects: summary.suspects.clone(),
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
