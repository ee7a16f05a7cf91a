//! Processor time and memory of processes and threads, read from `/proc`.

use std::fs;

/// Name of the thread that holds control state.
const CONTROL: &str = "control";

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    pub(crate) all_ns: u64,
    /// Processor time of its control thread alone.
    pub(crate) control_ns: u64,
    pub(crate) resident_kb: u64,
}

impl Usage {
    pub(crate) fn of(pid: u64) -> Self {
        let process = pid.to_string();
        Self {
            all_ns: threads_ns(&process, |_| true),
            control_ns: threads_ns(&process, |name| name == CONTROL),
            resident_kb: resident_kb(&process),
        }
    }
}

/// Processor time of the control threads of this process.
pub(crate) fn own_control_ns() -> u64 {
    threads_ns("self", |name| name == CONTROL)
}

fn threads_ns(process: &str, wanted: impl Fn(&str) -> bool) -> u64 {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("threads");
    tasks
        .flatten()
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            wanted(name.trim())
        })
        .filter_map(|task| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        })
        .sum()
}

fn resident_kb(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).expect("a process");
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB")?.parse().ok())
        .expect("VmRSS")
}
