//! Mutual authentication by a shared key: each side answers the other's challenge with an
//! HMAC when a connection between instances opens.

use std::fmt;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Block size of SHA-256, in bytes.
const BLOCK_SIZE: usize = 64;

/// A random challenge.
pub(crate) type Nonce = [u8; 32];

/// The HMAC that answers a challenge.
pub(crate) type Proof = [u8; 32];

/// The side that computes a proof. It is part of the HMAC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The connecting side.
    Client,
    /// The accepting side.
    Server,
}

/// The key shared by all instances, as the inner and outer pads of its HMAC.
#[derive(Clone)]
pub struct PeerKey {
    inner: [u8; BLOCK_SIZE],
    outer: [u8; BLOCK_SIZE],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(…)")
    }
}

impl PeerKey {
    /// Derives the key from `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
        let mut inner = [0x36; BLOCK_SIZE];
        let mut outer = [0x5c; BLOCK_SIZE];
        for (i, byte) in digest.iter().enumerate() {
            inner[i] ^= byte;
            outer[i] ^= byte;
        }
        Self { inner, outer }
    }

    /// Computes the proof of one side over the client's name and both challenges.
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
pub(crate) fn proofs_match(a: &Proof, b: &Proof) -> bool {
    a.ct_eq(b).into()
}

/// Generates a random challenge.
pub(crate) fn nonce() -> Nonce {
    rand::random()
}
