//! What an engine held lately and may bring back by itself.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::fleet::ModelKey;

/// How many adapters an engine is expected to remember.
const MAX_CACHED: usize = 100;

/// What an engine held lately and may bring back without the weight store, the latest last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineWeightCache {
    keys: VecDeque<ModelKey>,
    members: HashSet<ModelKey>,
}

impl EngineWeightCache {
    /// Takes that the engine holds, or has just dropped, a model or adapter.
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

    /// Returns whether the engine held something lately.
    pub fn contains(&self, key: &str) -> bool {
        self.members.contains(key)
    }
}
