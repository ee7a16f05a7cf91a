//! Daemons run as separate processes by a test.

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

/// A daemon started by the test; killed when dropped.
pub struct Process {
    child: Child,
    output: Arc<OutputLines>,
    frozen: AtomicBool,
}

/// Lines that a daemon has written to its standard output.
#[derive(Default)]
struct OutputLines {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Process {
    /// Starts `program` with `args`.
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

    /// Waits for the address that the daemon listens on in `role`.
    pub fn address(&self, role: &str) -> SocketAddr {
        let line = self.wait_for_line(&format!("line with role={role}"), |line| {
            log_fields::value(line, "event") == Some("listening")
                && log_fields::value(line, "role") == Some(role)
        });
        let address = log_fields::value(&line, "address").expect("a listening line has an address");
        address.parse().expect("an address is IP:PORT")
    }

    /// Waits for the first line that `wanted` accepts.
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

    /// All lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.output.lines.lock().unwrap().clone()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process from running until [`Self::thaw`].
    pub fn freeze(&self) {
        self.frozen.store(true, Ordering::Relaxed);
        self.signal("STOP");
    }

    /// Lets a frozen process run on.
    pub fn thaw(&self) {
        self.signal("CONT");
        self.frozen.store(false, Ordering::Relaxed);
    }

    /// True between [`Self::freeze`] and [`Self::thaw`].
    pub fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Relaxed)
    }

    /// Asks the process to end and waits for it; returns its exit code.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("wait for the process").code()
    }

    // The standard library sends no signal but KILL.
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
