//! Processes: registration, its renewal, and retirement.

use crate::id::{Incarnation, MemberId, Offset};
use crate::ledger::state::RegisteredMember;
use crate::ledger::{Refusal, Registration, State};

impl State {
    pub(super) fn register(
        &mut self,
        offset: Offset,
        registration: Registration,
    ) -> Result<(), Refusal> {
        if let Some(known) = self.facts.members.get(&registration.id)
            && known.registration.incarnation > registration.incarnation
        {
            return Err(Refusal::Outdated(known.registration.incarnation));
        }
        let id = registration.id.clone();
        let member = RegisteredMember {
            registration,
            renewed_at: offset,
        };
        self.facts.members.insert(id, member);
        Ok(())
    }

    /// Removes a process and frees its shares, unless it has registered again meanwhile.
    pub(super) fn retire(&mut self, id: &MemberId, registered_at: Offset) -> Result<(), Refusal> {
        let Some(known) = self.facts.members.get(id) else {
            return Err(Refusal::Missing(id.to_string()));
        };
        if known.renewed_at != registered_at {
            return Err(Refusal::Renewed(known.renewed_at));
        }
        self.facts.members.swap_remove(id);
        self.return_shares_to_reserve(id);
        Ok(())
    }

    /// Refuses a change proposed for an unknown process or another run than its registered
    /// one.
    pub(super) fn check_incarnation(
        &self,
        id: &MemberId,
        incarnation: Incarnation,
    ) -> Result<(), Refusal> {
        match self.facts.members.get(id) {
            None => Err(Refusal::Missing(id.to_string())),
            Some(known) if known.registration.incarnation != incarnation => {
                Err(Refusal::Outdated(known.registration.incarnation))
            }
            Some(_) => Ok(()),
        }
    }
}
