//! The keys that clients present, kept only as digests.

use std::fmt::{self, Write as _};

/// The longest key that is looked up. Unit: bytes.
const MAX_KEY_BYTES: usize = 256;

/// The bytes of a digest that are shown.
const FINGERPRINT_BYTES: usize = 4;

/// The digest of a key.
///
/// Keys are compared only by their digests, so that the time of a look-up reveals nothing about a key. Only the
/// first bytes are ever shown.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key.
    ///
    /// ```
    /// use reelreel_core::organisation::key::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::of(b"a key"), KeyDigest::of(b"a key"));
    /// assert_ne!(KeyDigest::of(b"a key"), KeyDigest::of(b"a Key"));
    /// ```
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key).into())
    }

    /// Returns a short text that identifies the key without revealing it.
    pub fn fingerprint(&self) -> String {
        let mut text = String::with_capacity(2 * FINGERPRINT_BYTES);
        for byte in &self.0[..FINGERPRINT_BYTES] {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({})", self.fingerprint())
    }
}

/// The key that a request presents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PresentedKey {
    /// No key.
    #[default]
    Missing,
    /// Several keys, or a malformed one.
    Unreadable,
    /// One key.
    Digest(KeyDigest),
}

impl PresentedKey {
    /// Reads the values of all header fields that carry a key.
    pub fn from_values<'value>(mut values: impl Iterator<Item = &'value [u8]>) -> Self {
        let Some(value) = values.next() else { return Self::Missing };
        if values.next().is_some() || value.is_empty() || value.len() > MAX_KEY_BYTES {
            return Self::Unreadable;
        }
        Self::Digest(KeyDigest::of(value))
    }

    /// Returns a short text for logs that identifies the key without revealing it.
    pub fn fingerprint(&self) -> Option<String> {
        match self {
            Self::Digest(digest) => Some(digest.fingerprint()),
            Self::Missing | Self::Unreadable => None,
        }
    }
}
