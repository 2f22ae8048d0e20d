//! Estimated content of an engine's local weight cache.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::fleet::ModelKey;

/// Assumed capacity of an engine's weight cache.
const MAX_CACHED: usize = 100;

/// Models and adapters that an engine held recently and can probably reload without the weight
/// store, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineWeightCache {
    keys: VecDeque<ModelKey>,
    members: HashSet<ModelKey>,
}

impl EngineWeightCache {
    /// Records that the engine holds `key` or has just dropped it.
    pub fn insert(&mut self, key: &ModelKey) {
        if self.keys.back() == Some(key) {
            return;
        }
        if !self.members.insert(Arc::clone(key))
            && let Some(index) = self.keys.iter().position(|cached| cached == key)
        {
            self.keys.remove(index);
        }
        self.keys.push_back(Arc::clone(key));
        if self.keys.len() > MAX_CACHED
            && let Some(oldest) = self.keys.pop_front()
        {
            self.members.remove(&oldest);
        }
    }

    /// Returns whether the engine held `key` recently.
    pub fn contains(&self, key: &str) -> bool {
        self.members.contains(key)
    }
}
