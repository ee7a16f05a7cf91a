//! Temporary directories for tests.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A directory that no other test uses, removed with its files when dropped.
pub struct TempDirectory(PathBuf);

impl TempDirectory {
    /// Creates a directory named after the test process and a counter.
    pub fn create() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("amaranthwick-{}-{number}", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("create a directory");
        Self(path)
    }

    /// Writes a file into the directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("write a file");
        path
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
