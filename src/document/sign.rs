//! Signing of edits by operators, and its verification.

use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};

use super::PublicKey;
use crate::id::{Revision, SectionId};

// Domain separation: a signature of an edit is not valid for any other kind of message.
const SIGNATURE_DOMAIN: &[u8] = b"amaranthwick edit 1\0";

/// Private key of an operator; never printed.
#[derive(Clone)]
pub struct OperatorKey(SigningKey);

impl OperatorKey {
    /// Derives the key from a seed of 32 bytes.
    #[must_use]
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Returns the public key, which the document has.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        self.0.verifying_key().to_bytes()
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// Signs the edit that replaces revision `base` of a section by `text`; returns 64 bytes.
#[must_use]
pub fn sign_edit(key: &OperatorKey, section: &SectionId, base: Revision, text: &str) -> Vec<u8> {
    let message = signed_message(section, base, text);
    key.0.sign(&message).to_bytes().to_vec()
}

/// True if `signature` is a signature of exactly this edit by the owner of `key`.
#[must_use]
pub fn verify_edit(
    key: &PublicKey,
    section: &SectionId,
    base: Revision,
    text: &str,
    signature: &[u8],
) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(key) else {
        return false;
    };
    let Ok(signature) = Signature::from_slice(signature) else {
        return false;
    };
    let message = signed_message(section, base, text);
    key.verify_strict(&message, &signature).is_ok()
}

/// True if the bytes are a valid public key and not a weak one, for which others can sign too.
pub(crate) fn is_public_key(bytes: &PublicKey) -> bool {
    VerifyingKey::from_bytes(bytes).is_ok_and(|key| !key.is_weak())
}

/// Encodes an edit for signing. The name has its length before it, the revision has a fixed length
/// and the text is last, so no two edits have the same message.
fn signed_message(section: &SectionId, base: Revision, text: &str) -> Vec<u8> {
    let name = section.as_str().as_bytes();
    let mut message = Vec::with_capacity(SIGNATURE_DOMAIN.len() + 16 + name.len() + text.len());
    message.extend_from_slice(SIGNATURE_DOMAIN);
    message.extend_from_slice(&(name.len() as u64).to_be_bytes());
    message.extend_from_slice(name);
    message.extend_from_slice(&base.0.to_be_bytes());
    message.extend_from_slice(text.as_bytes());
    message
}
