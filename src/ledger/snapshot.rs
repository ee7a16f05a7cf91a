//! Whole state as bytes, sealed by the fleet secret.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::state::Facts;
use super::{State, TrustedKeys};
use crate::document::SectionCache;
use crate::id::Offset;

const MAC_CONTEXT: &[u8] = b"amaranthwick snapshot";

/// Why bytes are not adopted as state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot.
    #[error("not a snapshot")]
    Malformed,
    /// Not sealed by the fleet secret.
    #[error("seal does not match")]
    Seal,
    /// The state is not the one that was sealed.
    #[error("digest does not match")]
    Digest,
    /// The accepted texts no longer form a document.
    #[error("document: {0}")]
    Document(String),
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    offset: Offset,
    #[serde(with = "serde_bytes")]
    digest: Vec<u8>,
    #[serde(with = "serde_bytes")]
    mac: Vec<u8>,
    #[serde(with = "serde_bytes")]
    state: Vec<u8>,
}

/// Encodes the whole state.
///
/// # Panics
/// Never: plain data always serializes.
#[must_use]
pub fn encode_snapshot(state: &State) -> Vec<u8> {
    let offset = state.facts.offset;
    let bytes = rmp_serde::to_vec(&state.facts).expect("plain data always serializes");
    let digest: [u8; 32] = Sha256::digest(&bytes).into();
    let offset_bytes = offset.0.to_be_bytes();
    let mac = state
        .trust
        .secret
        .mac(&[MAC_CONTEXT, &offset_bytes, &digest]);
    let snapshot = Snapshot {
        offset,
        digest: digest.to_vec(),
        mac: mac.to_vec(),
        state: bytes,
    };
    rmp_serde::to_vec(&snapshot).expect("plain data always serializes")
}

/// Reads a state back and checks its seal and digest.
///
/// # Errors
/// Names the first check that fails; never panics.
pub fn decode_snapshot(bytes: &[u8], trust: &TrustedKeys) -> Result<State, SnapshotError> {
    let snapshot: Snapshot = rmp_serde::from_slice(bytes).map_err(|_| SnapshotError::Malformed)?;
    let offset_bytes = snapshot.offset.0.to_be_bytes();
    let parts = [MAC_CONTEXT, &offset_bytes, &snapshot.digest];
    if !trust.secret.verify(&parts, &snapshot.mac) {
        return Err(SnapshotError::Seal);
    }
    let digest: [u8; 32] = Sha256::digest(&snapshot.state).into();
    if digest.as_slice() != snapshot.digest {
        return Err(SnapshotError::Digest);
    }
    let facts: Facts =
        rmp_serde::from_slice(&snapshot.state).map_err(|_| SnapshotError::Malformed)?;
    if facts.offset != snapshot.offset {
        return Err(SnapshotError::Digest);
    }
    let mut state = State {
        trust: trust.clone(),
        document: None,
        facts,
        cache: SectionCache::default(),
    };
    state.rebuild_document()?;
    Ok(state)
}

impl State {
    /// Assembles the document again from the accepted texts.
    fn rebuild_document(&mut self) -> Result<(), SnapshotError> {
        if self.facts.sections.is_empty() {
            return Ok(());
        }
        let section_texts = self.section_texts();
        let document = self
            .cache
            .assemble(&section_texts)
            .map_err(|findings| SnapshotError::Document(findings.to_string()))?;
        self.document = Some(Arc::new(document));
        Ok(())
    }
}
