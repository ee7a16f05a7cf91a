//! Child processes of a test and the log lines that they write.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

use amaranthwick::telemetry::log::LEVEL_VARIABLE;

use super::log_fields;
use super::wait::WAIT_TIMEOUT;

/// A daemon that the test started; killed when dropped.
pub struct Process {
    child: Child,
    output: Arc<OutputLines>,
    frozen: AtomicBool,
}

/// Lines that a daemon has written to its standard output so far.
#[derive(Default)]
struct OutputLines {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Process {
    /// Starts `program` with `args` at log level `trace`.
    pub fn spawn(program: &Path, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .env(LEVEL_VARIABLE, "trace")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("start {}: {e}", program.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let output = Arc::new(OutputLines::default());
        let reader = Arc::clone(&output);
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                reader.push(line);
            }
        });
        Self {
            child,
            output,
            frozen: AtomicBool::new(false),
        }
    }

    /// Waits until the daemon logs the address that it listens on as `role`, and returns it.
    pub fn address(&self, role: &str) -> SocketAddr {
        let line = self.wait_for_line(&format!("line with role={role}"), |line| {
            log_fields::value(line, "event") == Some("listening")
                && log_fields::value(line, "role") == Some(role)
        });
        let address = log_fields::value(&line, "address").expect("a listening line has an address");
        address.parse().expect("an address is IP:PORT")
    }

    /// Waits for a log line that `wanted` accepts and returns the first; panics after
    /// [`WAIT_TIMEOUT`].
    pub fn wait_for_line(&self, what: &str, wanted: impl Fn(&str) -> bool) -> String {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut lines = self.output.lines.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().find(|line| wanted(line)) {
                return line.clone();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no {what} in:\n{}", lines.join("\n"));
            lines = self.output.line_added.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// Returns all lines logged so far.
    pub fn lines(&self) -> Vec<String> {
        self.output.lines.lock().unwrap().clone()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`].
    pub fn freeze(&self) {
        self.frozen.store(true, Ordering::Relaxed);
        self.signal("STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal("CONT");
        self.frozen.store(false, Ordering::Relaxed);
    }

    /// True between [`Self::freeze`] and [`Self::thaw`].
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Sends SIGTERM, waits for the end and returns the exit code; `None` if a signal ended the
    /// process.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("wait for the process").code()
    }

    // The standard library can only send SIGKILL.
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid)
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "kill -{name} failed");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl OutputLines {
    fn push(&self, line: String) {
        self.lines.lock().unwrap().push(line);
        self.line_added.notify_all();
    }
}
