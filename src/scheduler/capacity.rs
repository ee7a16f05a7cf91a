//! Amounts of CPU, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Amounts of resources that a target offers or a task reserves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// CPU in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Capacity {
    /// Returns whether the sum of `self` and `more` exceeds `limit` in no resource.
    #[must_use]
    pub const fn fits(&self, more: &Self, limit: &Self) -> bool {
        self.cpu.saturating_add(more.cpu) <= limit.cpu
            && self.mem_mb.saturating_add(more.mem_mb) <= limit.mem_mb
            && self.gpu.saturating_add(more.gpu) <= limit.gpu
    }

    /// Like [`Self::fits`], but a resource that is 0 in `limit` is not limited.
    #[must_use]
    pub const fn within_limit(&self, more: &Self, limit: &Self) -> bool {
        (limit.cpu == 0 || self.cpu.saturating_add(more.cpu) <= limit.cpu)
            && (limit.mem_mb == 0 || self.mem_mb.saturating_add(more.mem_mb) <= limit.mem_mb)
            && (limit.gpu == 0 || self.gpu.saturating_add(more.gpu) <= limit.gpu)
    }

    /// Adds `more` to each resource, stopping at the largest number.
    pub const fn add(&mut self, more: &Self) {
        self.cpu = self.cpu.saturating_add(more.cpu);
        self.mem_mb = self.mem_mb.saturating_add(more.mem_mb);
        self.gpu = self.gpu.saturating_add(more.gpu);
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max_each(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Subtracts `less` from each resource, stopping at 0.
    pub const fn subtract(&mut self, less: &Self) {
        self.cpu = self.cpu.saturating_sub(less.cpu);
        self.mem_mb = self.mem_mb.saturating_sub(less.mem_mb);
        self.gpu = self.gpu.saturating_sub(less.gpu);
    }
}
