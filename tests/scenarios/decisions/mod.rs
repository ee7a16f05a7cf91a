//! Runs scripts against the control cores of several processes in virtual time.

mod edits;
mod log;
mod process;
mod simulation;
mod steps;

use goldenscript::Command;

use crate::args::{Args, ScriptError};
use simulation::Simulation;

type Output = Result<String, ScriptError>;

/// Runs one script in a simulation of its own.
pub struct Runner(Simulation);

impl Runner {
    pub fn new() -> Self {
        Self(Simulation::open())
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
        let simulation = &mut self.0;
        match name {
            "start" => simulation.start(args),
            "kill" => simulation.kill(args),
            "freeze" => simulation.set_frozen(args, true),
            "thaw" => simulation.set_frozen(args, false),
            "advance" => simulation.advance(args),
            "document" => simulation.publish_all(),
            "edit" => simulation.edit(args),
            "repeat" => simulation.repeat(args),
            "forge" => Ok(simulation.forge()),
            "verdict" => simulation.verdict(args),
            "fault" => simulation.fault(args),
            "clear" => Ok(simulation.clear()),
            "states" => simulation.set_state_transfer(args),
            "expire" => Ok(simulation.expire()),
            "cut" => simulation.cut(args),
            "heal" => simulation.heal(args),
            "look" => simulation.describe_process(args),
            "holds" => simulation.holds_role(args),
            _ => Err(format!("no command {name}").into()),
        }
    }
}
