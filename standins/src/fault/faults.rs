//! Faults in force at one site.

use serde::Serialize;

use super::{Fault, WrongAnswer};

/// Faults in force at a site.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Faults {
    /// Refuses connections.
    pub(super) down: bool,
    /// Answers 503.
    pub(super) unavailable: bool,
    /// Does nothing.
    pub(super) frozen: bool,
    /// Delay of every call, in ms.
    pub(super) slow_ms: u64,
    lost: Option<Hits>,
    wrong: Option<Wrong>,
}

impl Faults {
    /// Adds a fault; [`Fault::Silent`] hits connections and leaves nothing here.
    pub(super) fn set(&mut self, fault: &Fault) {
        match fault {
            Fault::Down => self.down = true,
            Fault::Unavailable => self.unavailable = true,
            Fault::Slow { ms } => self.slow_ms = *ms,
            Fault::Frozen => self.frozen = true,
            Fault::Silent => {}
            Fault::Lost { count } => self.lost = Hits::new(*count),
            Fault::Wrong {
                answer,
                delay_ms,
                count,
            } => {
                self.wrong = Hits::new(*count).map(|hits| Wrong {
                    answer: *answer,
                    delay_ms: *delay_ms,
                    hits,
                });
            }
        }
    }

    /// True when the next answer is to be lost; counts it.
    pub(super) fn take_lost(&mut self) -> bool {
        let Some(hits) = self.lost else {
            return false;
        };
        self.lost = hits.after_one();
        true
    }

    /// The wrong answer to give next, if any; counts it.
    pub(super) fn take_wrong(&mut self) -> Option<Wrong> {
        let wrong = self.wrong?;
        self.wrong = wrong.hits.after_one().map(|hits| Wrong { hits, ..wrong });
        Some(wrong)
    }
}

/// How many more calls a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Hits {
    All,
    Next(u64),
}

impl Hits {
    fn new(count: Option<u64>) -> Option<Self> {
        match count {
            None => Some(Self::All),
            Some(0) => None,
            Some(n) => Some(Self::Next(n)),
        }
    }

    const fn after_one(self) -> Option<Self> {
        match self {
            Self::All => Some(Self::All),
            Self::Next(0 | 1) => None,
            Self::Next(n) => Some(Self::Next(n - 1)),
        }
    }
}

/// A wrong answer to be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Wrong {
    /// How the answer is broken.
    pub(crate) answer: WrongAnswer,
    /// Delay before it, in ms.
    pub(crate) delay_ms: u64,
    hits: Hits,
}
