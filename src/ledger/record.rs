//! Encoding of log records: an envelope authenticated by a MAC under the fleet secret
//! or, for an edit, by the operator's signature alone.

use std::io::Cursor;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Proposal;
use crate::id::{Offset, RecordId};
use crate::secret::FleetSecret;

/// Newest version of the acceptance rules that this build knows.
pub const RULES_VERSION: u16 = 1;

const MAC_CONTEXT: &[u8] = b"amaranthwick record";

/// A proposal with what is needed to accept it at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Unique id; a retry keeps it, so that a repeat is recognized.
    pub id: RecordId,
    /// Offset of the next record that the proposer had to apply when it drew the id. A record
    /// appended too far behind it is refused as expired.
    pub proposed_at: Offset,
    /// The proposed change.
    pub proposal: Proposal,
}

/// Why bytes could not be decoded as a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a whole envelope.
    #[error("not a record envelope")]
    Envelope,
    /// The MAC is wrong, or missing from a proposal that needs one.
    #[error("invalid MAC")]
    InvalidMac,
    /// The envelope is valid, but the proposal in it can't be decoded.
    #[error("not a valid proposal")]
    Proposal,
    /// The record needs a newer version of the rules than this build knows.
    #[error("unknown version of the rules: {0}")]
    UnknownRules(u16),
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    rules: u16,
    #[serde(with = "serde_bytes")]
    id: [u8; 16],
    proposed_at: u64,
    /// Empty for an edit, which the operator's signature in its body authenticates.
    #[serde(with = "serde_bytes")]
    mac: Vec<u8>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

impl Envelope {
    fn without_mac(record: &Record) -> Self {
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

/// Encodes a record with a MAC under the fleet secret.
#[must_use]
pub fn encode_record(record: &Record, secret: &FleetSecret) -> Vec<u8> {
    let mut envelope = Envelope::without_mac(record);
    envelope.mac = envelope.mac(secret).to_vec();
    pack(&envelope)
}

/// Encodes an operator's edit without a MAC; its signature authenticates it.
#[must_use]
pub fn encode_edit(record: &Record) -> Vec<u8> {
    pack(&Envelope::without_mac(record))
}

/// Decodes a record and checks its MAC. The signature of an edit is not checked here but
/// when the record is applied.
///
/// # Errors
/// Returns what is wrong with the bytes; never panics.
pub fn decode_record(bytes: &[u8], secret: &FleetSecret) -> Result<Record, DecodeError> {
    let envelope: Envelope = unpack(bytes).ok_or(DecodeError::Envelope)?;
    let has_mac = !envelope.mac.is_empty();
    if has_mac && !envelope.is_mac_valid(secret) {
        return Err(DecodeError::InvalidMac);
    }
    if envelope.rules > RULES_VERSION && has_mac {
        return Err(DecodeError::UnknownRules(envelope.rules));
    }
    let proposal: Proposal = unpack(&envelope.body).ok_or(DecodeError::Proposal)?;
    if !has_mac && !matches!(proposal, Proposal::Edit(_)) {
        return Err(DecodeError::InvalidMac);
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

/// Decodes a value that spans all bytes; `None` if bytes are left over.
fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut reader = Cursor::new(bytes);
    let value = rmp_serde::from_read(&mut reader).ok()?;
    let whole = usize::try_from(reader.position()) == Ok(bytes.len());
    whole.then_some(value)
}
