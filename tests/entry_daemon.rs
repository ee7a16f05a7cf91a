//! The entry daemon as a separate process whose platform cannot be reached.

#[path = "common/entry.rs"]
mod common;
#[allow(dead_code, unreachable_pub)] // Other tests use the other items.
mod support {
    #[path = "../support/log_fields.rs"]
    pub(crate) mod log_fields;
    #[path = "../support/process.rs"]
    pub(crate) mod process;
    #[path = "../support/wait.rs"]
    pub(crate) mod wait;
}

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;

use common::{authorization_line, request, send_raw, status, unused_address, wait_until};
use support::process::Process;

struct Daemon {
    process: Process,
    directory: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.process.kill();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The example's settings, with ports that the kernel chooses, unused addresses for the platform
/// and a drain time of 300 ms.
fn settings() -> String {
    let text = include_str!("../examples/entry.jsonc");
    let unused = unused_address().to_string();
    (7000..7004)
        .map(|port| format!("127.0.0.1:{port}"))
        .fold(text.to_owned(), |text, platform| {
            text.replace(&platform, &unused)
        })
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7101", "127.0.0.1:0")
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("\"drain_ms\": 5000", "\"drain_ms\": 300")
}

fn start(name: &str) -> Daemon {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("directory");
    let file = directory.join("entry.jsonc");
    fs::write(&file, settings()).expect("settings");
    let program = Path::new(env!("CARGO_BIN_EXE_amaranthwick-entry"));
    let process = Process::spawn(program, &["--config", file.to_str().expect("path")]);
    Daemon { process, directory }
}

#[test]
fn entry_without_a_document_refuses_requests_and_stays_up() {
    let daemon = start("entry-alone");
    let callers = daemon.process.address("callers");
    let admin = daemon.process.address("admin");

    let health = send_raw(callers, &request("GET", "/healthz", "", ""));
    let queue = send_raw(
        callers,
        &request("GET", "/q/own/x", &authorization_line("neretva"), ""),
    );
    let state = send_raw(admin, &request("GET", "/state", "", ""));

    assert_eq!(status(&health), "200", "{health}");
    assert_eq!(status(&queue), "503", "{queue}");
    assert!(queue.contains(r#""outcome":"not_run""#), "{queue}");
    assert!(state.contains(r#""not_run": 1"#), "{state}");
}

#[test]
fn sigterm_fails_health_checks_first_then_exits_with_0() {
    let mut daemon = start("entry-term");
    let callers = daemon.process.address("callers");
    let watch = thread::spawn(move || {
        wait_until(|| {
            let health = send_raw(callers, &request("GET", "/healthz", "", ""));
            status(&health) == "503"
        });
    });

    let code = daemon.process.stop();

    assert!(
        watch.join().is_ok(),
        "the health check failed before the exit"
    );
    assert_eq!(code, Some(0));
}
