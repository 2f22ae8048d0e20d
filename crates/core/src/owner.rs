//! Who owns what: rendezvous hashing, which needs no agreement beyond the set of hosts.
//!
//! Views of the set may differ for a while, so nothing that must hold rests on them; the engine's
//! own fence decides between two hosts that both believe to be the owner.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Picks the candidate with the highest weight for `key` (Thaler and Ravishankar, 1996).
///
/// When a candidate leaves, only the keys it held move; when one joins, it takes only its share.
pub fn rendezvous(key: u64, candidates: impl IntoIterator<Item = u32>) -> Option<u32> {
    candidates.into_iter().max_by_key(|candidate| (rendezvous_weight(key, *candidate), *candidate))
}

/// Returns the weight of one candidate for `key`.
pub fn rendezvous_weight(key: u64, candidate: u32) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Hashes what a key stands for, so that engines, adapters and roles do not share weights.
pub fn role_key(role: OwnedRole, id: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), role as u64 + 1)
}

/// What can have an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnedRole {
    /// A model engine: its owner is one of its hall's entry hosts.
    Engine,
    /// A cold adapter: its home is one of its service's engines.
    AdapterHome,
    /// The weight store: one host gives the turns to load.
    LoadScheduler,
    /// Writing snapshots of the settings to the log.
    SnapshotWriter,
}
