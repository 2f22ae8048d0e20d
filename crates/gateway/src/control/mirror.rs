//! A topic of the store as this machine has read it.

use std::collections::{BTreeSet, HashMap};

use crate::{
    border::KeyedRecord, events::MachineEvent, machine::SharedState, peers::frame::RecordLine,
    store::follow::TopicUpdate,
};

/// A topic's newest records and how far it was read.
#[derive(Debug, Default)]
pub struct TopicMirror {
    /// The newest record of each key.
    pub records: HashMap<String, KeyedRecord>,
    /// The highest offset seen of each key, dropped keys included.
    offsets: HashMap<String, u64>,
    end: u64,
    away: bool,
    /// Whether it was ever read whole.
    pub known: bool,
}

impl TopicMirror {
    /// Takes a record unless a newer one of its key was seen.
    pub fn take(&mut self, record: &KeyedRecord) -> bool {
        let seen = self.offsets.get(&record.key);
        if seen.is_some_and(|seen| *seen >= record.offset) {
            return false;
        }
        self.offsets.insert(record.key.clone(), record.offset);
        if record.value.is_empty() {
            self.records.remove(&record.key);
        } else {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.end = self.end.max(record.offset + 1);
        true
    }

    /// Returns the keys that a whole reading up to `end` no longer has.
    pub fn dropped(&self, records: &[KeyedRecord], end: u64) -> Vec<String> {
        if end < self.end {
            return Vec::new();
        }
        let kept: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        self.records.keys().filter(|key| !kept.contains(key.as_str())).cloned().collect()
    }

    /// Returns how far the topic was read.
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Returns the newest records as they go to a peer.
    pub fn lines(&self) -> Vec<RecordLine> {
        self.records.values().map(RecordLine::from).collect()
    }
}

impl TopicMirror {
    /// Counts and logs when the store is lost or regained.
    pub fn note_reachability(
        &mut self,
        shared: &SharedState,
        what: &'static str,
        update: &TopicUpdate,
    ) {
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
