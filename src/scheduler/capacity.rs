//! Amounts of processor, memory and accelerators.

use serde::{Deserialize, Serialize};

/// What a target offers or a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Capacity {
    /// True when `self` with `more` added stays within `limit`.
    #[must_use]
    pub const fn fits(&self, more: &Self, limit: &Self) -> bool {
        self.cpu + more.cpu <= limit.cpu
            && self.mem_mb + more.mem_mb <= limit.mem_mb
            && self.gpu + more.gpu <= limit.gpu
    }

    /// Like [`Self::fits`], with 0 in `limit` meaning no limit.
    #[must_use]
    pub const fn within_limit(&self, more: &Self, limit: &Self) -> bool {
        (limit.cpu == 0 || self.cpu + more.cpu <= limit.cpu)
            && (limit.mem_mb == 0 || self.mem_mb + more.mem_mb <= limit.mem_mb)
            && (limit.gpu == 0 || self.gpu + more.gpu <= limit.gpu)
    }

    /// Adds `more`.
    pub const fn add(&mut self, more: &Self) {
        self.cpu += more.cpu;
        self.mem_mb += more.mem_mb;
        self.gpu += more.gpu;
    }

    /// Takes `less` away, down to nothing.
    pub const fn subtract(&mut self, less: &Self) {
        self.cpu = self.cpu.saturating_sub(less.cpu);
        self.mem_mb = self.mem_mb.saturating_sub(less.mem_mb);
        self.gpu = self.gpu.saturating_sub(less.gpu);
    }
}
