//! Output for a refused edit.

use amaranthwick::finding::Findings;
use amaranthwick::id::SectionId;
use amaranthwick::ledger::Refusal;

use super::source::SectionSource;

/// Formats the reason of a refusal as `key=value` pairs.
pub(super) fn format_reason(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(current) => format!("reason=conflict current={current}"),
        Refusal::Unsigned => "reason=unsigned".to_owned(),
        Refusal::Invalid(Findings(findings)) => {
            format!("reason=invalid findings={}", findings.len())
        }
        other => format!("reason=other detail=\"{other:?}\""),
    }
}

/// Prints the findings of a refusal; those in the section get their place in the operator's file.
pub(super) fn print_findings(refusal: &Refusal, section: &SectionId, source: &SectionSource) {
    let Refusal::Invalid(Findings(findings)) = refusal else {
        return;
    };
    for finding in findings {
        if finding.file == section.as_str() {
            println!("{}", source.finding_in_file(finding));
        } else {
            println!("{finding}");
        }
    }
}
