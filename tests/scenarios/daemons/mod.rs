//! Drives the daemons as processes on stand-ins inside the test.

mod background;
mod look;
mod request;
mod site;

use goldenscript::Command;

use crate::args::{Args, Failure};
use background::Background;
use site::Site;

type Output = Result<String, Failure>;

/// Runs one script; each has a platform of its own.
pub struct Runner {
    site: Site,
    background: Background,
}

impl Runner {
    pub fn new() -> Self {
        Self {
            site: Site::open(),
            background: Background::default(),
        }
    }
}

impl goldenscript::Runner for Runner {
    fn run(&mut self, command: &Command) -> Output {
        let mut args = Args::new(command);
        let output = self.dispatch(&command.name, &mut args)?;
        args.end()?;
        Ok(output)
    }
}

impl Runner {
    fn dispatch(&mut self, name: &str, args: &mut Args) -> Output {
        match name {
            "start" => self.site.start(args),
            "kill" => self.site.kill(args),
            "ready" => Ok(self.site.ready()),
            "stop" => self.site.stop(args),
            "freeze" => self.site.freeze(args),
            "thaw" => self.site.thaw(args),
            "document" => Ok(self.site.publish_all()),
            "change" => self.site.change(args),
            "publish" => self.publish(args),
            "request" => self.request(args),
            "await" => self.background.join(&args.rest()),
            "fault" => self.site.fault(args),
            "clear" => self.site.clear(args),
            "cut" => self.site.cut(args),
            "heal" => self.site.heal(args),
            "drain" => self.site.drain(args),
            "appended" => self.site.appended(args),
            "owner" => self.site.owner(args),
            "runs" => self.site.runs(args),
            "pass" => look::pass(args),
            "lost" => self.site.lost(args),
            "leaving" => self.site.leaving(args),
            "expect" => self.site.expect(args),
            _ => Err(format!("no command {name}").into()),
        }
    }

    fn publish(&mut self, args: &mut Args) -> Output {
        let label = args.key("as").map(str::to_owned);
        let work = self.site.publish(args)?;
        Ok(self.background.run(label, work))
    }

    fn request(&mut self, args: &mut Args) -> Output {
        let label = args.key("as").map(str::to_owned);
        let work = self.site.request(args)?;
        Ok(self.background.run(label, work))
    }
}
