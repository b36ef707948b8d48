//! Mutual authentication by a shared key: each side answers the other's challenge with an HMAC.

use std::fmt;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Block size of SHA-256, in bytes.
const BLOCK: usize = 64;

/// A random challenge.
pub(crate) type Nonce = [u8; 32];

/// An answer to a challenge.
pub(crate) type Proof = [u8; 32];

/// Which side proves itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The one that connected.
    Client,
    /// The one that accepted.
    Server,
}

/// The key that all instances share.
#[derive(Clone)]
pub struct PeerKey {
    inner: [u8; BLOCK],
    outer: [u8; BLOCK],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(…)")
    }
}

impl PeerKey {
    /// The key made of `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
        let mut inner = [0x36; BLOCK];
        let mut outer = [0x5c; BLOCK];
        for (i, byte) in digest.iter().enumerate() {
            inner[i] ^= byte;
            outer[i] ^= byte;
        }
        Self { inner, outer }
    }

    /// Proves the key to the other side. Both names and both challenges are part of it.
    pub(crate) fn prove(&self, side: Side, client: (&str, &Nonce), server: &Nonce) -> Proof {
        let side: &[u8] = match side {
            Side::Client => b"client",
            Side::Server => b"server",
        };
        let inner = Sha256::new()
            .chain_update(self.inner)
            .chain_update(side)
            .chain_update(client.1)
            .chain_update(server)
            .chain_update(client.0)
            .finalize();
        Sha256::new()
            .chain_update(self.outer)
            .chain_update(inner)
            .finalize()
            .into()
    }
}

/// Compares proofs in constant time.
pub(crate) fn same(a: &Proof, b: &Proof) -> bool {
    a.ct_eq(b).into()
}

/// A new challenge.
pub(crate) fn nonce() -> Nonce {
    rand::random()
}
