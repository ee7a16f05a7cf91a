//! Decoding of sections from their text.

mod fleet;
mod team;

pub(super) use fleet::fleet;
pub(super) use team::team;

use super::PublicKey;
use super::sign::is_public_key;
use crate::jsonc::Node;

/// An Ed25519 public key that can be signed for.
pub(crate) fn public_key(node: Node<'_>) -> Option<PublicKey> {
    let bytes = node.bytes()?;
    let good = is_public_key(&bytes);
    if !good {
        node.report("not an Ed25519 public key");
    }
    good.then_some(bytes)
}
