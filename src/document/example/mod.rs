//! Keys of the example documents, and generated documents of any size.
//!
//! The keys can be computed by anyone, so they are for development and tests only.

mod sized;

pub use sized::{DocumentSize, sections, team_section};

use sha2::{Digest, Sha256};

use super::OperatorKey;

/// Secret of the callers' key of a team: SHA-256 of `amaranthwick example caller TEAM`.
#[must_use]
pub fn caller_secret(team: &str) -> [u8; 32] {
    Sha256::digest(format!("amaranthwick example caller {team}")).into()
}

/// Seed of an operator's private key: SHA-256 of `amaranthwick example operator NAME`.
#[must_use]
pub fn operator_seed(operator: &str) -> [u8; 32] {
    Sha256::digest(format!("amaranthwick example operator {operator}")).into()
}

/// Private key of an operator.
///
/// `TEAM-ops` and `fleet-ops` edit sections, `TEAM-owner` creates the section of a team and
/// `root` creates the fleet section.
#[must_use]
pub fn operator_key(name: &str) -> OperatorKey {
    OperatorKey::from_seed(&operator_seed(name))
}

/// Secret that the processes of the fleet share: SHA-256 of `amaranthwick example fleet secret`.
#[must_use]
pub fn fleet_secret() -> [u8; 32] {
    Sha256::digest("amaranthwick example fleet secret").into()
}
