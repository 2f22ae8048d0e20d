//! Gossip: disseminates changes by repeatedly sending them to a few peers.

use std::collections::BTreeMap;

use crate::id::{AdapterKey, EngineId, FenceToken, HostId, Incarnation};

/// Number of transmissions of each change, as a multiple of the logarithm of the number of hosts.
///
/// Three times the logarithm reaches all of `n` hosts with a probability above `1 - 1/n`
/// (Demers et al., 1987). Anti-entropy (`SyncAsk`) repairs what was missed.
const RETRANSMIT_FACTOR: u32 = 3;

/// The resident adapters of one engine, as its owner gossips them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineDigest {
    /// The engine.
    pub engine: EngineId,
    /// The engine's incarnation. Fencing tokens start anew with each incarnation.
    pub incarnation: Incarnation,
    /// The engine's owner.
    pub owner: HostId,
    /// The owner's fencing token. A digest with a higher token is newer.
    pub token: FenceToken,
    /// Sequence number among the owner's digests of this engine.
    pub sequence: u64,
    /// Whether the engine accepts new requests.
    pub serving: bool,
    /// The adapters that requests may run on.
    pub residents: Vec<AdapterKey>,
}

impl EngineDigest {
    /// Returns the version, which orders the digests of one engine.
    pub const fn version(&self) -> DigestVersion {
        DigestVersion {
            engine: self.engine,
            incarnation: self.incarnation,
            token: self.token,
            sequence: self.sequence,
        }
    }
}

/// The version of an engine's digest. Versions of the same engine are ordered field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DigestVersion {
    /// The engine.
    pub engine: EngineId,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The fencing token of the owner that sent the digest.
    pub token: FenceToken,
    /// Sequence number among the owner's digests of the engine.
    pub sequence: u64,
}

/// A queue of changes to gossip, least transmitted first.
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
    /// Queues a change of `item` for dissemination to `hosts` hosts.
    pub fn add(&mut self, item: K, hosts: usize) {
        let rounds = hosts.max(2).ilog2() + 1;
        self.remaining.insert(item, RETRANSMIT_FACTOR * rounds);
    }

    /// Returns up to `limit` items for one message, least transmitted first, and counts their
    /// transmission.
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

    /// Records that a peer sent an item that is already known. It counts as a transmission, so that
    /// hosts stop sending a change sooner the more widely it is known.
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

    /// Returns the number of items that are still being disseminated.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Returns whether no items are being disseminated.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }
}
