//! Proofs by which the daemons of one fleet know each other.
//!
//! Each message carries a keyed BLAKE3 hash under the fleet's secret. A caller does not have the
//! secret and so can't pose as a daemon. See `docs/design/trust.md` for what this does not cover.

use uuid::Uuid;

use super::SealedMessage;

/// The key derived from the fleet's secret.
#[derive(Clone)]
pub struct FleetKey {
    bytes: [u8; 32],
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// What a proof is for, so that one can't be used in another place.
const MESSAGE_CONTEXT: &[u8] = b"marigoldhatch control message v1";
const CALL_CONTEXT: &[u8] = b"marigoldhatch call v1";
const KEY_DERIVATION: &str = "marigoldhatch fleet secret v1";

impl FleetKey {
    /// Derives the key from the secret in the settings.
    pub fn from_secret(secret: &str) -> Self {
        Self {
            bytes: blake3::derive_key(KEY_DERIVATION, secret.as_bytes()),
        }
    }

    /// Seals a control message.
    pub fn seal(&self, sender: Uuid, method: &str, body: String) -> SealedMessage {
        let proof = self
            .message_proof(sender, method, &body)
            .to_hex()
            .to_string();
        SealedMessage {
            sender,
            body,
            proof,
        }
    }

    /// Whether a daemon of this fleet wrote the message for this method.
    pub fn verify_message(&self, method: &str, message: &SealedMessage) -> bool {
        let expected = self.message_proof(message.sender, method, &message.body);
        matches_hex(&expected, message.proof.as_bytes())
    }

    /// The proof that goes with a forwarded call.
    pub fn call_proof(&self, envelope: &[u8], method: &str, target: &str, body: &[u8]) -> String {
        self.call_hash(envelope, method, target, body)
            .to_hex()
            .to_string()
    }

    /// Whether a daemon of this fleet forwarded the call.
    pub fn verify_call(
        &self,
        proof: &[u8],
        envelope: &[u8],
        method: &str,
        target: &str,
        body: &[u8],
    ) -> bool {
        matches_hex(&self.call_hash(envelope, method, target, body), proof)
    }

    fn message_proof(&self, sender: Uuid, method: &str, body: &str) -> blake3::Hash {
        let parts = [sender.as_bytes(), method.as_bytes(), body.as_bytes()];
        self.hash(MESSAGE_CONTEXT, &parts)
    }

    fn call_hash(&self, envelope: &[u8], method: &str, target: &str, body: &[u8]) -> blake3::Hash {
        let parts = [envelope, method.as_bytes(), target.as_bytes(), body];
        self.hash(CALL_CONTEXT, &parts)
    }

    fn hash(&self, context: &[u8], parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.bytes);
        hasher.update(context);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }
}

/// Compares in constant time, as `blake3::Hash` does.
fn matches_hex(expected: &blake3::Hash, proof: &[u8]) -> bool {
    blake3::Hash::from_hex(proof).is_ok_and(|given| given == *expected)
}
