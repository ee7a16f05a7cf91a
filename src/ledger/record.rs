//! Wire form of a proposal: an envelope sealed by the fleet secret, or by the
//! operator's signature alone.

use std::io::Cursor;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Proposal;
use crate::id::{Offset, RecordId};
use crate::secret::FleetSecret;

/// Newest rules of the fold that this build knows.
pub const RULES_VERSION: u16 = 1;

const MAC_CONTEXT: &[u8] = b"amaranthwick record";

/// A proposal with what the fold needs to accept it at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Unique id, kept by every retry.
    pub id: RecordId,
    /// Next offset that the proposer had to fold when it drew the id.
    pub proposed_at: Offset,
    /// What is proposed.
    pub proposal: Proposal,
}

/// Why bytes are not a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not an envelope.
    #[error("not an envelope")]
    Envelope,
    /// The seal is missing, wrong or of the wrong kind for the proposal.
    #[error("seal does not match")]
    Seal,
    /// The proposal inside a valid seal can't be read.
    #[error("not a proposal")]
    Proposal,
    /// The record was written under rules that this build does not know.
    #[error("unknown rules {0}")]
    Rules(u16),
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    rules: u16,
    #[serde(with = "serde_bytes")]
    id: [u8; 16],
    proposed_at: u64,
    /// Empty when the operator's signature inside the proposal is the seal.
    #[serde(with = "serde_bytes")]
    mac: Vec<u8>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

impl Envelope {
    fn unsealed(record: &Record) -> Self {
        Self {
            rules: RULES_VERSION,
            id: record.id.0.to_be_bytes(),
            proposed_at: record.proposed_at.0,
            mac: Vec::new(),
            body: pack(&record.proposal),
        }
    }

    fn mac(&self, secret: &FleetSecret) -> [u8; 32] {
        let [rules, proposed_at] = self.numeric_fields();
        secret.mac(&[MAC_CONTEXT, &rules, &self.id, &proposed_at, &self.body])
    }

    fn is_mac_valid(&self, secret: &FleetSecret) -> bool {
        let [rules, proposed_at] = self.numeric_fields();
        let parts: [&[u8]; 5] = [MAC_CONTEXT, &rules, &self.id, &proposed_at, &self.body];
        secret.verify(&parts, &self.mac)
    }

    fn numeric_fields(&self) -> [[u8; 8]; 2] {
        [
            u64::from(self.rules).to_be_bytes(),
            self.proposed_at.to_be_bytes(),
        ]
    }
}

/// Encodes a record under the fleet secret.
#[must_use]
pub fn encode_record(record: &Record, secret: &FleetSecret) -> Vec<u8> {
    let mut envelope = Envelope::unsealed(record);
    envelope.mac = envelope.mac(secret).to_vec();
    pack(&envelope)
}

/// Encodes an operator's edit, which carries its own signature.
#[must_use]
pub fn encode_edit(record: &Record) -> Vec<u8> {
    pack(&Envelope::unsealed(record))
}

/// Reads a record and checks its seal; an edit's signature is checked by the fold.
///
/// # Errors
/// Names what is wrong with the bytes; never panics.
pub fn decode_record(bytes: &[u8], secret: &FleetSecret) -> Result<Record, DecodeError> {
    let envelope: Envelope = unpack(bytes).ok_or(DecodeError::Envelope)?;
    let has_mac = !envelope.mac.is_empty();
    if has_mac && !envelope.is_mac_valid(secret) {
        return Err(DecodeError::Seal);
    }
    if envelope.rules > RULES_VERSION && has_mac {
        return Err(DecodeError::Rules(envelope.rules));
    }
    let proposal: Proposal = unpack(&envelope.body).ok_or(DecodeError::Proposal)?;
    if !has_mac && !matches!(proposal, Proposal::Edit(_)) {
        return Err(DecodeError::Seal);
    }
    Ok(Record {
        id: RecordId(u128::from_be_bytes(envelope.id)),
        proposed_at: Offset(envelope.proposed_at),
        proposal,
    })
}

fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data always serializes")
}

/// Reads a whole value; trailing bytes are an error.
fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut reader = Cursor::new(bytes);
    let value = rmp_serde::from_read(&mut reader).ok()?;
    let whole = usize::try_from(reader.position()) == Ok(bytes.len());
    whole.then_some(value)
}
