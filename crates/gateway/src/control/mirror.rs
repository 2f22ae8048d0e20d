//! A topic of the store as this host has read it.

use std::collections::{BTreeSet, HashMap};

use reelreel_core::StorePosition;

use crate::{events::HostEvent, host::SharedState, store::follow::TopicUpdate};

/// A topic's newest records and how far it was read; `Value` is what is kept of a record.
#[derive(Debug)]
pub struct TopicMirror<Value> {
    /// The newest record of each key with its position.
    pub records: HashMap<String, (StorePosition, Value)>,
    /// Up to where each key was read, dropped keys included: a record at this position or behind it is newer.
    read_to: HashMap<String, StorePosition>,
    /// Up to where the last whole reading knew all keys, those too that it did not list.
    whole_to: StorePosition,
    end: StorePosition,
    away: bool,
    /// Whether it was ever read whole.
    pub known: bool,
}

impl<Value> Default for TopicMirror<Value> {
    fn default() -> Self {
        let (records, read_to) = (HashMap::new(), HashMap::new());
        let (whole_to, end) = Default::default();
        Self { records, read_to, whole_to, end, away: false, known: false }
    }
}

impl<Value> TopicMirror<Value> {
    /// Takes a record, absent where its key was dropped, unless a newer one of the key was seen.
    pub fn take(&mut self, key: &str, position: StorePosition, value: Option<Value>) -> bool {
        if position < self.known_to(key) {
            return false;
        }
        match value {
            Some(value) => self.records.insert(key.to_owned(), (position, value)),
            None => self.records.remove(key),
        };
        self.pass(key, position);
        true
    }

    /// Takes a record of a whole reading up to `end`, unless it is kept already or a later place of its key was read.
    ///
    /// Such a reading knows better than an earlier one that lacked the key, wherever the record stands.
    pub fn take_listed(
        &mut self,
        key: &str,
        position: StorePosition,
        end: StorePosition,
        value: Value,
    ) -> bool {
        if end < self.known_to(key) || self.holds(key, position) {
            return false;
        }
        self.keep(key, position, value);
        true
    }

    /// Returns up to where a key is known, by a record of it or by a whole reading.
    fn known_to(&self, key: &str) -> StorePosition {
        self.read_to(key).unwrap_or_default().max(self.whole_to)
    }

    /// Keeps a record that is newer by what it says, wherever it stands.
    pub fn keep(&mut self, key: &str, position: StorePosition, value: Value) {
        self.records.insert(key.to_owned(), (position, value));
        self.pass(key, position);
    }

    /// Takes that a key was read up to behind `position`, where it says nothing newer than what is kept.
    pub fn pass(&mut self, key: &str, position: StorePosition) {
        self.read_key_to(key, position.next());
    }

    /// Takes that all records of a whole reading up to `end` were taken: what a peer tells later of an earlier place is old, also
    /// of a key that was never seen.
    pub fn whole_ends(&mut self, end: StorePosition) {
        self.whole_to = self.whole_to.max(end);
        self.end = self.end.max(end);
    }

    /// Takes a peer's word that everything up to `end` lacks a key, unless a later place of it was read.
    pub fn take_unlisted(&mut self, key: &str, end: StorePosition) -> bool {
        let newer = end >= self.known_to(key);
        if newer {
            self.remove(key, end);
        }
        newer
    }

    /// Takes that a whole reading up to `end` no longer has a key.
    pub fn remove(&mut self, key: &str, end: StorePosition) {
        self.records.remove(key);
        self.read_key_to(key, end);
    }

    fn read_key_to(&mut self, key: &str, end: StorePosition) {
        let read_to = self.read_to.entry(key.to_owned()).or_default();
        *read_to = end.max(*read_to);
        self.end = self.end.max(end);
    }

    /// Returns up to where a key was read, if it was ever seen.
    pub fn read_to(&self, key: &str) -> Option<StorePosition> {
        self.read_to.get(key).copied()
    }

    /// Returns whether the record at a position is the one that is kept of its key.
    pub fn holds(&self, key: &str, position: StorePosition) -> bool {
        self.records.get(key).is_some_and(|(held, _)| *held == position)
    }

    /// Returns the keys that a whole reading up to `end`, which has `kept`, no longer has.
    pub fn dropped(&self, kept: &BTreeSet<&str>, end: StorePosition) -> Vec<String> {
        if end < self.end {
            return Vec::new();
        }
        self.records.keys().filter(|key| !kept.contains(key.as_str())).cloned().collect()
    }

    /// Returns whether the last call for the topic had no useful answer.
    pub const fn is_away(&self) -> bool {
        self.away
    }

    /// Returns how far the topic was read.
    pub const fn end(&self) -> StorePosition {
        self.end
    }

    /// Counts and logs when the store is lost or regained, and how far a whole reading went beside what was known.
    pub fn note_reading(&mut self, shared: &SharedState, what: &'static str, update: &TopicUpdate) {
        if let TopicUpdate::Snapshot { records, end, .. } = update {
            let event = HostEvent::TopicRead {
                what: what.into(),
                records: records.len(),
                era: end.era,
                end: end.offset,
                known_era: self.end.era,
                known: self.end.offset,
            };
            shared.events.write(event);
        }
        let away = *update == TopicUpdate::Unavailable;
        if away {
            shared.metrics.store_failures.inc();
        }
        if away != self.away {
            self.away = away;
            let event = if away {
                HostEvent::StoreLost { what: what.into() }
            } else {
                HostEvent::StoreRegained { what: what.into() }
            };
            shared.events.write(event);
        }
    }
}
