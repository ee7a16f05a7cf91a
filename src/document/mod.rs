//! The capacity document: model, parsing and validation.

mod cache;
mod check;
pub(crate) mod decode;
pub mod example;
pub mod hex;
mod model;
mod secret;
mod section;
mod sign;

pub use cache::SectionCache;
pub use model::{
    Access, Budgets, Class, DataCentreSpec, Document, Fleet, Kind, OnStale, PoolSpec, PublicKey,
    QueueSpec, Service, Team, TeamKey,
};
pub use secret::{format_secret, key_hash, new_secret, parse_secret, same_hash};
pub use section::{FLEET, assemble, parse, section_text};
pub use sign::{OperatorKey, sign, verify};
