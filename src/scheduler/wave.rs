//! Maintenance waves that operators request.

/// A maintenance wave: a set of VMs, each of which is to be maintained once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave, set by the operators.
    pub number: u64,
    /// Names of the VMs to maintain.
    pub vms: Vec<String>,
    /// Time from the request within which all VMs should be done, in ms.
    pub limit_ms: u64,
    /// Number of VMs that may be down for the wave at the same time.
    pub max_down: usize,
}
