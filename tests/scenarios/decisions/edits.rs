//! What operators append to the log.

use amaranthwick::document::{self, FLEET_SECTION, example, section_text, sign_edit};
use amaranthwick::id::{Offset, OperatorId, RecordId, Revision, SectionId};
use amaranthwick::ledger::{Edit, Proposal, Record, Refusal, Verdict, encode_edit};
use amaranthwick::services::LogError;

use super::Output;
use super::world::World;
use crate::args::{Args, Failure};

const FILE: &str = "document.jsonc";

/// A record that an operator has appended.
pub(super) struct Sent {
    id: RecordId,
    bytes: Vec<u8>,
}

impl World {
    pub fn publish_all(&mut self) -> Output {
        let parsed = document::parse(FILE, &self.document)?;
        self.create(FLEET_SECTION, "root")?;
        for team in parsed.teams.keys() {
            self.create(team.as_str(), &format!("{team}-owner"))?;
        }
        Ok(String::new())
    }

    fn create(&mut self, section: &str, operator: &str) -> Result<(), Failure> {
        let sent = self.sign(section, operator, 0)?;
        self.log.append(&[sent.bytes])?;
        Ok(())
    }

    /// Appends an edit of a section.
    pub fn edit(&mut self, args: &mut Args) -> Output {
        let section = args.next("section")?;
        let operator = args.key("by").ok_or("no by=OPERATOR given")?;
        let base = args.number("base")?.ok_or("no base=N given")?;
        let label = args.key("as").ok_or("no as=LABEL given")?.to_owned();
        let sent = self.sign(section, operator, base)?;
        let result = self.log.append(std::slice::from_ref(&sent.bytes));
        self.edits.insert(label, sent);
        Ok(describe(&result))
    }

    /// Appends the same record again.
    pub fn repeat(&mut self, args: &mut Args) -> Output {
        let label = args.next("label")?;
        let sent = self.edits.get(label).ok_or("no such edit")?;
        Ok(describe(
            &self.log.append(std::slice::from_ref(&sent.bytes)),
        ))
    }

    /// Appends bytes that nobody of the fleet has sealed.
    pub fn forge(&mut self) -> String {
        describe(&self.log.append(&[b"forged".to_vec()]))
    }

    /// What a process says of an edit.
    pub fn verdict(&mut self, args: &mut Args) -> Output {
        let label = args.next("label")?;
        let name = args.next("process")?;
        let sent = self.edits.get(label).ok_or("no such edit")?;
        let state = self.process(name)?.core.state();
        Ok(match state.verdict(sent.id) {
            None => "none".to_owned(),
            Some(Verdict::Accepted(_)) => "accepted".to_owned(),
            Some(Verdict::Refused(_, refusal)) => format!("refused {}", reason(refusal)),
        })
    }

    fn sign(&mut self, section: &str, operator: &str, base: u64) -> Result<Sent, Failure> {
        let section = SectionId::new(section);
        let text = section_text(FILE, &self.document, &section)?;
        let base = Revision(base);
        self.records += 1;
        let signature = sign_edit(&example::operator_key(operator), &section, base, &text);
        let record = Record {
            id: RecordId(self.records),
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
        Ok(Sent { id, bytes })
    }
}

fn describe(result: &Result<Offset, LogError>) -> String {
    match result {
        Ok(_) => "appended".to_owned(),
        Err(LogError::Unknown(_)) => "unknown".to_owned(),
        Err(_) => "not appended".to_owned(),
    }
}

fn reason(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(current) => format!("conflict current={current}"),
        Refusal::Unsigned => "unsigned".to_owned(),
        other => format!("{other:?}"),
    }
}
