//! The answer of the leader to records that another process forwarded: which were stored, which
//! jobs were refused, and a summary by which the other process decides while there is no leader.

use anyhow::Result;
use serde::{Deserialize, Serialize};

use super::services::AppendOutcome;
use crate::scheduler::{Backlog, JobKey, Millis, Refusal, RefusalCause};

/// Age of the summary of another process from which the leader sends a new one, in ms: the process
/// stops refusing jobs by it at twice this age.
const SUMMARY_RESEND_MS: Millis = 1_000;

/// Whether a process that forwards records understands that jobs are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerBuild {
    /// It takes records for stored or not stored as a whole; none of its jobs are refused.
    WithoutAdmission,
    /// It reads refusals and the summary.
    WithAdmission {
        /// Age of the summary that it has, in ms; `None` without one.
        summary_age_ms: Option<Millis>,
    },
}

impl PeerBuild {
    /// Returns whether the process should be sent a summary.
    pub(super) fn needs_summary(self) -> bool {
        match self {
            Self::WithoutAdmission => false,
            Self::WithAdmission { summary_age_ms } => {
                summary_age_ms.is_none_or(|age| age >= SUMMARY_RESEND_MS)
            }
        }
    }
}

/// A job that was refused, and is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedJob {
    /// Id of the job.
    pub key: JobKey,
    /// Why it was refused, and when its caller may try again.
    pub refusal: Refusal,
}

/// Outcome of storing records of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Outcome for all records but those of refused jobs.
    pub outcome: AppendOutcome,
    /// Jobs that were refused; their records were not stored, whatever the outcome.
    pub refused: Vec<RefusedJob>,
}

impl Appended {
    /// The outcome for all records, of which none was refused.
    pub(super) const fn all(outcome: AppendOutcome) -> Self {
        Self {
            outcome,
            refused: Vec::new(),
        }
    }

    /// The refusal of a job; `None` if it was not refused.
    pub(super) fn refusal(&self, key: JobKey) -> Option<Refusal> {
        let refused = self.refused.iter().find(|refused| refused.key == key);
        refused.map(|refused| refused.refusal)
    }
}

/// The leader's answer to forwarded records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardAnswer {
    /// What became of the records.
    pub appended: Appended,
    /// Summary of the waiting work, if the other process needs one.
    pub summary: Option<Backlog>,
}

/// Part of the answer that is sent as its body: a map, so that fields can be added.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Body {
    refused: Vec<BodyRefusal>,
    summary: Option<Backlog>,
}

/// A refusal in the body. A cause that this build does not know reads as a lack of capacity.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct BodyRefusal {
    job: u64,
    over_share: bool,
    retry_s: u32,
}

impl ForwardAnswer {
    /// An answer without refusals and summary.
    #[must_use]
    pub const fn plain(outcome: AppendOutcome) -> Self {
        Self {
            appended: Appended::all(outcome),
            summary: None,
        }
    }

    /// Encodes the refusals and the summary; empty if there are none.
    ///
    /// # Errors
    /// Fails when they can't be serialised.
    pub fn encode_body(&self) -> Result<Vec<u8>> {
        let refused = &self.appended.refused;
        if refused.is_empty() && self.summary.is_none() {
            return Ok(Vec::new());
        }
        let refused = refused.iter().map(|refused| BodyRefusal {
            job: refused.key.0,
            over_share: refused.refusal.cause == RefusalCause::OverShare,
            retry_s: refused.refusal.retry_s,
        });
        let body = Body {
            refused: refused.collect(),
            summary: self.summary.clone(),
        };
        Ok(rmp_serde::to_vec_named(&body)?)
    }

    /// Decodes the body of an answer with this outcome.
    ///
    /// # Errors
    /// Fails when the body is unusable.
    pub fn decode(outcome: AppendOutcome, body: &[u8]) -> Result<Self> {
        if body.is_empty() {
            return Ok(Self::plain(outcome));
        }
        let body: Body = rmp_serde::from_slice(body)?;
        let refused = body.refused.iter().map(|refused| RefusedJob {
            key: JobKey(refused.job),
            refusal: Refusal {
                cause: if refused.over_share {
                    RefusalCause::OverShare
                } else {
                    RefusalCause::NoCapacity
                },
                retry_s: refused.retry_s.max(1),
            },
        });
        Ok(Self {
            appended: Appended {
                outcome,
                refused: refused.collect(),
            },
            summary: body.summary,
        })
    }
}
