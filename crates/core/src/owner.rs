//! Assigns owners by rendezvous hashing over the set of hosts, without further coordination.
//!
//! Hosts may temporarily disagree about the set, so no invariant depends on it. Fencing tokens at
//! the engine resolve conflicts between two hosts that both consider themselves the owner.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the candidate with the highest weight for `key` (Thaler and Ravishankar, 1996).
///
/// When a candidate leaves, only its keys move. When one joins, only the keys it takes over move.
pub fn rendezvous(key: u64, candidates: impl IntoIterator<Item = u32>) -> Option<u32> {
    candidates.into_iter().max_by_key(|candidate| (rendezvous_weight(key, *candidate), *candidate))
}

/// Returns the rendezvous weight of a candidate for `key`.
pub fn rendezvous_weight(key: u64, candidate: u32) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Hashes an id together with its role, so that roles with equal ids get independent owners.
pub fn role_key(role: OwnedRole, id: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), role as u64 + 1)
}

/// The roles and resources that are assigned to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnedRole {
    /// A model engine, owned by an entry host of its hall.
    Engine,
    /// An adapter that no engine holds, assigned to an engine of its service.
    AdapterHome,
    /// Granting turns to load from the weight store.
    LoadScheduler,
    /// Writing settings snapshots to the log.
    SnapshotWriter,
}
