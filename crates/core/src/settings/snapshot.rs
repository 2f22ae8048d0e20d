//! Snapshots of the settings state, for hosts that need log records which have expired.

use serde::{Deserialize, Serialize};

use crate::{
    id::{LogOffset, Revision},
    settings::SettingsTree,
};

/// The newest [`SettingsSnapshot`] format that this program supports, and the one it writes.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// The reason why a snapshot was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot was written in a newer format.
    #[error(
        "snapshot has format {0}, but this program supports only formats up to {SNAPSHOT_FORMAT}; update this host"
    )]
    NewerFormat(u32),
    /// The digest does not match the contents.
    #[error("snapshot of revision {0} does not match its digest; use a snapshot from another host")]
    DigestMismatch(Revision),
    /// The snapshot cannot be parsed.
    #[error("snapshot cannot be parsed ({0}); use a snapshot from another host")]
    Damaged(String),
}

/// The state after a prefix of the settings stream, with a digest of its contents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsSnapshot {
    /// Format version.
    pub format: u32,
    /// Revision of the tree.
    pub revision: Revision,
    /// Offset of the first record that is not included.
    pub next_offset: LogOffset,
    /// BLAKE3 digest of revision, offset and tree JSON, in hexadecimal.
    pub digest: String,
    /// The tree as JSON.
    pub tree: String,
}

impl SettingsSnapshot {
    /// Creates a snapshot of a tree.
    ///
    /// # Panics
    /// Never panics: every tree can be serialized as JSON.
    pub fn new(tree: &SettingsTree, revision: Revision, next_offset: LogOffset) -> Self {
        let tree = serde_json::to_string(tree).expect("a settings tree serializes as JSON");
        let digest = digest(&tree, revision, next_offset);
        Self { format: SNAPSHOT_FORMAT, revision, next_offset, digest, tree }
    }

    /// Parses a snapshot from the log or from a peer.
    ///
    /// # Errors
    /// Returns [`SnapshotError::Damaged`] if the payload cannot be parsed.
    pub fn from_json(payload: &[u8]) -> Result<Self, SnapshotError> {
        serde_json::from_slice(payload).map_err(|error| SnapshotError::Damaged(error.to_string()))
    }

    /// Serializes the snapshot as JSON.
    ///
    /// # Panics
    /// Never panics: every snapshot can be serialized as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a snapshot serializes as JSON")
    }

    /// Verifies the format and the digest, and returns the tree.
    ///
    /// # Errors
    /// Returns an error if the snapshot is invalid.
    pub fn into_tree(self) -> Result<SettingsTree, SnapshotError> {
        if self.format > SNAPSHOT_FORMAT {
            return Err(SnapshotError::NewerFormat(self.format));
        }
        if digest(&self.tree, self.revision, self.next_offset) != self.digest {
            return Err(SnapshotError::DigestMismatch(self.revision));
        }
        let mut tree: SettingsTree = serde_json::from_str(&self.tree)
            .map_err(|error| SnapshotError::Damaged(error.to_string()))?;
        tree.reindex();
        Ok(tree)
    }
}

fn digest(tree: &str, revision: Revision, next_offset: LogOffset) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&revision.to_le_bytes());
    hasher.update(&next_offset.to_le_bytes());
    hasher.update(tree.as_bytes());
    hasher.finalize().to_hex().to_string()
}
