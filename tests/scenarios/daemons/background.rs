//! Work that goes on while the script does.

use std::thread::{self, JoinHandle};

use indexmap::IndexMap;

use super::Output;

/// Something that takes time and ends with words for the script's output.
pub type Work = Box<dyn FnOnce() -> String + Send>;

/// Work in the background by its label.
#[derive(Default)]
pub struct Background(IndexMap<String, JoinHandle<String>>);

impl Background {
    /// Does the work now, or in the background if it has a label.
    pub fn run(&mut self, label: Option<String>, work: Work) -> String {
        let Some(label) = label else {
            return work();
        };
        self.0.insert(label, thread::spawn(work));
        String::new()
    }

    /// Waits for the work of all labels; its results are sorted, for any order of ends.
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
