//! Liveness of other data centres, known through one reporter in each.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{DataCentre, MemberId};
use crate::peer::{DataCentreSummary, LastHeard};

/// Time without a newer heartbeat of any reporter after which a whole data centre counts as
/// unreachable, in ms.
const SUSPECT_DATA_CENTRE_AFTER_MS: u64 = 25_000;

/// Newest summary of each other data centre.
#[derive(Debug, Default)]
pub(super) struct RemoteDataCentres(IndexMap<DataCentre, Summary>);

#[derive(Debug)]
struct Summary {
    reporter_heard_at: Instant,
    /// Time of the oldest among the newest heartbeats of its members that are not suspected;
    /// `None` before the first summary.
    complete_until: Option<Instant>,
    reporter: Option<LastHeard>,
    suspects: Vec<MemberId>,
}

impl RemoteDataCentres {
    pub(super) fn insert(&mut self, data_centre: &DataCentre, now: Instant) {
        self.0.entry(data_centre.clone()).or_insert(Summary {
            reporter_heard_at: now,
            complete_until: None,
            reporter: None,
            suspects: Vec::new(),
        });
    }

    /// Takes over a summary; its reporter must have made a newer heartbeat than the known one.
    pub(super) fn update(&mut self, summary: &DataCentreSummary, now: Instant) {
        let Some(known) = self.0.get_mut(&summary.data_centre) else {
            return;
        };
        let reporter_heard_at = now.checked_sub(Duration::from_millis(summary.reporter.age_ms));
        known.reporter_heard_at = reporter_heard_at.unwrap_or(known.reporter_heard_at);
        let age = Duration::from_millis(summary.age_ms);
        known.complete_until = known.complete_until.max(now.checked_sub(age));
        known.reporter = Some(summary.reporter.clone());
        known.suspects.clone_from(&summary.suspects);
    }

    pub(super) fn summaries(&self, now: Instant) -> Vec<DataCentreSummary> {
        let known = self.0.iter().filter_map(|(data_centre, summary)| {
            let mut reporter = summary.reporter.clone()?;
            reporter.age_ms = age_ms(summary.reporter_heard_at, now);
            Some(DataCentreSummary {
                data_centre: data_centre.clone(),
                reporter,
                suspects: summary.suspects.clone(),
                age_ms: age_ms(summary.complete_until?, now),
            })
        });
        known.collect()
    }

    pub(super) fn is_alive(&self, data_centre: &DataCentre, now: Instant) -> bool {
        let limit = Duration::from_millis(SUSPECT_DATA_CENTRE_AFTER_MS);
        self.0
            .get(data_centre)
            .is_some_and(|summary| now.saturating_duration_since(summary.reporter_heard_at) < limit)
    }

    /// Time of the oldest among the newest heartbeats of the data centre's members that are
    /// not suspected; not moved by a pause of this process.
    pub(super) fn complete_until(&self, data_centre: &DataCentre) -> Option<Instant> {
        self.0
            .get(data_centre)
            .and_then(|summary| summary.complete_until)
    }

    pub(super) fn is_suspected(&self, data_centre: &DataCentre, id: &MemberId) -> bool {
        self.0
            .get(data_centre)
            .is_some_and(|summary| summary.suspects.contains(id))
    }

    pub(super) fn extend_deadlines(&mut self, pause: Duration, now: Instant) {
        for summary in self.0.values_mut() {
            summary.reporter_heard_at = (summary.reporter_heard_at + pause).min(now);
        }
    }
}

/// Time since `at`, in ms.
pub(super) fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX)
}
