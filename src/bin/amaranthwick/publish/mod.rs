//! `amaranthwick publish`: signs a section, appends it to the log and waits for the verdict.

mod appender;
mod report;
mod source;

use std::fs;
use std::path::{Path, PathBuf};

use amaranthwick::config::{KeyFile, OperatorConfig};
use amaranthwick::document::{section_text, sign_edit};
use amaranthwick::id::{Offset, RecordId, Revision, SectionId};
use amaranthwick::ledger::{Edit, Proposal, Record, Verdict, encode_edit};
use amaranthwick::telemetry::admin::{AcceptedSection, Position, RecordVerdict};
use anyhow::{Context, Result, anyhow};
use futures_lite::future::block_on;

use crate::admin::{self, AdminError};
use crate::args;
use crate::exit::Exit;
use appender::{AppendError, append};
use source::SectionSource;

const DEFAULT_CONFIG: &str = "operator.jsonc";

/// Publishes the section given on the command line.
pub(crate) fn run(args: args::Publish) -> Result<Exit> {
    let path = args.config.unwrap_or_else(|| PathBuf::from(DEFAULT_CONFIG));
    let config = OperatorConfig::read(&path)?;
    let section = SectionId::new(&args.section);
    let source = match read_source(&args.file, &section)? {
        Ok(source) => source,
        Err(findings) => {
            println!("refused section={section} reason=unreadable");
            println!("{findings}");
            return Ok(Exit::Refused);
        }
    };
    let record = args.record.as_deref().map(parse_record).transpose()?;
    let publisher = Publisher {
        config: &config,
        source: &source,
        section: &section,
    };
    let base = args.base.map(Revision);
    block_on(publisher.publish(record.unwrap_or_else(RecordId::random), base))
}

fn read_source(
    path: &Path,
    section: &SectionId,
) -> Result<Result<SectionSource, amaranthwick::finding::Findings>> {
    let file = path.display().to_string();
    let whole = fs::read_to_string(path).with_context(|| format!("read {file}"))?;
    Ok(section_text(&file, &whole, section).map(|text| SectionSource::new(&file, &whole, text)))
}

fn parse_record(id: &str) -> Result<RecordId> {
    u128::from_str_radix(id, 16)
        .map(RecordId)
        .map_err(|_| anyhow!("--record {id:?}: a record id is 32 hexadecimal digits"))
}

struct Publisher<'a> {
    config: &'a OperatorConfig,
    source: &'a SectionSource,
    section: &'a SectionId,
}

impl Publisher<'_> {
    async fn publish(&self, id: RecordId, base: Option<Revision>) -> Result<Exit> {
        let start = match self.starting_point(base).await {
            Ok(start) => start,
            Err(error) => {
                eprintln!("error: {error}");
                return Ok(Exit::Unreachable);
            }
        };
        let bytes = encode_edit(&self.sign_record(id, &start)?);
        let verdict = append(self.config, id, &bytes).await;
        Ok(self.report(id, start.base, verdict))
    }

    /// Reads the log position and, unless `base` is given, the current revision of the section.
    async fn starting_point(&self, base: Option<Revision>) -> Result<StartingPoint, AdminError> {
        let position: Position = self.read_admin("/position").await?;
        let base = match base {
            Some(base) => base,
            None => self.current_revision().await?,
        };
        Ok(StartingPoint {
            base,
            log_offset: position.offset,
        })
    }

    async fn current_revision(&self) -> Result<Revision, AdminError> {
        let path = format!("/sections/{}", self.section);
        match self.read_admin::<AcceptedSection>(&path).await {
            Ok(section) => Ok(section.revision),
            Err(AdminError::NotFound) => Ok(Revision(0)),
            Err(error) => Err(error),
        }
    }

    async fn read_admin<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, AdminError> {
        let admins: Vec<_> = self.config.admins.values().copied().collect();
        admin::get_any(&admins, path).await
    }

    fn sign_record(&self, id: RecordId, start: &StartingPoint) -> Result<Record> {
        let key = KeyFile::read(&self.config.key_file)?;
        let text = self.source.text.clone();
        let signature = sign_edit(&key, self.section, start.base, &text);
        let edit = Edit {
            section: self.section.clone(),
            base_revision: start.base,
            text,
            operator: self.config.operator.clone(),
            signature,
        };
        Ok(Record {
            id,
            proposed_at: start.log_offset,
            proposal: Proposal::Edit(edit),
        })
    }

    fn report(
        &self,
        id: RecordId,
        base: Revision,
        verdict: Result<RecordVerdict, AppendError>,
    ) -> Exit {
        let section = self.section;
        match verdict.map(|found| found.verdict) {
            Ok(Verdict::Accepted(offset)) => {
                let revision = base.next();
                println!("accepted section={section} revision={revision} offset={offset}");
                Exit::Done
            }
            Ok(Verdict::Refused(offset, refusal)) => {
                let reason = report::format_reason(&refusal);
                println!("refused section={section} offset={offset} {reason}");
                report::print_findings(&refusal, section, self.source);
                Exit::Refused
            }
            Err(AppendError::NotAppended(cause)) => {
                eprintln!("error: nothing was appended: {cause}");
                Exit::Unreachable
            }
            Err(AppendError::Unknown(cause)) => {
                eprintln!("error: no verdict on record={id}: {cause}");
                eprintln!("repeat with --record {id} --base {base}; it can't take effect twice");
                Exit::Unknown
            }
        }
    }
}

struct StartingPoint {
    base: Revision,
    log_offset: Offset,
}
