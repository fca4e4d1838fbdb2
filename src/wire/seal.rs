//! Message authentication between the daemons of one fleet.
//!
//! Each message carries a BLAKE3 hash keyed with the fleet's secret. Callers don't have the secret and
//! can't impersonate a daemon. The limits of this protection are in `docs/design/trust.md`.

use uuid::Uuid;

use super::SealedMessage;

/// Authentication key derived from the fleet's secret.
#[derive(Clone)]
pub struct FleetKey {
    bytes: [u8; 32],
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Context of the proof of a control message; contexts keep a proof from being valid elsewhere.
const MESSAGE_CONTEXT: &[u8] = b"marigoldhatch control message v1";
/// Context of the proof of a forwarded call.
const CALL_CONTEXT: &[u8] = b"marigoldhatch call v1";
/// Context of the key derivation.
const KEY_DERIVATION: &str = "marigoldhatch fleet secret v1";

impl FleetKey {
    /// Derives the key from the `fleet_secret` of the settings.
    pub fn from_secret(secret: &str) -> Self {
        Self {
            bytes: blake3::derive_key(KEY_DERIVATION, secret.as_bytes()),
        }
    }

    /// Wraps a control message with its sender and proof.
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

    /// Returns true if a daemon of this fleet created the message for this method.
    pub fn verify_message(&self, method: &str, message: &SealedMessage) -> bool {
        let expected = self.message_proof(message.sender, method, &message.body);
        matches_hex(&expected, message.proof.as_bytes())
    }

    /// Returns the proof sent with a forwarded call, as hexadecimal text.
    pub fn call_proof(&self, envelope: &[u8], method: &str, target: &str, body: &[u8]) -> String {
        self.call_hash(envelope, method, target, body)
            .to_hex()
            .to_string()
    }

    /// Returns true if a daemon of this fleet forwarded the call.
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

/// Compares a hash with its hexadecimal form in constant time, as `blake3::Hash` does.
fn matches_hex(expected: &blake3::Hash, proof: &[u8]) -> bool {
    blake3::Hash::from_hex(proof).is_ok_and(|given| given == *expected)
}
