//! What an engine held lately and may bring back by itself.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use crate::fleet::ModelKey;

/// How many adapters an engine is expected to remember.
const MOST_REMEMBERED: usize = 100;

/// What an engine held lately and may bring back without the weight store, the latest last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineWeightCache {
    keys: VecDeque<ModelKey>,
    known: HashSet<ModelKey>,
}

impl EngineWeightCache {
    /// Takes that the engine holds, or has just dropped, a model or adapter.
    pub fn insert(&mut self, key: &ModelKey) {
        if self.keys.back() == Some(key) {
            return;
        }
        if !self.known.insert(Arc::clone(key))
            && let Some(place) = self.keys.iter().position(|known| known == key)
        {
            self.keys.remove(place);
        }
        self.keys.push_back(Arc::clone(key));
        if self.keys.len() > MOST_REMEMBERED
            && let Some(oldest) = self.keys.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether the engine held something lately.
    pub fn contains(&self, key: &str) -> bool {
        self.known.contains(key)
    }
}
