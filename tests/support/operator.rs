//! Runs the `amaranthwick` command as an operator does.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use amaranthwick::document::{example, hex};

use super::directory::TempDirectory;

/// Runs commands with settings that name the log and the processes' admin addresses.
pub struct Operator {
    log: SocketAddr,
    admins: Vec<SocketAddr>,
    directory: TempDirectory,
}

/// Output and exit code of a finished command.
#[derive(Debug)]
pub struct CommandOutput {
    /// `None` if a signal ended the command.
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl Operator {
    pub fn new(log: SocketAddr, admins: &[SocketAddr]) -> Self {
        Self {
            log,
            admins: admins.to_vec(),
            directory: TempDirectory::create(),
        }
    }

    /// Publishes a section of `document`, signed with the key of the operator `name`.
    pub fn publish(
        &self,
        name: &str,
        section: &str,
        document: &str,
        extra_args: &[&str],
    ) -> CommandOutput {
        let file = self.directory.write("document.jsonc", document);
        let config = self.config(name);
        let config = config.to_str().expect("path is text");
        let file = file.to_str().expect("path is text");
        let mut args = vec!["publish", file, "--section", section, "--config", config];
        args.extend(extra_args);
        run_command(&args)
    }

    /// Publishes all sections of `document`: the fleet's with the root key, each team's with its
    /// owner's key.
    pub fn publish_all(&self, document: &str) {
        let parsed = amaranthwick::document::parse("document.jsonc", document).expect("valid");
        let fleet = self.publish("root", "fleet", document, &[]);
        assert_eq!(fleet.exit_code, Some(0), "{fleet:?}");
        for team in parsed.teams.keys() {
            let owner = format!("{team}-owner");
            let ended = self.publish(&owner, team.as_str(), document, &[]);
            assert_eq!(ended.exit_code, Some(0), "{ended:?}");
        }
    }

    /// Returns `document` with a team's key removed by `key withdraw`.
    pub fn withdraw_key(&self, team: &str, key: &str, document: &str) -> String {
        let file = self.directory.write("withdraw.jsonc", document);
        let ended = run_command(&["key", "withdraw", team, key, file.to_str().expect("text")]);
        assert_eq!(ended.exit_code, Some(0), "{ended:?}");
        fs::read_to_string(file).expect("changed document")
    }

    fn config(&self, name: &str) -> std::path::PathBuf {
        let seed = hex::encode(&example::operator_seed(name));
        let key = format!("{name}.key.jsonc");
        self.directory
            .write(&key, &format!("{{ \"seed\": \"{seed}\" }}"));
        let admins = self.admins.iter().enumerate();
        let admins: Vec<_> = admins
            .map(|(i, address)| format!("\"p{i}\": \"{address}\""))
            .collect();
        let text = format!(
            "{{ \"log\": \"{}\", \"admins\": {{ {} }}, \"operator\": \"{name}\", \
             \"key_file\": \"{key}\" }}",
            self.log,
            admins.join(", "),
        );
        self.directory.write(&format!("{name}.jsonc"), &text)
    }
}

/// Runs the `amaranthwick` command with `args` and waits for its end.
pub fn run_command(args: &[&str]) -> CommandOutput {
    let program = Path::new(env!("CARGO_BIN_EXE_amaranthwick"));
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program).args(args).output().expect("run");
    CommandOutput {
        exit_code: status.code(),
        stdout: String::from_utf8(stdout).expect("text"),
        stderr: String::from_utf8(stderr).expect("text"),
    }
}
