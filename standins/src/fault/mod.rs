//! Faults that the stand-ins bring about.

mod faults;
mod kind;
mod network;
mod site;

pub(crate) use faults::Faults;
pub use kind::{Cut, Fault, SiteName, WrongAnswer};
pub(crate) use network::Network;
pub(crate) use site::{Site, SiteSpec};

/// Name that stands for the platform's services where a data centre is named.
pub const PLATFORM: &str = "platform";
