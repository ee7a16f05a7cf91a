//! Faults active at one site.

use serde::Serialize;

use super::{Fault, WrongAnswer};

/// Faults active at a site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ActiveFaults {
    /// The site refuses connections.
    pub(super) down: bool,
    /// Every request is answered with 503.
    pub(super) unavailable: bool,
    /// Requests are read, but not processed or answered.
    pub(super) frozen: bool,
    /// Delay of every request, in ms; 0 for none.
    pub(super) slow_ms: u64,
    lost: Option<RemainingHits>,
    wrong: Option<WrongAnswerFault>,
}

impl ActiveFaults {
    /// Adds a fault. [`Fault::Silent`] is not recorded here, as it applies to the connections that
    /// are open at that moment.
    pub(super) fn set(&mut self, fault: &Fault) {
        match fault {
            Fault::Down => self.down = true,
            Fault::Unavailable => self.unavailable = true,
            Fault::Slow { ms } => self.slow_ms = *ms,
            Fault::Frozen => self.frozen = true,
            Fault::Silent => {}
            Fault::Lost { count } => self.lost = RemainingHits::new(*count),
            Fault::Wrong {
                answer,
                delay_ms,
                count,
            } => {
                self.wrong = RemainingHits::new(*count).map(|hits| WrongAnswerFault {
                    answer: *answer,
                    delay_ms: *delay_ms,
                    hits,
                });
            }
        }
    }

    /// True if the next response is to be dropped; counts one hit of the fault.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let Some(hits) = self.lost else {
            return false;
        };
        self.lost = hits.decrement();
        true
    }

    /// The fault to apply to the next response, if any; counts one hit of the fault.
    pub(super) fn take_wrong_answer(&mut self) -> Option<WrongAnswerFault> {
        let wrong = self.wrong?;
        self.wrong = wrong
            .hits
            .decrement()
            .map(|hits| WrongAnswerFault { hits, ..wrong });
        Some(wrong)
    }
}

/// Number of further requests that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum RemainingHits {
    All,
    Next(u64),
}

impl RemainingHits {
    fn new(count: Option<u64>) -> Option<Self> {
        match count {
            None => Some(Self::All),
            Some(0) => None,
            Some(n) => Some(Self::Next(n)),
        }
    }

    const fn decrement(self) -> Option<Self> {
        match self {
            Self::All => Some(Self::All),
            Self::Next(0 | 1) => None,
            Self::Next(n) => Some(Self::Next(n - 1)),
        }
    }
}

/// An active [`Fault::Wrong`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WrongAnswerFault {
    /// How the response violates the protocol.
    pub(crate) answer: WrongAnswer,
    /// Delay before the response, in ms.
    pub(crate) delay_ms: u64,
    hits: RemainingHits,
}
