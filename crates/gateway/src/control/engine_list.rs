//! The list of engines, kept from their entries in the store and from peers.

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
    /// Applies a read of the engines' entries.
    pub fn apply_engines_update(&mut self, update: TopicUpdate) {
        self.handle_new_era();
        self.engine_records.record_read(&self.shared, "engines", &update);
        self.record_store_call(update != TopicUpdate::Unavailable);
        match update {
            TopicUpdate::Unavailable => return,
            TopicUpdate::Snapshot { records, end, .. } => {
                let listed = records.iter().map(|record| record.key.as_str()).collect();
                self.remove_unlisted(&listed, end);
                self.apply_records(&records, Some(end));
                self.engine_records.finish_full_read(end);
            }
            TopicUpdate::Records { records, .. } => self.apply_records(&records, None),
        }
        self.publish();
    }

    /// Applies entries from a peer: all of them up to `full_read_end`, or those that changed.
    pub(super) fn apply_peer_engines(
        &mut self,
        updates: Vec<EngineUpdate>,
        full_read_end: Option<StorePosition>,
    ) {
        if let Some(end) = full_read_end {
            let listed = updates.iter().map(|update| &*update.name).collect();
            self.remove_unlisted(&listed, end);
        }
        for update in updates {
            self.apply_update(update, full_read_end);
        }
        if let Some(end) = full_read_end {
            self.engine_records.finish_full_read(end);
        }
    }

    /// Removes the engines that a full read up to `end` does not list.
    ///
    /// If they were listed in an earlier era, the store may have been restored from an older copy that
    /// never contained them.
    fn remove_unlisted(&mut self, listed: &BTreeSet<&str>, end: StorePosition) {
        if self.engine_records.end().era < end.era {
            // Followers may have read a later state of an earlier era, so unchanged entries are new
            // to them too.
            self.feed.queue_all();
        }
        for name in self.engine_records.missing_keys(listed, end) {
            let read_to = self.engine_records.read_to(&name);
            let crosses_era = read_to.is_some_and(|read_to| read_to.era < end.era);
            self.engine_records.remove(&name, end);
            self.handle_entry_removal(
                &EngineName::from(name),
                end,
                crosses_era.then_some(REWRITE_GRACE_PERIOD),
            );
            self.feed.queue_all();
        }
        if !std::mem::replace(&mut self.engine_records.fully_read, true) {
            self.shared.stream_origins().record_first_listing(self.shared.clock.now());
        }
    }

    /// Returns whether a service has engines of several software versions, or had them in the time for
    /// which streams are known.
    pub(super) fn had_several_versions(&self, now: ClockMillis) -> bool {
        let listed = self.engines.values().map(|entry| &**entry);
        self.shared.stream_origins().had_several_versions(listed, now)
    }

    /// Returns all listed engines in the form that is sent to followers.
    pub(super) fn listed_engines(&self) -> Vec<EngineUpdate> {
        let listed = self.engine_records.records.iter().filter_map(|(name, (position, ()))| {
            let entry = self.engines.get(name.as_str())?;
            let name = Arc::clone(&entry.name);
            let entry = Some(EngineEntry::clone(entry));
            Some(EngineUpdate { name, position: *position, entry, unlisted: false })
        });
        listed.collect()
    }

    /// Handles the removal of an engine's entry. The engine stays listed for a grace period after
    /// an outage of the store, or for `rewrite_grace` if the store was restored from an older copy.
    fn handle_entry_removal(
        &mut self,
        name: &EngineName,
        position: StorePosition,
        rewrite_grace: Option<Duration>,
    ) {
        let now = self.shared.clock.now();
        self.deferred_listings.remove(name);
        let until =
            self.store_health.reregistration_until(now).max(rewrite_grace.map(|grace| now + grace));
        match (self.engines.get(name), until) {
            (Some(entry), Some(until)) if !entry.leaving => {
                self.unlisted_until.insert(Arc::clone(name), until);
            }
            _ => self.delist(name, position),
        }
    }

    fn delist(&mut self, name: &EngineName, position: StorePosition) {
        self.unlisted_until.remove(name);
        self.remove_engine(name);
        let name = Arc::clone(name);
        let update = EngineUpdate { name, position, entry: None, unlisted: false };
        self.feed.queue_engine(update);
    }

    /// Removes an engine that was not listed again in time, and queues its removal for the
    /// followers.
    fn delist_expired(&mut self, name: &EngineName) {
        self.unlisted_until.remove(name);
        self.remove_engine(name);
        let (name, position) = (Arc::clone(name), self.engine_records.end());
        let update = EngineUpdate { name, position, entry: None, unlisted: true };
        self.feed.queue_engine(update);
    }

    /// Removes engines whose entries did not return in time, and applies deferred listings whose
    /// engines have not written again in time.
    pub(super) fn apply_due_listings(&mut self, now: ClockMillis) {
        while let Some(name) = first_due(&self.unlisted_until, |until| now >= *until) {
            self.delist_expired(&name);
        }
        while let Some(name) = first_due(&self.deferred_listings, |(_, until)| now >= *until) {
            if let Some((update, _)) = self.deferred_listings.remove(&name) {
                self.list_engine(update);
                // Followers have already read past the position of this entry.
                self.feed.queue_all();
            }
        }
    }

    /// Applies entries read from the store. An entry that cannot be parsed removes its engine, even
    /// if an earlier one was valid, because the engine's present state is unknown.
    fn apply_records(&mut self, records: &[KeyedRecord], full_read_end: Option<StorePosition>) {
        for record in records {
            let (name, position) = (EngineName::from(record.key.as_str()), record.position);
            if record.value.is_empty() {
                let removed = EngineUpdate { name, position, entry: None, unlisted: false };
                self.apply_update(removed, full_read_end);
                continue;
            }
            let entry = match self.shared.codecs.store.decode_engine(record) {
                Ok(entry) => Some(entry),
                Err(error) => {
                    log::warn!("invalid entry {}: {error}; engine ignored", record.key);
                    None
                }
            };
            self.apply_update(
                EngineUpdate { name, position, entry, unlisted: false },
                full_read_end,
            );
        }
    }

    /// Applies an entry or its removal, unless a newer one is known. `full_read_end` is the end of
    /// the full read that lists it.
    ///
    /// After a restore, the first entry of the new era may be an outdated one from the older copy. If a
    /// newer state of the engine is known, the entry is deferred until the engine has had time to
    /// write again.
    fn apply_update(&mut self, update: EngineUpdate, full_read_end: Option<StorePosition>) {
        let EngineUpdate { name, position, entry, unlisted } = &update;
        let read_to = self.engine_records.read_to(name);
        let Some(entry) = entry else {
            let newer = if *unlisted {
                self.engine_records.apply_unlisted(name, *position)
            } else {
                self.engine_records.apply(name, *position, None)
            };
            if newer {
                self.handle_entry_removal(name, *position, None);
            }
            return;
        };
        let newer = match full_read_end {
            Some(end) => self.engine_records.apply_listed(name, *position, end, ()),
            None => self.engine_records.apply(name, *position, Some(())),
        };
        if !newer {
            self.record_departure(entry);
            return;
        }
        let crosses_era = read_to.is_some_and(|read_to| read_to.era < position.era);
        if crosses_era && !is_up_to_date(&self.last_known(name), entry) {
            let until = self.shared.clock.now() + REWRITE_GRACE_PERIOD;
            self.deferred_listings.insert(Arc::clone(&update.name), (update, until));
            return;
        }
        self.list_engine(update);
    }

    /// Records that an incarnation of an engine is leaving even if the entry is not newer by
    /// position: a peer may know of the departure while the store has an older entry.
    fn record_departure(&mut self, entry: &EngineEntry) {
        let Some(known) = self.engines.get(&entry.name) else { return };
        let same_incarnation =
            entry.incarnation == known.incarnation && entry.incarnation != UNKNOWN_INCARNATION;
        if entry.leaving && same_incarnation {
            self.mark_leaving(&Arc::clone(known));
        }
    }

    /// Handles the announcement of an engine's incarnation that it is leaving.
    pub(super) fn handle_departure(&mut self, name: &str, incarnation: EngineIncarnation) {
        let known = self.engines.get(name).filter(|known| known.is_incarnation(incarnation));
        if let Some(known) = known.cloned() {
            self.mark_leaving(&known);
        }
    }

    /// Lists an engine as leaving regardless of its entry in the store, and queues this for the
    /// followers.
    fn mark_leaving(&mut self, entry: &EngineEntry) {
        if entry.leaving {
            return;
        }
        if self.unlisted_until.contains_key(&entry.name) {
            // Its entry has been removed as well, so there is no reason to wait for it.
            self.delist_expired(&entry.name);
            return;
        }
        let listed = self.engine_records.records.get(&*entry.name);
        let position = listed.map_or_else(|| self.engine_records.end(), |(position, ())| *position);
        self.order_clients.close(&entry.name);
        let leaving = EngineEntry { leaving: true, ..EngineEntry::clone(entry) };
        let (name, entry) = (Arc::clone(&entry.name), Some(leaving));
        self.list_engine(EngineUpdate { name, position, entry, unlisted: false });
    }

    /// Returns what is known of an engine that was listed before.
    fn last_known(&self, name: &str) -> LastKnownEngine<'_> {
        match self.engines.get(name) {
            Some(entry) => LastKnownEngine::Listed(entry),
            None => LastKnownEngine::Gone(
                self.last_incarnations.get(name).copied().unwrap_or(UNKNOWN_INCARNATION),
            ),
        }
    }

    fn list_engine(&mut self, update: EngineUpdate) {
        let Some(entry) = update.entry.clone() else { return };
        // Followers defer these engines too, so even an unchanged entry must be passed on.
        let was_unlisted = self.unlisted_until.remove(&update.name).is_some();
        let was_deferred = self.deferred_listings.remove(&update.name).is_some();
        if self.apply_entry(entry) || was_unlisted || was_deferred {
            self.feed.queue_engine(update);
            self.shared.wake_control.notify_one();
        }
    }

    /// Applies an engine's entry; returns whether followers must be informed.
    fn apply_entry(&mut self, mut entry: EngineEntry) -> bool {
        let announced = self.shared.departures().is_departing(&entry.name, entry.incarnation);
        let has_left = self
            .leaving_incarnations
            .get(&entry.name)
            .is_some_and(|incarnation| entry.is_incarnation(*incarnation));
        entry.leaving |= announced;
        if entry.leaving && !has_left {
            self.leaving_incarnations.insert(Arc::clone(&entry.name), entry.incarnation);
            let now = self.shared.clock.now();
            self.shared.departures().record_listed(&entry.name, entry.incarnation, now);
            let engine = entry.name.to_string();
            self.shared.events.write(HostEvent::EngineLeaving { engine });
        }
        entry.leaving |= has_left;
        let old = self.engines.get(&entry.name);
        let restarted = old.is_some_and(|old| !old.is_incarnation(entry.incarnation));
        if restarted {
            let engine = entry.name.to_string();
            self.shared
                .events
                .write(HostEvent::EngineReborn { engine, incarnation: entry.incarnation });
        }
        if let Some(domain) = self.domains.get_mut(&entry.service) {
            self.table_changed |= domain.record_incarnation(&entry);
        }
        if old.is_none() {
            self.shared.events.write(HostEvent::EngineJoined {
                engine: entry.name.to_string(),
                service: entry.service.to_string(),
                address: entry.address,
            });
        }
        // A heartbeat is newer than a plan that is no longer updated.
        if let Some(domain) = self.domains.get_mut(&entry.service)
            && !domain.plan_up_to_date
        {
            self.table_changed |= domain.plan.remove(&entry.name).is_some();
        }
        let unchanged = old.is_some_and(|old| {
            let same = old.leaving == entry.leaving
                && old.address == entry.address
                && old.software == entry.software;
            same && !restarted && old.loaded_models == entry.loaded_models
        });
        self.table_changed |= !unchanged;
        let up_to_date = old.is_some_and(|old| needs_no_update(old, &entry));
        self.engines.insert(Arc::clone(&entry.name), Arc::new(entry));
        !up_to_date
    }

    fn remove_engine(&mut self, name: &str) {
        if let Some(entry) = self.engines.remove(name) {
            let now = self.shared.clock.now();
            self.shared.stream_origins().record_delisted(&entry.service, &entry.software, now);
            self.last_incarnations.insert(Arc::clone(&entry.name), entry.incarnation);
            let engine = name.to_owned();
            self.shared.events.write(HostEvent::EngineGone { engine });
            if let Some(domain) = self.domains.get_mut(&entry.service) {
                domain.remove_engine(name);
            }
            let engines = &self.engines;
            self.order_clients.retain(|engine| engines.contains_key(engine));
            self.table_changed = true;
        }
    }
}

/// Returns the first engine for which `is_due` holds.
fn first_due<Value>(
    engines: &BTreeMap<EngineName, Value>,
    is_due: impl Fn(&Value) -> bool,
) -> Option<EngineName> {
    engines.iter().find(|(_, value)| is_due(value)).map(|(name, _)| Arc::clone(name))
}

/// Returns whether a follower that knows `old` does not need `new`. Loaded adapters are ignored
/// because plans contain them.
fn needs_no_update(old: &EngineEntry, new: &EngineEntry) -> bool {
    let bases = |entry: &EngineEntry| {
        let loaded =
            entry.loaded_models.iter().filter(|loaded| adapter_name(&loaded.key).is_none());
        loaded.cloned().collect::<Vec<_>>()
    };
    old.leaving == new.leaving
        && old.incarnation == new.incarnation
        && old.address == new.address
        && old.service == new.service
        && old.software == new.software
        && bases(old) == bases(new)
}
