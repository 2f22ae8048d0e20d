//! The engines as their entries list them: who joined, who leaves, who is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis, StorePosition,
    fleet::{
        EngineEntry, EngineIncarnation, EngineName, UNKNOWN_INCARNATION, adapter_name,
        stale_listing::{LastKnownEngine, REWRITE_GRACE_PERIOD, is_up_to_date},
    },
};

use crate::{
    codec::KeyedRecord, control::state::ControlState, events::HostEvent,
    peers::engine_messages::EngineUpdate, store::follow::TopicUpdate,
};

impl ControlState {
    /// Takes what was read of the engines' entries.
    pub fn engines_updated(&mut self, update: TopicUpdate) {
        self.note_era();
        self.engine_records.note_reading(&self.shared, "engines", &update);
        self.note_health(update != TopicUpdate::Unavailable);
        match update {
            TopicUpdate::Unavailable => return,
            TopicUpdate::Snapshot { records, end, .. } => {
                let kept = records.iter().map(|record| record.key.as_str()).collect();
                self.drop_unlisted(&kept, end);
                self.take_records(&records, Some(end));
                self.engine_records.whole_ends(end);
            }
            TopicUpdate::Records { records, .. } => self.take_records(&records, None),
        }
        self.publish();
    }

    /// Takes the entries that a peer passes on: all of them up to `end`, or those that changed.
    pub(super) fn take_passed_on(
        &mut self,
        updates: Vec<EngineUpdate>,
        whole: Option<StorePosition>,
    ) {
        if let Some(end) = whole {
            let kept = updates.iter().map(|update| &*update.name).collect();
            self.drop_unlisted(&kept, end);
        }
        for update in updates {
            self.take_update(update, whole);
        }
        if let Some(end) = whole {
            self.engine_records.whole_ends(end);
        }
    }

    /// Takes that a whole reading up to `end` lists just these engines: the others are gone.
    ///
    /// Where they were listed in an earlier era, the store may have come back from a copy that never had them.
    fn drop_unlisted(&mut self, kept: &BTreeSet<&str>, end: StorePosition) {
        if self.engine_records.end().era < end.era {
            // Followers may have read a later state of an earlier era: what did not change is new to them.
            self.feed.all_changed();
        }
        for name in self.engine_records.dropped(kept, end) {
            let listed = self.engine_records.read_to(&name);
            let crosses = listed.is_some_and(|listed| listed.era < end.era);
            self.engine_records.remove(&name, end);
            self.entry_gone(&EngineName::from(name), end, crosses.then_some(REWRITE_GRACE_PERIOD));
            self.feed.all_changed();
        }
        self.engine_records.known = true;
    }

    /// Returns all engines that are listed, as they are passed on.
    pub(super) fn listed_engines(&self) -> Vec<EngineUpdate> {
        let listed = self.engine_records.records.iter().filter_map(|(name, (position, ()))| {
            let entry = self.engines.get(name.as_str())?;
            let name = Arc::clone(&entry.name);
            let entry = Some(EngineEntry::clone(entry));
            Some(EngineUpdate { name, position: *position, entry, unlisted: false })
        });
        listed.collect()
    }

    /// Takes that an engine's entry is gone; just after an outage the engine counts for a while, and where the store came back
    /// older for as long as `writing_again`.
    fn entry_gone(
        &mut self,
        name: &EngineName,
        position: StorePosition,
        writing_again: Option<Duration>,
    ) {
        let now = self.shared.clock.now();
        self.withheld.remove(name);
        let until = self.health.reregistration_until(now).max(writing_again.map(|time| now + time));
        match (self.engines.get(name), until) {
            (Some(entry), Some(until)) if !entry.leaving => {
                self.lapsed.insert(Arc::clone(name), until);
            }
            _ => self.delist(name, position),
        }
    }

    fn delist(&mut self, name: &EngineName, position: StorePosition) {
        self.lapsed.remove(name);
        self.drop_engine(name);
        let name = Arc::clone(name);
        let update = EngineUpdate { name, position, entry: None, unlisted: false };
        self.feed.engine_changed(update);
    }

    /// Drops an engine that is listed nowhere up to the end of what was read, and tells the followers so.
    fn delist_lapsed(&mut self, name: &EngineName) {
        self.lapsed.remove(name);
        self.drop_engine(name);
        let (name, position) = (Arc::clone(name), self.engine_records.end());
        let update = EngineUpdate { name, position, entry: None, unlisted: true };
        self.feed.engine_changed(update);
    }

    /// Drops the engines whose entries have not come back in time, and lists those by what the store says that have written nothing
    /// else in time.
    pub(super) fn settle_listings(&mut self, now: ClockMillis) {
        while let Some(name) = first_due(&self.lapsed, |until| now >= *until) {
            self.delist_lapsed(&name);
        }
        while let Some(name) = first_due(&self.withheld, |(_, until)| now >= *until) {
            if let Some((update, _)) = self.withheld.remove(&name) {
                self.list_engine(update);
                // Followers were told everything up to a later place without it.
                self.feed.all_changed();
            }
        }
    }

    /// Takes records of the entries as the store has them. One that no engine can have written names no engine to use, also
    /// where one was listed before: what it says is not what that engine is.
    fn take_records(&mut self, records: &[KeyedRecord], whole: Option<StorePosition>) {
        for record in records {
            let (name, position) = (EngineName::from(record.key.as_str()), record.position);
            if record.value.is_empty() {
                let gone = EngineUpdate { name, position, entry: None, unlisted: false };
                self.take_update(gone, whole);
                continue;
            }
            let entry = match self.shared.codecs.store.decode_engine(record) {
                Ok(entry) => Some(entry),
                Err(error) => {
                    log::warn!("entry {}: {error}; it names no engine", record.key);
                    None
                }
            };
            self.take_update(EngineUpdate { name, position, entry, unlisted: false }, whole);
        }
    }

    /// Takes one entry, or that it is gone, unless something newer is known; `whole` is the end of the whole reading that lists it.
    ///
    /// The first word of a later era may be of the copy from which the store came back; what it says is withheld where something
    /// newer is known of the engine, until the engine had the time to write again.
    fn take_update(&mut self, update: EngineUpdate, whole: Option<StorePosition>) {
        let EngineUpdate { name, position, entry, unlisted } = &update;
        let read_to = self.engine_records.read_to(name);
        let Some(entry) = entry else {
            let newer = if *unlisted {
                self.engine_records.take_unlisted(name, *position)
            } else {
                self.engine_records.take(name, *position, None)
            };
            if newer {
                self.entry_gone(name, *position, None);
            }
            return;
        };
        let newer = match whole {
            Some(end) => self.engine_records.take_listed(name, *position, end, ()),
            None => self.engine_records.take(name, *position, Some(())),
        };
        if !newer {
            self.note_departure(entry);
            return;
        }
        let crosses = read_to.is_some_and(|read_to| read_to.era < position.era);
        if crosses && !is_up_to_date(&self.known_word(name), entry) {
            let until = self.shared.clock.now() + REWRITE_GRACE_PERIOD;
            self.withheld.insert(Arc::clone(&update.name), (update, until));
            return;
        }
        self.list_engine(update);
    }

    /// Takes that a life of an engine has said that it leaves, wherever that stands: a peer that knows it tells it at the place of
    /// the older word in the store's copy.
    fn note_departure(&mut self, entry: &EngineEntry) {
        let Some(known) = self.engines.get(&entry.name) else { return };
        let same_life =
            entry.incarnation == known.incarnation && entry.incarnation != UNKNOWN_INCARNATION;
        if entry.leaving && same_life {
            self.mark_leaving(&Arc::clone(known));
        }
    }

    /// Takes that an incarnation of an engine has announced that it is leaving.
    pub(super) fn engine_departs(&mut self, name: &str, born: EngineIncarnation) {
        let known = self.engines.get(name).filter(|known| known.is_incarnation(born));
        if let Some(known) = known.cloned() {
            self.mark_leaving(&known);
        }
    }

    /// Lists an engine as leaving, whatever the store says, and tells the followers so.
    fn mark_leaving(&mut self, entry: &EngineEntry) {
        if entry.leaving {
            return;
        }
        if self.lapsed.contains_key(&entry.name) {
            // Its entry is gone besides, so that it is not waited for any longer.
            self.delist_lapsed(&entry.name);
            return;
        }
        let listed = self.engine_records.records.get(&*entry.name);
        let position = listed.map_or_else(|| self.engine_records.end(), |(position, ())| *position);
        self.clients.close(&entry.name);
        let leaving = EngineEntry { leaving: true, ..EngineEntry::clone(entry) };
        let (name, entry) = (Arc::clone(&entry.name), Some(leaving));
        self.list_engine(EngineUpdate { name, position, entry, unlisted: false });
    }

    /// Returns what is known of an engine that was listed before.
    fn known_word(&self, name: &str) -> LastKnownEngine<'_> {
        match self.engines.get(name) {
            Some(entry) => LastKnownEngine::Listed(entry),
            None => LastKnownEngine::Gone(
                self.departed.get(name).copied().unwrap_or(UNKNOWN_INCARNATION),
            ),
        }
    }

    fn list_engine(&mut self, update: EngineUpdate) {
        let Some(entry) = update.entry.clone() else { return };
        // Followers count the time of such an engine too, and an entry like the one before ends it.
        let lapsed = self.lapsed.remove(&update.name).is_some();
        let withheld = self.withheld.remove(&update.name).is_some();
        if self.take_engine(entry) || lapsed || withheld {
            self.feed.engine_changed(update);
            self.shared.wake_control.notify_one();
        }
    }

    /// Takes an engine's entry; returns whether something changed that all hosts must know.
    fn take_engine(&mut self, mut entry: EngineEntry) -> bool {
        let announced = self.shared.departures().is_departing(&entry.name, entry.incarnation);
        let left = self.leaving.get(&entry.name).is_some_and(|born| entry.is_incarnation(*born));
        entry.leaving |= announced;
        if entry.leaving && !left {
            self.leaving.insert(Arc::clone(&entry.name), entry.incarnation);
            let now = self.shared.clock.now();
            self.shared.departures().record_listed(&entry.name, entry.incarnation, now);
            let engine = entry.name.to_string();
            self.shared.events.write(HostEvent::EngineLeaving { engine });
        }
        entry.leaving |= left;
        let old = self.engines.get(&entry.name);
        let reborn = old.is_some_and(|old| !old.is_incarnation(entry.incarnation));
        if reborn {
            let engine = entry.name.to_string();
            self.shared.events.write(HostEvent::EngineReborn { engine, born: entry.incarnation });
        }
        if let Some(domain) = self.domains.get_mut(&entry.service) {
            self.changed |= domain.engine_lives(&entry);
        }
        if old.is_none() {
            self.shared.events.write(HostEvent::EngineJoined {
                engine: entry.name.to_string(),
                service: entry.service.to_string(),
                address: entry.address,
            });
        }
        // A heartbeat is newer than a plan that nobody keeps up to date.
        if let Some(domain) = self.domains.get_mut(&entry.service)
            && !domain.plan_live
        {
            self.changed |= domain.plan.remove(&entry.name).is_some();
        }
        let unchanged = old.is_some_and(|old| {
            let same = old.leaving == entry.leaving && old.address == entry.address;
            same && !reborn && old.loaded_models == entry.loaded_models
        });
        self.changed |= !unchanged;
        let told = old.is_some_and(|old| is_told_by(old, &entry));
        self.engines.insert(Arc::clone(&entry.name), Arc::new(entry));
        !told
    }

    fn drop_engine(&mut self, name: &str) {
        if let Some(entry) = self.engines.remove(name) {
            self.departed.insert(Arc::clone(&entry.name), entry.incarnation);
            let engine = name.to_owned();
            self.shared.events.write(HostEvent::EngineGone { engine });
            if let Some(domain) = self.domains.get_mut(&entry.service) {
                domain.engine_gone(name);
            }
            let engines = &self.engines;
            self.clients.retain(|engine| engines.contains_key(engine));
            self.changed = true;
        }
    }
}

/// Returns the first engine whose time is over.
fn first_due<Word>(
    engines: &BTreeMap<EngineName, Word>,
    is_due: impl Fn(&Word) -> bool,
) -> Option<EngineName> {
    engines.iter().find(|(_, word)| is_due(word)).map(|(name, _)| Arc::clone(name))
}

/// Returns whether a host that knows `old` needs no word of `new`: plans tell which adapters an
/// engine holds.
fn is_told_by(old: &EngineEntry, new: &EngineEntry) -> bool {
    let bases = |entry: &EngineEntry| {
        let held = entry.loaded_models.iter().filter(|held| adapter_name(&held.key).is_none());
        held.cloned().collect::<Vec<_>>()
    };
    old.leaving == new.leaving
        && old.incarnation == new.incarnation
        && old.address == new.address
        && old.service == new.service
        && bases(old) == bases(new)
}
