//! Plays one case of the review: `lab CASE FOLDER`. Starts processes of the program beside
//! stand-ins, writes `record.txt` into the case's folder, and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case couldn't run.

mod cases;
mod executor;
mod http;
mod json;
mod machines;
mod record;
mod store;
mod system;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(112);

/// Ends because the case couldn't run; `run.sh` ends the processes that were started.
pub fn give_up(cause: &str) -> ! {
    eprintln!("couldn't run: {cause}");
    exit(2);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, work_folder] = args.as_slice() else {
        give_up("usage: lab CASE FOLDER WORK_FOLDER");
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        give_up("the time is over");
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.note(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let work_folder = PathBuf::from(work_folder);
    let broken = match case.as_str() {
        "occurrences" => cases::occurrences(trouble, &record, &work_folder),
        "pending" => cases::pending(trouble, &record, &work_folder),
        "late-order" => cases::late_order(trouble, &record, &work_folder),
        "exits" => cases::exits(trouble, &record, &work_folder),
        _ => give_up("no such case"),
    };
    let verdict = if broken { "BROKEN" } else { "held" };
    record.note(&format!("the rule: {verdict}"));
    println!("{case}: {verdict}");
    exit(i32::from(broken));
}
