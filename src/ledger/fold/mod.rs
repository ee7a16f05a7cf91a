//! Folds the log into a state: applies one record after another and decides on each.
//!
//! This code reads no clock, does no I/O and iterates only over ordered collections,
//! so every process gives the same verdict at the same offset.

mod allotment;
mod assignment;
mod budget;
mod claim;
mod edit;
mod job;
mod member;
mod snapshot;

pub use allotment::{Allotment, AllotmentHolder, UnmetDemand};
pub use budget::{Availability, BudgetInputs, MAX_FAILED_STOPS, PoolCount};
pub use job::is_ended;

use super::dedup_window::DEDUP_WINDOW_OFFSETS;
use super::record::{DecodeError, RULES_VERSION, Record, decode_record};
use super::{PlannedStop, Proposal, Refusal, State, Verdict};
use crate::id::{Epoch, Offset, RecordId};

impl State {
    /// Applies the record at `offset`, which must be the next one, and returns its verdict.
    ///
    /// `None` when the bytes change nothing: another offset than the next, a forged
    /// or unreadable record, a repeat, or rules that this build does not know.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Option<(RecordId, Verdict)> {
        if offset != self.facts.offset || self.facts.unknown_rules.is_some() {
            return None;
        }
        let decoded = decode_record(bytes, &self.trust.secret);
        if let Err(DecodeError::UnknownRules(rules)) = decoded {
            self.facts.unknown_rules = Some(rules);
            return None;
        }
        self.facts.offset = offset.next();
        let entry = decoded
            .ok()
            .and_then(|record| self.evaluate(offset, record));
        if entry.is_none() {
            self.facts.skipped += 1;
        }
        let verdict = entry.as_ref().map(|(_, verdict)| verdict);
        self.facts.chain.extend(offset, bytes, verdict);
        entry
    }

    fn evaluate(&mut self, offset: Offset, record: Record) -> Option<(RecordId, Verdict)> {
        let Record {
            id,
            proposed_at,
            proposal,
        } = record;
        if self.facts.dedup_window.get(id).is_some() {
            return None;
        }
        let result = check_age(offset, proposed_at, &proposal);
        let verdict = match result.and_then(|()| self.apply_proposal(offset, proposal)) {
            Ok(()) => Verdict::Accepted(offset),
            Err(refusal) => Verdict::Refused(offset, refusal),
        };
        self.facts.dedup_window.insert(id, verdict.clone());
        Some((id, verdict))
    }

    fn apply_proposal(&mut self, offset: Offset, proposal: Proposal) -> Result<(), Refusal> {
        match proposal {
            Proposal::Edit(edit) => self.apply_edit(edit),
            Proposal::Assign {
                vm,
                from,
                to,
                epoch,
            } => self.assign(vm, from.as_ref(), to, epoch),
            Proposal::Stop {
                vm,
                reason,
                epoch,
                generation,
            } => self.start_stop(vm, PlannedStop { reason, generation }, epoch),
            Proposal::Stopped {
                vm,
                healthy,
                epoch,
                rebooted_s,
            } => self.end_stop(vm, healthy, rebooted_s, epoch),
            Proposal::Locate {
                vm,
                location,
                seen_s,
                epoch,
            } => self.locate(vm, location, seen_s, epoch),
            Proposal::Down { vm, epoch } => self.mark_down(vm, epoch),
            Proposal::Up { vm, epoch } => self.mark_up(&vm, epoch),
            Proposal::Transfer {
                team,
                from,
                to,
                amount,
            } => self.transfer(&team, &from, &to, amount),
            Proposal::Claim(claim) => self.claim(offset, claim),
            Proposal::Register(registration) => self.register(offset, registration),
            Proposal::Retire { id, registered_at } => self.retire(&id, registered_at),
            Proposal::Submit(job) => self.submit_job(job),
            Proposal::Update(update) => self.update_job(update),
            Proposal::Snapshot { offset, digest } => self.record_snapshot(offset, &digest),
            Proposal::Upgrade { version } => self.upgrade(version),
        }
    }

    /// Switches to the next version of the rules. A build that does not know it applies no
    /// further record.
    fn upgrade(&mut self, version: u16) -> Result<(), Refusal> {
        if version != self.facts.rules_version + 1 {
            return Err(Refusal::Missing(format!("rules {version}")));
        }
        self.facts.rules_version = version;
        if version > RULES_VERSION {
            self.facts.unknown_rules = Some(version);
        }
        Ok(())
    }

    /// Refuses a change decided under any other epoch than the current planner's.
    fn check_epoch(&self, epoch: Epoch) -> Result<(), Refusal> {
        let current = self
            .facts
            .planner
            .as_ref()
            .map_or(Epoch(0), |held| held.epoch);
        if epoch == current {
            return Ok(());
        }
        Err(Refusal::Fenced(current))
    }
}

/// Refuses a record that may be a repeat outside of the deduplication window. Edits are
/// exempt, since their base revision already keeps them from being accepted twice.
fn check_age(offset: Offset, proposed_at: Offset, proposal: &Proposal) -> Result<(), Refusal> {
    let repeatable = matches!(proposal, Proposal::Edit(_));
    if repeatable || (proposed_at <= offset && offset.0 - proposed_at.0 < DEDUP_WINDOW_OFFSETS) {
        return Ok(());
    }
    Err(Refusal::Expired)
}
