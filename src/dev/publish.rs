//! Publishes edits under the example keys.

use anyhow::{Result, bail};

use crate::control::Control;
use crate::document::{Document, FLEET_SECTION, example, section_text, sign};
use crate::id::{OperatorId, Revision, SectionId};
use crate::ledger::{Edit, Proposal, Verdict};

const FILE: &str = "document";

/// Proposes edits through a process of the fleet.
#[derive(Clone, Debug)]
pub struct Publisher {
    control: Control,
}

impl Publisher {
    /// A publisher that proposes through `control`.
    #[must_use]
    pub const fn new(control: Control) -> Self {
        Self { control }
    }

    /// Publishes all sections of `text`, a valid document, for the first time.
    ///
    /// # Errors
    /// Fails when a section is not accepted.
    pub async fn publish_all(&self, document: &Document, text: &str) -> Result<()> {
        self.create(FLEET_SECTION, "root", text).await?;
        for team in document.teams.keys() {
            let owner = format!("{team}-owner");
            self.create(team.as_str(), &owner, text).await?;
        }
        Ok(())
    }

    /// Publishes one section of `text` as `operator`, made from revision `base`.
    ///
    /// # Errors
    /// Fails when there is no verdict, or no such section.
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
        let signature = sign(&key, &section, base, &text);
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
