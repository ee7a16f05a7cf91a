//! The simulated platform's VM service: maintains and moves VMs, and checks the fencing tokens of
//! orders.

use std::sync::Arc;

use amaranthwick::scheduler::Millis;
use indexmap::{IndexMap, IndexSet};

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The VM has been maintained already.
    Done,
    /// The VM is being moved or maintained.
    Busy,
    /// The VM can't be moved.
    Invalid,
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
    /// Whether VMs arrive where they are moved to.
    pub(crate) moves_end: bool,
    /// VMs that are being moved, and the pools that they move to.
    moving: IndexMap<String, Arc<str>>,
    /// VMs that can't be moved.
    pub(crate) immovable: IndexSet<String>,
    /// VMs that lists lack until then: they changed places between two pages.
    pub(crate) unlisted: IndexMap<String, Millis>,
    /// Until when the service does not answer lists and orders to move.
    pub(crate) away_until: Millis,
}

impl Default for VmService {
    fn default() -> Self {
        Self {
            fenced: true,
            tokens: IndexMap::new(),
            down: IndexSet::new(),
            begun: IndexSet::new(),
            moves_end: false,
            moving: IndexMap::new(),
            immovable: IndexSet::new(),
            unlisted: IndexMap::new(),
            away_until: 0,
        }
    }
}

impl VmService {
    /// Checks an order to maintain a VM; if it is admitted, the maintenance begins.
    pub(crate) fn admit(&mut self, vm: &str, token: u64) -> Result<(), Refusal> {
        self.check_token(vm, token)?;
        if self.moving.contains_key(vm) {
            return Err(Refusal::Busy);
        }
        if !self.begun.insert(vm.to_owned()) {
            return Err(Refusal::Done);
        }
        self.down.insert(vm.to_owned());
        Ok(())
    }

    fn check_token(&mut self, vm: &str, token: u64) -> Result<(), Refusal> {
        let seen = self.tokens.entry(vm.to_owned()).or_default();
        if token < *seen {
            return Err(if self.fenced {
                Refusal::Fenced
            } else {
                Refusal::LowerToken
            });
        }
        *seen = token;
        Ok(())
    }

    /// Checks an order to move a VM; if it is admitted, the move begins.
    pub(crate) fn admit_move(
        &mut self,
        vm: &str,
        pool: &Arc<str>,
        token: u64,
    ) -> Result<(), Refusal> {
        self.check_token(vm, token)?;
        if self.moving.contains_key(vm) || self.is_down(vm) {
            return Err(Refusal::Busy);
        }
        if self.immovable.contains(vm) {
            return Err(Refusal::Invalid);
        }
        self.moving.insert(vm.to_owned(), Arc::clone(pool));
        Ok(())
    }

    /// The move of a VM ends; returns the pool that it is in.
    pub(crate) fn finish_move(&mut self, vm: &str) -> Option<Arc<str>> {
        self.moving.shift_remove(vm)
    }

    pub(crate) fn is_moving(&self, vm: &str) -> bool {
        self.moving.contains_key(vm)
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
