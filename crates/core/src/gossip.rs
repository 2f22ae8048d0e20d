//! What hosts pass on to a few others at a time until all have it.

use std::collections::BTreeMap;

use crate::id::{AdapterKey, EngineId, FenceToken, HostId, Incarnation};

/// How often a change is passed on: this many times the logarithm of the number of hosts.
///
/// Three times the logarithm reaches all of `n` hosts with a probability above `1 - 1/n`
/// (Demers et al., 1987); what is missed is repaired by the full exchange.
const RETRANSMIT_FACTOR: u32 = 3;

/// The residency of one engine, as its owner passes it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineDigest {
    /// The engine.
    pub engine: EngineId,
    /// The engine's life; a restart begins its tokens anew.
    pub incarnation: Incarnation,
    /// Its owner.
    pub owner: HostId,
    /// The owner's fence token; a digest of a higher token is newer.
    pub token: FenceToken,
    /// Counts the owner's digests of this engine.
    pub sequence: u64,
    /// Whether it takes new work.
    pub serving: bool,
    /// What requests may run on.
    pub residents: Vec<AdapterKey>,
}

impl EngineDigest {
    /// Returns what orders two digests of one engine.
    pub const fn version(&self) -> DigestVersion {
        DigestVersion {
            engine: self.engine,
            incarnation: self.incarnation,
            token: self.token,
            sequence: self.sequence,
        }
    }
}

/// The version of one engine's digest. Those of one engine are ordered field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DigestVersion {
    /// The engine.
    pub engine: EngineId,
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The fence token of the owner that wrote it.
    pub token: FenceToken,
    /// Counts that owner's digests of the engine.
    pub sequence: u64,
}

/// Changes that wait to be passed on, least often passed first.
#[derive(Debug, Clone)]
pub struct GossipQueue<K> {
    remaining: BTreeMap<K, u32>,
}

impl<K> Default for GossipQueue<K> {
    fn default() -> Self {
        Self { remaining: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> GossipQueue<K> {
    /// Notes that `item` changed and must reach `hosts` hosts.
    pub fn add(&mut self, item: K, hosts: usize) {
        let rounds = hosts.max(2).ilog2() + 1;
        self.remaining.insert(item, RETRANSMIT_FACTOR * rounds);
    }

    /// Takes up to `limit` items for one message, those passed on least first.
    pub fn take(&mut self, limit: usize) -> Vec<K> {
        let mut items: Vec<(u32, K)> =
            self.remaining.iter().map(|(item, remaining)| (*remaining, *item)).collect();
        items.sort_by(|left, right| right.cmp(left));
        items.truncate(limit);
        for (_, item) in &items {
            self.count_transmission(*item);
        }
        items.into_iter().map(|(_, item)| item).collect()
    }

    /// Notes that a peer passed on an item that is known here already, which counts like passing
    /// it on: the more hosts know of a change, the sooner they fall silent about it.
    pub fn record_duplicate(&mut self, item: K) {
        self.count_transmission(item);
    }

    fn count_transmission(&mut self, item: K) {
        if let Some(remaining) = self.remaining.get_mut(&item) {
            *remaining -= 1;
            if *remaining == 0 {
                self.remaining.remove(&item);
            }
        }
    }

    /// Returns how many items still spread.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Says whether nothing spreads.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }
}
