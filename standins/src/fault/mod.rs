//! Faults that the stand-ins bring about.

mod kind;
mod network;
mod site;

pub use kind::{Cut, Fault, SiteName, WrongAnswer};
pub(crate) use network::Network;
pub(crate) use site::{Faults, Site, SiteSpec};

/// Name that stands for the platform's services where a data centre is named.
pub const PLATFORM: &str = "platform";
