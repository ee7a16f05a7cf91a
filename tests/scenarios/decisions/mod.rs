//! Drives the decisions of several processes in virtual time.

mod edits;
mod log;
mod process;
mod steps;
mod world;

use goldenscript::Command;

use crate::args::{Args, Failure};
use world::World;

type Output = Result<String, Failure>;

/// Runs one script in a world of its own.
pub struct Runner(World);

impl Runner {
    pub fn new() -> Self {
        Self(World::open())
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
        let world = &mut self.0;
        match name {
            "start" => world.start(args),
            "kill" => world.kill(args),
            "freeze" => world.set_frozen(args, true),
            "thaw" => world.set_frozen(args, false),
            "advance" => world.advance(args),
            "document" => world.publish_all(),
            "edit" => world.edit(args),
            "repeat" => world.repeat(args),
            "forge" => Ok(world.forge()),
            "verdict" => world.verdict(args),
            "fault" => world.fault(args),
            "clear" => Ok(world.clear()),
            "states" => world.set_states(args),
            "expire" => Ok(world.expire()),
            "cut" => world.cut(args),
            "heal" => world.heal(args),
            "look" => world.look(args),
            "holds" => world.holds(args),
            _ => Err(format!("no command {name}").into()),
        }
    }
}
