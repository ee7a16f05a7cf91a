//! A small fleet and stand-ins for the platform in one process, for development and tests.

mod fleet;
mod process;
mod publish;
mod settings;
mod spec;

pub use fleet::DevFleet;
pub use process::{EntryProcess, PlannerProcess};
pub use publish::Publisher;
pub use settings::{common_config, common_config_on};
pub use spec::fleet_spec;
