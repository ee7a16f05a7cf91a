//! Runs scripts against the daemons as separate processes, on stand-ins inside the test.

mod background;
mod deployment;
mod observe;
mod request;

use goldenscript::Command;

use crate::args::{Args, ScriptError};
use background::Background;
use deployment::Deployment;

type Output = Result<String, ScriptError>;

/// Runs one script on a platform of its own.
pub struct Runner {
    deployment: Deployment,
    background: Background,
}

impl Runner {
    pub fn new() -> Self {
        Self {
            deployment: Deployment::open(),
            background: Background::default(),
        }
    }
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Output {
        let mut args = Args::new(command);
        let output = self.dispatch(&command.name, &mut args)?;
        args.reject_rest()?;
        Ok(output)
    }
}

impl Runner {
    fn dispatch(&mut self, name: &str, args: &mut Args) -> Output {
        match name {
            "start" => self.deployment.start(args),
            "kill" => self.deployment.kill(args),
            "ready" => Ok(self.deployment.wait_ready()),
            "stop" => self.deployment.stop(args),
            "freeze" => self.deployment.freeze(args),
            "thaw" => self.deployment.thaw(args),
            "document" => Ok(self.deployment.publish_all()),
            "change" => self.deployment.change(args),
            "publish" => self.publish(args),
            "request" => self.request(args),
            "await" => self.background.join(&args.rest()),
            "fault" => self.deployment.fault(args),
            "clear" => self.deployment.clear(args),
            "cut" => self.deployment.cut(args),
            "heal" => self.deployment.heal(args),
            "drain" => self.deployment.drain(args),
            "appended" => self.deployment.wait_appended(args),
            "owner" => self.deployment.owners(args),
            "runs" => self.deployment.run_count(args),
            "pass" => observe::sleep(args),
            "lost" => self.deployment.wait_member_failed(args),
            "leaving" => self.deployment.wait_target_leaving(args),
            "expect" => self.deployment.wait_state_value(args),
            _ => Err(format!("no command {name}").into()),
        }
    }

    fn publish(&mut self, args: &mut Args) -> Output {
        let label = args.option("as").map(str::to_owned);
        let work = self.deployment.prepare_publish(args)?;
        Ok(self.background.run(label, work))
    }

    fn request(&mut self, args: &mut Args) -> Output {
        let label = args.option("as").map(str::to_owned);
        let work = self.deployment.prepare_request(args)?;
        Ok(self.background.run(label, work))
    }
}
