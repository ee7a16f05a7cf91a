//! Runs the operators' command.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use amaranthwick::document::{example, hex};

use super::directory::Directory;

/// An operator at a keyboard.
pub struct Operator {
    log: SocketAddr,
    admins: Vec<SocketAddr>,
    directory: Directory,
}

/// What a command printed and how it ended.
#[derive(Debug)]
pub struct Ended {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

impl Operator {
    pub fn new(log: SocketAddr, admins: &[SocketAddr]) -> Self {
        Self {
            log,
            admins: admins.to_vec(),
            directory: Directory::create(),
        }
    }

    /// Publishes a section of `document` under the key of the operator `name`.
    pub fn publish(&self, name: &str, section: &str, document: &str, more: &[&str]) -> Ended {
        let file = self.directory.write("document.jsonc", document);
        let config = self.config(name);
        let config = config.to_str().expect("path is text");
        let file = file.to_str().expect("path is text");
        let mut args = vec!["publish", file, "--section", section, "--config", config];
        args.extend(more);
        run(&args)
    }

    /// Publishes all sections of `document`: the fleet's by the root key, the others by their
    /// owners.
    pub fn publish_all(&self, document: &str) {
        let parsed = amaranthwick::document::parse("document.jsonc", document).expect("valid");
        let fleet = self.publish("root", "fleet", document, &[]);
        assert_eq!(fleet.code, Some(0), "{fleet:?}");
        for team in parsed.teams.keys() {
            let owner = format!("{team}-owner");
            let ended = self.publish(&owner, team.as_str(), document, &[]);
            assert_eq!(ended.code, Some(0), "{ended:?}");
        }
    }

    /// The document without a key of a team.
    pub fn withdraw_key(&self, team: &str, key: &str, document: &str) -> String {
        let file = self.directory.write("withdraw.jsonc", document);
        let ended = run(&["key", "withdraw", team, key, file.to_str().expect("text")]);
        assert_eq!(ended.code, Some(0), "{ended:?}");
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

/// Runs the command with `args` and waits for its end.
pub fn run(args: &[&str]) -> Ended {
    let program = Path::new(env!("CARGO_BIN_EXE_amaranthwick"));
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program).args(args).output().expect("run");
    Ended {
        code: status.code(),
        out: String::from_utf8(stdout).expect("text"),
        err: String::from_utf8(stderr).expect("text"),
    }
}
