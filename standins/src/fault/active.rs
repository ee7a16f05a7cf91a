//! Faults in force at one site.

use serde::Serialize;

use super::{Fault, WrongAnswer};

/// Faults in force at a site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ActiveFaults {
    /// Refuses connections.
    pub(super) down: bool,
    /// Answers 503.
    pub(super) unavailable: bool,
    /// Does nothing.
    pub(super) frozen: bool,
    /// Delay of every call, in ms.
    pub(super) slow_ms: u64,
    lost: Option<RemainingHits>,
    wrong: Option<WrongAnswerFault>,
}

impl ActiveFaults {
    /// Adds a fault; [`Fault::Silent`] hits connections and leaves nothing here.
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

    /// True when the next answer is to be lost; counts it.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let Some(hits) = self.lost else {
            return false;
        };
        self.lost = hits.decrement();
        true
    }

    /// The wrong answer to give next, if any; counts it.
    pub(super) fn take_wrong_answer(&mut self) -> Option<WrongAnswerFault> {
        let wrong = self.wrong?;
        self.wrong = wrong
            .hits
            .decrement()
            .map(|hits| WrongAnswerFault { hits, ..wrong });
        Some(wrong)
    }
}

/// How many more calls a fault hits.
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

/// A wrong answer to be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WrongAnswerFault {
    /// How the answer is broken.
    pub(crate) answer: WrongAnswer,
    /// Delay before it, in ms.
    pub(crate) delay_ms: u64,
    hits: RemainingHits,
}
