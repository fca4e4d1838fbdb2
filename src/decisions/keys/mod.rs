//! Which keys work, for whom.
//!
//! See `docs/design/keys.md`.

mod ring;

pub use ring::KeyHash;
pub use ring::KeyRing;
pub use ring::KeyStatus;
