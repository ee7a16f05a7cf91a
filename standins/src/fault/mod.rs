//! Faults that the stand-ins bring about.

mod active;
mod network;
mod site;
mod types;

pub(crate) use active::ActiveFaults;
pub(crate) use network::Network;
pub(crate) use site::{Site, SiteSpec};
pub use types::{Cut, Fault, SiteName, WrongAnswer};

/// Name that stands for the platform's services where a data centre is named.
pub const PLATFORM: &str = "platform";
