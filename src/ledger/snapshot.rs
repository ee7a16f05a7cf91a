//! Encoding of the whole state, authenticated by a MAC under the fleet secret.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::state::Facts;
use super::{State, TrustedKeys};
use crate::document::SectionCache;
use crate::id::Offset;

const MAC_CONTEXT: &[u8] = b"amaranthwick snapshot";

/// Why bytes were refused as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes can't be decoded as a snapshot.
    #[error("not a snapshot")]
    Malformed,
    /// The MAC is not one under the fleet secret.
    #[error("invalid MAC")]
    InvalidMac,
    /// The state or its offset differs from what the MAC covers.
    #[error("digest does not match")]
    Digest,
    /// The section texts no longer form a valid document; holds the findings.
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

/// Encodes the whole state with a digest and a MAC over offset and digest.
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

/// Decodes a snapshot after checking its MAC and digest.
///
/// # Errors
/// Returns the first check that fails; never panics.
pub fn decode_snapshot(bytes: &[u8], trust: &TrustedKeys) -> Result<State, SnapshotError> {
    let snapshot: Snapshot = rmp_serde::from_slice(bytes).map_err(|_| SnapshotError::Malformed)?;
    let offset_bytes = snapshot.offset.0.to_be_bytes();
    let parts = [MAC_CONTEXT, &offset_bytes, &snapshot.digest];
    if !trust.secret.verify(&parts, &snapshot.mac) {
        return Err(SnapshotError::InvalidMac);
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
    /// Assembles the document from the section texts; a snapshot does not contain it.
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
