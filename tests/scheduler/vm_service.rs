//! The simulated platform's VM service: maintains VMs, and checks the fencing tokens of orders.

use indexmap::{IndexMap, IndexSet};

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The VM has been maintained already.
    Done,
    /// The service checks tokens, and has seen a higher one for the VM.
    Fenced,
    /// The service does not check tokens, and an order with a higher one came before: the leaders
    /// broke a rule.
    LowerToken,
}

#[derive(Debug)]
pub(crate) struct VmService {
    /// Whether orders with a token lower than one that was seen are refused.
    pub(crate) fenced: bool,
    /// Highest token seen for each VM.
    tokens: IndexMap<String, u64>,
    /// VMs that are being maintained.
    down: IndexSet<String>,
    /// VMs whose maintenance has begun, or is finished.
    begun: IndexSet<String>,
}

impl Default for VmService {
    fn default() -> Self {
        Self {
            fenced: true,
            tokens: IndexMap::new(),
            down: IndexSet::new(),
            begun: IndexSet::new(),
        }
    }
}

impl VmService {
    /// Checks an order to maintain a VM; if it is admitted, the maintenance begins.
    pub(crate) fn admit(&mut self, vm: &str, token: u64) -> Result<(), Refusal> {
        let seen = self.tokens.entry(vm.to_owned()).or_default();
        if token < *seen {
            return Err(if self.fenced {
                Refusal::Fenced
            } else {
                Refusal::LowerToken
            });
        }
        *seen = token;
        if !self.begun.insert(vm.to_owned()) {
            return Err(Refusal::Done);
        }
        self.down.insert(vm.to_owned());
        Ok(())
    }

    /// The maintenance of a VM ends.
    pub(crate) fn finish(&mut self, vm: &str) {
        self.down.shift_remove(vm);
    }

    pub(crate) fn is_down(&self, vm: &str) -> bool {
        self.down.contains(vm)
    }

    pub(crate) fn down_count(&self) -> usize {
        self.down.len()
    }
}
