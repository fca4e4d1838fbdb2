//! API keys: the organisation to which each key is granted, and withdrawals.
//!
//! See `docs/design/keys.md`.

mod ring;

pub use ring::KeyHash;
pub use ring::KeyRing;
pub use ring::KeyStatus;
