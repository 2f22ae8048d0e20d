//! A local copy of a topic of the store.

use std::collections::{BTreeSet, HashMap};

use reelreel_core::StorePosition;

use crate::{events::HostEvent, host::SharedState, store::follow::TopicUpdate};

/// The latest records of a topic and how far it was read; `Value` is the part of a record that is
/// stored.
#[derive(Debug)]
pub struct TopicMirror<Value> {
    /// The latest record of each key with its position.
    pub records: HashMap<String, (StorePosition, Value)>,
    /// How far each key was read, including removed keys; a record at or after this position is
    /// newer.
    read_to: HashMap<String, StorePosition>,
    /// End of the last full read, which covers all keys, including those that it did not list.
    full_read_end: StorePosition,
    end: StorePosition,
    unavailable: bool,
    /// Whether the topic was ever read in full.
    pub fully_read: bool,
}

impl<Value> Default for TopicMirror<Value> {
    fn default() -> Self {
        let (records, read_to) = (HashMap::new(), HashMap::new());
        let (full_read_end, end) = Default::default();
        Self { records, read_to, full_read_end, end, unavailable: false, fully_read: false }
    }
}

impl<Value> TopicMirror<Value> {
    /// Applies a record, or the removal of its key if `value` is absent, unless a newer one is
    /// known; returns whether it was applied.
    pub fn apply(&mut self, key: &str, position: StorePosition, value: Option<Value>) -> bool {
        if position < self.known_up_to(key) {
            return false;
        }
        match value {
            Some(value) => self.records.insert(key.to_owned(), (position, value)),
            None => self.records.remove(key),
        };
        self.mark_read(key, position);
        true
    }

    /// Applies a record of a full read up to `end`, unless it is stored already or its key was read
    /// further; returns whether it was applied.
    ///
    /// Such a read supersedes an earlier one without the key, regardless of the record's position.
    pub fn apply_listed(
        &mut self,
        key: &str,
        position: StorePosition,
        end: StorePosition,
        value: Value,
    ) -> bool {
        if end < self.known_up_to(key) || self.holds(key, position) {
            return false;
        }
        self.insert(key, position, value);
        true
    }

    /// Returns how far a key is known, from its records or a full read.
    fn known_up_to(&self, key: &str) -> StorePosition {
        self.read_to(key).unwrap_or_default().max(self.full_read_end)
    }

    /// Stores a record that is newer by its content, regardless of its position.
    pub fn insert(&mut self, key: &str, position: StorePosition, value: Value) {
        self.records.insert(key.to_owned(), (position, value));
        self.mark_read(key, position);
    }

    /// Marks a key as read past `position`.
    pub fn mark_read(&mut self, key: &str, position: StorePosition) {
        self.advance_key(key, position.next());
    }

    /// Marks a full read up to `end` as applied. Earlier positions received later from a peer are
    /// then outdated, even for keys that were never seen.
    pub fn finish_full_read(&mut self, end: StorePosition) {
        self.full_read_end = self.full_read_end.max(end);
        self.end = self.end.max(end);
    }

    /// Removes a key that a peer reports as absent up to `end`, unless it was read further; returns
    /// whether it did.
    pub fn apply_unlisted(&mut self, key: &str, end: StorePosition) -> bool {
        let newer = end >= self.known_up_to(key);
        if newer {
            self.remove(key, end);
        }
        newer
    }

    /// Removes a key that a full read up to `end` does not contain.
    pub fn remove(&mut self, key: &str, end: StorePosition) {
        self.records.remove(key);
        self.advance_key(key, end);
    }

    fn advance_key(&mut self, key: &str, end: StorePosition) {
        let read_to = self.read_to.entry(key.to_owned()).or_default();
        *read_to = end.max(*read_to);
        self.end = self.end.max(end);
    }

    /// Returns how far a key was read, if it was ever seen.
    pub fn read_to(&self, key: &str) -> Option<StorePosition> {
        self.read_to.get(key).copied()
    }

    /// Returns whether the stored record of a key is the one at `position`.
    pub fn holds(&self, key: &str, position: StorePosition) -> bool {
        self.records.get(key).is_some_and(|(stored, _)| *stored == position)
    }

    /// Returns the stored keys that are not in `listed`, the keys of a full read up to `end`.
    pub fn missing_keys(&self, listed: &BTreeSet<&str>, end: StorePosition) -> Vec<String> {
        if end < self.end {
            return Vec::new();
        }
        self.records.keys().filter(|key| !listed.contains(key.as_str())).cloned().collect()
    }

    /// Returns whether the last read of the topic failed.
    pub const fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Returns how far the topic was read.
    pub const fn end(&self) -> StorePosition {
        self.end
    }

    /// Counts and logs when the store becomes unavailable or available again, and logs the end of a
    /// full read next to the known position.
    pub fn record_read(&mut self, shared: &SharedState, topic: &'static str, update: &TopicUpdate) {
        if let TopicUpdate::Snapshot { records, end, .. } = update {
            let event = HostEvent::TopicRead {
                what: topic.into(),
                records: records.len(),
                era: end.era,
                end: end.offset,
                known_era: self.end.era,
                known: self.end.offset,
            };
            shared.events.write(event);
        }
        let unavailable = *update == TopicUpdate::Unavailable;
        if unavailable {
            shared.metrics.store_failures.inc();
        }
        if unavailable != self.unavailable {
            self.unavailable = unavailable;
            let event = if unavailable {
                HostEvent::StoreLost { what: topic.into() }
            } else {
                HostEvent::StoreRegained { what: topic.into() }
            };
            shared.events.write(event);
        }
    }
}
