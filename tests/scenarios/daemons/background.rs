//! Requests and commands that run while the script continues.

use std::thread::{self, JoinHandle};

use indexmap::IndexMap;

use super::Output;

/// A blocking task that returns text for the script's output.
pub type Work = Box<dyn FnOnce() -> String + Send>;

/// Background threads by the label of their task.
#[derive(Default)]
pub struct Background(IndexMap<String, JoinHandle<String>>);

impl Background {
    /// Runs `work` in a background thread if it has a label, and at once otherwise.
    pub fn run(&mut self, label: Option<String>, work: Work) -> String {
        let Some(label) = label else {
            return work();
        };
        self.0.insert(label, thread::spawn(work));
        String::new()
    }

    /// Waits for the tasks with these labels; sorts their results, as tasks that race may end
    /// either way.
    pub fn join(&mut self, labels: &[&str]) -> Output {
        let mut lines = Vec::new();
        for label in labels {
            let handle = self.0.swap_remove(*label);
            let handle = handle.ok_or_else(|| format!("nothing runs as {label}"))?;
            lines.push(handle.join().map_err(|_| format!("{label} panicked"))?);
        }
        lines.sort();
        Ok(lines.join("\n"))
    }
}
