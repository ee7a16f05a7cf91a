//! Maintenance that the operators ask for.

/// VMs that are each to have their upkeep once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The VMs.
    pub machines: Vec<String>,
    /// Time in which all should be done, in ms.
    pub limit_ms: u64,
    /// VMs that may be down for it at a time.
    pub max_down: usize,
}
