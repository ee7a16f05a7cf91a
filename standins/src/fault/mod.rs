//! Faults that can be injected into the stand-ins.

mod active;
mod kind;
mod network;
mod site;

pub(crate) use active::ActiveFaults;
pub use kind::{Cut, Fault, SiteName, WrongAnswer};
pub(crate) use network::Network;
pub(crate) use site::{Site, SiteSpec};

/// Name used in place of a data centre for the platform's services.
pub const PLATFORM: &str = "platform";
