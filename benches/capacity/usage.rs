//! Processor time and memory of processes and threads, read from `/proc`.

use std::fs;

/// Name of the control thread, which holds the folded state.
const CONTROL_THREAD: &str = "control";

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time of all threads that still run.
    pub(crate) cpu_ns: u64,
    /// Processor time of its control thread alone.
    pub(crate) control_cpu_ns: u64,
    pub(crate) resident_kb: u64,
}

impl Usage {
    pub(crate) fn of(pid: u64) -> Self {
        let process = pid.to_string();
        Self {
            cpu_ns: thread_cpu_ns(&process, |_| true),
            control_cpu_ns: thread_cpu_ns(&process, |name| name == CONTROL_THREAD),
            resident_kb: resident_kb(&process),
        }
    }
}

/// Processor time of the control threads of this process.
pub(crate) fn own_control_cpu_ns() -> u64 {
    thread_cpu_ns("self", |name| name == CONTROL_THREAD)
}

/// Processor time so far of those running threads of a process whose names `includes` accepts.
/// `process` is a pid, or `self` for this process.
fn thread_cpu_ns(process: &str, includes: impl Fn(&str) -> bool) -> u64 {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("threads");
    tasks
        .flatten()
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            includes(name.trim())
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
