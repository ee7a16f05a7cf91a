//! Publishes edits signed with the example keys.

use anyhow::{Result, bail};

use crate::control::Control;
use crate::document::{Document, FLEET_SECTION, example, section_text, sign_edit};
use crate::id::{OperatorId, Revision, SectionId};
use crate::ledger::{Edit, Proposal, Verdict};

const FILE: &str = "document";

/// Publishes edits through the control thread of a process.
#[derive(Clone, Debug)]
pub struct Publisher {
    control: Control,
}

impl Publisher {
    /// Makes a publisher that uses `control`.
    #[must_use]
    pub const fn new(control: Control) -> Self {
        Self { control }
    }

    /// Creates all sections of `document`, whose text is `text`.
    ///
    /// # Errors
    /// Fails when a section is refused or has no verdict.
    pub async fn publish_all(&self, document: &Document, text: &str) -> Result<()> {
        self.create(FLEET_SECTION, "root", text).await?;
        for team in document.teams.keys() {
            let owner = format!("{team}-owner");
            self.create(team.as_str(), &owner, text).await?;
        }
        Ok(())
    }

    /// Publishes one section of the document `text` as an edit of revision `base`, signed by
    /// `operator`, and waits for the verdict.
    ///
    /// # Errors
    /// Fails when `text` has no such section, or when there is no verdict.
    pub async fn publish(
        &self,
        section: &str,
        operator: &str,
        base: Revision,
        text: &str,
    ) -> Result<Verdict> {
        let section = SectionId::new(section);
        let text = section_text(FILE, text, &section)?;
        let key = example::operator_key(operator);
        let signature = sign_edit(&key, &section, base, &text);
        let edit = Edit {
            section,
            base_revision: base,
            text,
            operator: OperatorId::new(operator),
            signature,
        };
        Ok(self.control.propose(Proposal::Edit(edit)).await?)
    }

    async fn create(&self, section: &str, operator: &str, text: &str) -> Result<()> {
        match self.publish(section, operator, Revision(0), text).await? {
            Verdict::Accepted(_) => Ok(()),
            Verdict::Refused(_, refusal) => bail!("section {section} refused: {refusal:?}"),
        }
    }
}
