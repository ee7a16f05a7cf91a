//! Extrapolates the growth of a pool's demand.

use std::collections::VecDeque;

use crate::scheduler::{Capacity, Millis};

/// Time over which the growth of demand is measured, in ms.
const TREND_WINDOW_MS: Millis = 800;

/// Time from the order to move a VM to the first task on it, in ms.
const MOVE_LEAD_MS: u64 = 1_700;

/// Recent samples of a pool's demand.
#[derive(Debug, Default)]
pub(crate) struct DemandTrend {
    /// Times and amounts, oldest first, over about [`TREND_WINDOW_MS`].
    samples: VecDeque<(Millis, Capacity)>,
}

impl DemandTrend {
    /// Adds a sample and extrapolates: returns by how much growing demand will have grown
    /// further by the time that a VM moved now is ready. Accelerators are not extrapolated.
    pub(crate) fn add_sample(&mut self, demand: Capacity, now: Millis) -> Capacity {
        self.samples.push_back((now, demand));
        while self.samples.len() > 1 && now - self.samples[1].0 >= TREND_WINDOW_MS {
            self.samples.pop_front();
        }
        let (at, before) = self.samples[0];
        let span = (now - at).max(TREND_WINDOW_MS);
        let rise = |current: u64, before: u64| {
            current.saturating_sub(before).saturating_mul(MOVE_LEAD_MS) / span
        };
        Capacity {
            cpu: rise(demand.cpu, before.cpu),
            mem_mb: rise(demand.mem_mb, before.mem_mb),
            gpu: 0,
        }
    }
}
