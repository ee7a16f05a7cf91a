//! Addresses of processes.

use crate::ledger::{Refusal, Registration, State};

impl State {
    pub(super) fn register(&mut self, registration: Registration) -> Result<(), Refusal> {
        if let Some(known) = self.facts.members.get(&registration.id)
            && known.incarnation > registration.incarnation
        {
            return Err(Refusal::Outdated(known.incarnation));
        }
        self.facts
            .members
            .insert(registration.id.clone(), registration);
        Ok(())
    }
}
