//! A topic of the store as this machine has read it.

use std::collections::{BTreeSet, HashMap};

use crate::{events::MachineEvent, machine::SharedState, store::follow::TopicUpdate};

/// A topic's newest records and how far it was read; `Value` is what is kept of a record.
#[derive(Debug)]
pub struct TopicMirror<Value> {
    /// The newest record of each key with its offset.
    pub records: HashMap<String, (u64, Value)>,
    /// The highest offset seen of each key, dropped keys included.
    offsets: HashMap<String, u64>,
    end: u64,
    away: bool,
    /// Whether it was ever read whole.
    pub known: bool,
}

impl<Value> Default for TopicMirror<Value> {
    fn default() -> Self {
        let (records, offsets) = (HashMap::new(), HashMap::new());
        Self { records, offsets, end: 0, away: false, known: false }
    }
}

impl<Value> TopicMirror<Value> {
    /// Takes a record, absent where its key was dropped, unless a newer one of the key was seen.
    pub fn take(&mut self, key: &str, offset: u64, value: Option<Value>) -> bool {
        let seen = self.offsets.get(key);
        if seen.is_some_and(|seen| *seen >= offset) {
            return false;
        }
        self.offsets.insert(key.to_owned(), offset);
        match value {
            Some(value) => self.records.insert(key.to_owned(), (offset, value)),
            None => self.records.remove(key),
        };
        self.end = self.end.max(offset + 1);
        true
    }

    /// Returns the keys that a whole reading up to `end`, which has `kept`, no longer has.
    pub fn dropped(&self, kept: &BTreeSet<&str>, end: u64) -> Vec<String> {
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
    pub const fn end(&self) -> u64 {
        self.end
    }
}

impl<Value> TopicMirror<Value> {
    /// Counts and logs when the store is lost or regained, and how far a whole reading went beside what was known.
    pub fn note_reading(&mut self, shared: &SharedState, what: &'static str, update: &TopicUpdate) {
        if let TopicUpdate::Whole { records, end, .. } = update {
            let (records, known) = (records.len(), self.end);
            let event = MachineEvent::TopicRead { what: what.into(), records, end: *end, known };
            shared.events.write(event);
        }
        let away = *update == TopicUpdate::Away;
        if away {
            shared.metrics.store_failures.inc();
        }
        if away != self.away {
            self.away = away;
            let event = if away {
                MachineEvent::StoreLost { what: what.into() }
            } else {
                MachineEvent::StoreRegained { what: what.into() }
            };
            shared.events.write(event);
        }
    }
}
