//! Secret shared by the processes of a fleet; never printed.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Secret that the processes of one fleet share to authenticate messages and records.
#[derive(Clone)]
pub struct FleetSecret([u8; 32]);

impl FleetSecret {
    /// Makes the secret from the 32 bytes given in the settings.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes the HMAC-SHA-256 of the concatenation of `parts`.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.hasher(parts).finalize().into_bytes().into()
    }

    /// Checks `mac` against the HMAC of `parts`, in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.hasher(parts).verify_slice(mac).is_ok()
    }

    fn hasher(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut hasher =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            hasher.update(part);
        }
        hasher
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}
