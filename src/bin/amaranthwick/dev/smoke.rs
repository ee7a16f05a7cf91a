//! Smoke test: sends one request of each kind through a fleet and prints the results.

use amaranthwick::dev::DevFleet;
use anyhow::Result;

use super::checks::Checks;
use crate::exit::Exit;

/// Runs all checks and prints a line for each; the exit code is 0 only if all pass.
pub(super) async fn run(fleet: &DevFleet, text: &str) -> Result<Exit> {
    let checks = Checks::open(fleet, text)?;
    let mut report = Report::default();
    report.add("open_queue", checks.open_queue().await);
    report.add("keyed_queue", checks.keyed_queue().await);
    report.add("every_entry", checks.every_entry().await);
    report.add("urgent", checks.urgent().await);
    report.add("deadline", checks.deadline().await);
    report.add("late_deadline", checks.late_deadline().await);
    report.add("job_submit", checks.submit_job().await);
    report.add("job_get", checks.get_job().await);
    report.add("job_delete", checks.delete_job().await);
    report.add("refused_key", checks.refused_key().await);
    report.add("unknown_queue", checks.unknown_queue().await);
    report.add("bad_document", checks.bad_document().await);
    report.add("edited_document", checks.edited_document().await);
    Ok(report.exit)
}

struct Report {
    exit: Exit,
}

impl Default for Report {
    fn default() -> Self {
        Self { exit: Exit::Done }
    }
}

impl Report {
    fn add(&mut self, check: &str, result: Result<()>) {
        match result {
            Ok(()) => println!("check={check} result=ok"),
            Err(error) => {
                println!(
                    "check={check} result=failed detail={:?}",
                    format!("{error:#}")
                );
                self.exit = Exit::Refused;
            }
        }
    }
}
