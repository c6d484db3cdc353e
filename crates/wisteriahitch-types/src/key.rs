//! Keys derived by hashing.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const KEY_LEN: usize = 16;
const HEX_LEN: usize = KEY_LEN * 2;

/// Error of parsing a key: the text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a key has 32 hexadecimal digits")]
pub struct ParseKeyError;

macro_rules! key_type {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; KEY_LEN]);

        impl $name {
            /// Builds a key from its bytes.
            pub const fn from_bytes(bytes: [u8; KEY_LEN]) -> Self {
                Self(bytes)
            }

            /// Returns the bytes of the key.
            pub const fn as_bytes(&self) -> &[u8; KEY_LEN] {
                &self.0
            }

            /// Derives a key from `material`. Each use must have a `context` string of its own.
            ///
            /// Each part is hashed with its length, so that two different lists of parts with the
            /// same concatenation give different keys.
            pub fn derive(context: &str, material: &[&[u8]]) -> Self {
                let mut hasher = blake3::Hasher::new_derive_key(context);
                for part in material {
                    hasher.update(&(part.len() as u64).to_le_bytes());
                    hasher.update(part);
                }
                let mut bytes = [0; KEY_LEN];
                hasher.finalize_xof().fill(&mut bytes);
                Self(bytes)
            }
        }

        impl FromStr for $name {
            type Err = ParseKeyError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if text.len() != HEX_LEN || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(ParseKeyError);
                }
                let mut bytes = [0; KEY_LEN];
                for (i, byte) in bytes.iter_mut().enumerate() {
                    let digits = &text[2 * i..2 * i + 2];
                    *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyError)?;
                }
                Ok(Self(bytes))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseKeyError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(key: $name) -> Self {
                key.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }
    )+};
}

key_type! {
    /// Identifies a cache block. Derived from workspace, model, adapter, weight version and all
    /// pieces of the prompt up to and including this block's (`docs/design/blocks.md`).
    BlockKey,
    /// Hash of a caller's secret or idempotency key. The key itself is never stored.
    KeyHash,
}
