//! Decodes sections from JSON with comments.

mod fleet;
mod team;

pub(super) use fleet::fleet;
pub(super) use team::team;

use super::PublicKey;
use super::sign::is_public_key;
use crate::jsonc::Node;

/// Reads an Ed25519 public key and refuses bytes that are no key or a weak one.
pub(crate) fn public_key(node: Node<'_>) -> Option<PublicKey> {
    let bytes = node.bytes()?;
    let good = is_public_key(&bytes);
    if !good {
        node.report("not an Ed25519 public key");
    }
    good.then_some(bytes)
}
