//! Section edits that operators append to the log.

use amaranthwick::document::{self, FLEET_SECTION, example, section_text, sign_edit};
use amaranthwick::id::{Offset, OperatorId, RecordId, Revision, SectionId};
use amaranthwick::ledger::{Edit, Proposal, Record, Refusal, Verdict, encode_edit};
use amaranthwick::services::LogError;

use super::Output;
use super::simulation::Simulation;
use crate::args::{Args, ScriptError};

const FILE: &str = "document.jsonc";

/// A signed edit, kept so that the script can append it again or ask for its verdict.
pub(super) struct AppendedEdit {
    id: RecordId,
    bytes: Vec<u8>,
}

impl Simulation {
    /// Creates all sections of the document: the fleet's signed by `root`, each team's by its owner.
    pub fn publish_all(&mut self) -> Output {
        let parsed = document::parse(FILE, &self.document)?;
        self.create_section(FLEET_SECTION, "root")?;
        for team in parsed.teams.keys() {
            self.create_section(team.as_str(), &format!("{team}-owner"))?;
        }
        Ok(String::new())
    }

    fn create_section(&mut self, section: &str, operator: &str) -> Result<(), ScriptError> {
        let edit = self.sign(section, operator, 0)?;
        self.log.append(&[edit.bytes])?;
        Ok(())
    }

    /// Signs and appends an edit of a section and keeps it under a label.
    pub fn edit(&mut self, args: &mut Args) -> Output {
        let section = args.positional("section")?;
        let operator = args.option("by").ok_or("no by=OPERATOR given")?;
        let base = args.number("base")?.ok_or("no base=N given")?;
        let label = args.option("as").ok_or("no as=LABEL given")?.to_owned();
        let edit = self.sign(section, operator, base)?;
        let result = self.log.append(std::slice::from_ref(&edit.bytes));
        self.edits.insert(label, edit);
        Ok(describe(&result))
    }

    /// Appends the same record again.
    pub fn repeat(&mut self, args: &mut Args) -> Output {
        let label = args.positional("label")?;
        let edit = self.edits.get(label).ok_or("no such edit")?;
        Ok(describe(
            &self.log.append(std::slice::from_ref(&edit.bytes)),
        ))
    }

    /// Appends bytes that are not a valid record.
    pub fn forge(&mut self) -> String {
        describe(&self.log.append(&[b"forged".to_vec()]))
    }

    /// Describes the verdict on an edit in the state of a process.
    pub fn verdict(&mut self, args: &mut Args) -> Output {
        let label = args.positional("label")?;
        let name = args.positional("process")?;
        let edit = self.edits.get(label).ok_or("no such edit")?;
        let state = self.process(name)?.core.state();
        Ok(match state.verdict(edit.id) {
            None => "none".to_owned(),
            Some(Verdict::Accepted(_)) => "accepted".to_owned(),
            Some(Verdict::Refused(_, refusal)) => format!("refused {}", describe_refusal(refusal)),
        })
    }

    fn sign(
        &mut self,
        section: &str,
        operator: &str,
        base: u64,
    ) -> Result<AppendedEdit, ScriptError> {
        let section = SectionId::new(section);
        let text = section_text(FILE, &self.document, &section)?;
        let base = Revision(base);
        self.signed_records += 1;
        let signature = sign_edit(&example::operator_key(operator), &section, base, &text);
        let record = Record {
            id: RecordId(self.signed_records),
            proposed_at: Offset(0),
            proposal: Proposal::Edit(Edit {
                section,
                base_revision: base,
                text,
                operator: OperatorId::new(operator),
                signature,
            }),
        };
        let bytes = encode_edit(&record);
        let id = record.id;
        Ok(AppendedEdit { id, bytes })
    }
}

fn describe(result: &Result<Offset, LogError>) -> String {
    match result {
        Ok(_) => "appended".to_owned(),
        Err(LogError::Unknown(_)) => "unknown".to_owned(),
        Err(_) => "not appended".to_owned(),
    }
}

fn describe_refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(current) => format!("conflict current={current}"),
        Refusal::Unsigned => "unsigned".to_owned(),
        other => format!("{other:?}"),
    }
}
