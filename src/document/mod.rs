//! The capacity document: model, parsing and validation.
//!
//! Replaying the log accepts an edit only if the document with it is valid, and all processes must
//! agree on that; so every change to what is valid needs a new version of the rules in
//! [`crate::ledger`].

mod cache;
mod check;
pub(crate) mod decode;
mod diff;
mod edit;
pub mod example;
mod file;
pub mod hex;
mod model;
mod name;
mod secret;
mod section;
mod sign;

pub use cache::{MAX_SECTION_BYTES, SectionCache};
pub use diff::{Hunk, three_way_diff};
pub use edit::{KeyEditError, grant_key, withdraw_key};
pub use file::{read_file, replace_file};
pub use model::{
    Access, Budgets, Class, DataCentreSpec, Document, FleetSection, OnStale, PoolSpec, PublicKey,
    QueueSpec, Service, TargetKind, TeamKey, TeamSection,
};
pub use name::{InvalidName, check_name};
pub use secret::{RandomError, format_secret, hashes_equal, key_hash, new_secret, parse_secret};
pub use section::{FLEET_SECTION, assemble, parse, section_text};
pub use sign::{OperatorKey, sign_edit, verify_edit};
