//! Edits of sections: each must be signed, based on the current revision, and leave the
//! whole document valid.

use std::sync::Arc;

use crate::control::SectionState;
use crate::document::{self, FLEET_SECTION, PublicKey};
use crate::id::{Revision, SectionId, TeamId};
use crate::ledger::{Edit, Refusal, State};

impl State {
    pub(super) fn apply_edit(&mut self, edit: Edit) -> Result<(), Refusal> {
        self.check_signature(&edit)?;
        let current = self.revision(&edit.section);
        if edit.base_revision != current {
            return Err(Refusal::Conflict(current));
        }
        let text: Arc<str> = Arc::from(edit.text);
        let mut section_texts = self.section_texts();
        section_texts.insert(edit.section.clone(), Arc::clone(&text));
        let document = self
            .cache
            .assemble(&section_texts)
            .map_err(Refusal::Invalid)?;
        self.resize_allotments(&document);
        self.document = Some(Arc::new(document));
        let revision = current.next();
        let section = SectionState { revision, text };
        self.facts.sections.insert(edit.section, section);
        Ok(())
    }

    fn revision(&self, section: &SectionId) -> Revision {
        let known = self.facts.sections.get(section);
        known.map_or(Revision(0), |state| state.revision)
    }

    fn check_signature(&self, edit: &Edit) -> Result<(), Refusal> {
        let Edit {
            section,
            base_revision,
            text,
            ..
        } = edit;
        let signed = self
            .allowed_keys(edit)
            .iter()
            .any(|key| document::verify_edit(key, section, *base_revision, text, &edit.signature));
        if signed {
            return Ok(());
        }
        Err(Refusal::Unsigned)
    }

    /// Keys that may sign the edit: the root key before there is a document, then those that
    /// the document names.
    fn allowed_keys(&self, edit: &Edit) -> Vec<PublicKey> {
        let Some(document) = &self.document else {
            return vec![self.trust.root];
        };
        if edit.section.as_str() == FLEET_SECTION {
            return document
                .fleet
                .operators
                .get(&edit.operator)
                .copied()
                .into_iter()
                .collect();
        }
        let team = TeamId::new(edit.section.as_str());
        let own = document
            .teams
            .get(&team)
            .and_then(|t| t.operators.get(&edit.operator));
        let owner = document.fleet.owners.get(&team);
        own.into_iter().chain(owner).copied().collect()
    }
}
