//! Snapshots: a fold written down, so that a fresh host need not read a log that has expired.

use serde::{Deserialize, Serialize};

use crate::{
    id::{LogOffset, Revision},
    settings::SettingsTree,
};

/// The format of [`SettingsSnapshot`] that this program writes and understands.
pub const SNAPSHOT_FORMAT: u32 = 1;

/// Why a snapshot was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It was written by a newer program.
    #[error("snapshot has format {0}, this program knows {SNAPSHOT_FORMAT}; update this host")]
    NewerFormat(u32),
    /// Its digest is not the digest of what it holds.
    #[error("snapshot of revision {0} does not match its digest; take one from another host")]
    DigestMismatch(Revision),
    /// It can not be read.
    #[error("snapshot can not be read ({0}); take one from another host")]
    Damaged(String),
}

/// The state after a prefix of the settings stream, with a digest over all of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsSnapshot {
    /// The format's number.
    pub format: u32,
    /// The revision.
    pub revision: Revision,
    /// The offset of the first record that is not in it.
    pub next_offset: LogOffset,
    /// Hex digest (BLAKE3) over revision, offset and the tree's JSON.
    pub digest: String,
    /// The tree as JSON.
    pub tree: String,
}

impl SettingsSnapshot {
    /// Writes down a tree.
    ///
    /// # Panics
    /// Never: a tree holds nothing that JSON can not.
    pub fn new(tree: &SettingsTree, revision: Revision, next_offset: LogOffset) -> Self {
        let tree = serde_json::to_string(tree).expect("a settings tree can be written as JSON");
        let digest = digest(&tree, revision, next_offset);
        Self { format: SNAPSHOT_FORMAT, revision, next_offset, digest, tree }
    }

    /// Reads a snapshot as it stands in the log or comes from a peer.
    ///
    /// # Errors
    /// Returns [`SnapshotError::Damaged`] when it is not one.
    pub fn from_json(payload: &[u8]) -> Result<Self, SnapshotError> {
        serde_json::from_slice(payload).map_err(|error| SnapshotError::Damaged(error.to_string()))
    }

    /// Returns the snapshot as JSON.
    ///
    /// # Panics
    /// Never: a snapshot holds nothing that JSON can not.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a snapshot can be written as JSON")
    }

    /// Returns the tree after checking the digest.
    ///
    /// # Errors
    /// Returns why the snapshot can not be trusted.
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
