//! The operator's records: configurations and published versions, each ordered by its own number.

use std::sync::Arc;

use reelreel_core::{
    StorePosition,
    fleet::{ModelKey, WeightVersion, routes::RouteTable},
};

use crate::{
    codec::{CodecError, ConfigurationRecord, KeyedRecord},
    control::{domain::PlacementDomain, state::ControlState},
    events::HostEvent,
    peers::state_frames::KeyedRecordMessage,
    store::follow::TopicUpdate,
};

impl ControlState {
    /// Applies a read of the configuration.
    pub fn apply_configuration_update(&mut self, update: TopicUpdate) {
        self.handle_new_era();
        self.configuration.record_read(&self.shared, "configuration", &update);
        self.record_store_call(update != TopicUpdate::Unavailable);
        let (records, asked) = match update {
            TopicUpdate::Snapshot { records, requested_at: asked, .. } => (records, Some(asked)),
            TopicUpdate::Records { records, requested_at: asked } => (records, asked),
            TopicUpdate::Unavailable => return,
        };
        self.verification.record_complete_state();
        self.apply_configuration(&records);
        if let Some(asked) = asked {
            self.confirm_configuration(asked);
        }
    }

    pub(super) fn apply_configuration(&mut self, records: &[KeyedRecord]) {
        for record in records {
            let already_applied = self.configuration.holds(&record.key, record.position);
            if !already_applied && self.apply_operator_record(record) {
                self.feed.queue_record(KeyedRecordMessage::from(record));
                self.shared.wake_control.notify_one();
            }
        }
        self.publish();
    }

    /// Applies a record of the operator; returns whether it is newer than what is known.
    ///
    /// Configurations and versions are ordered by their own numbers rather than by position: after
    /// a restore of the store, the position of an older record would be newer, and revoked keys
    /// would be served again.
    fn apply_operator_record(&mut self, record: &KeyedRecord) -> bool {
        let (key, position) = (&record.key, record.position);
        if record.value.is_empty() {
            self.configuration.apply(key, position, None);
            return false;
        }
        let newer = match self.shared.codecs.store.decode_configuration(record) {
            Ok(ConfigurationRecord::Routes(routes)) => self.apply_routes(routes, position),
            Ok(ConfigurationRecord::Version(key, version)) => self.apply_version(key, version),
            Ok(ConfigurationRecord::Other) => {
                return self.configuration.apply(key, position, Some(record.value.clone()));
            }
            Err(error) => return self.record_unreadable(record, &error),
        };
        if newer {
            self.configuration.insert(key, position, record.value.clone());
        } else {
            self.configuration.mark_read(key, position);
        }
        newer
    }

    fn record_unreadable(&mut self, record: &KeyedRecord, error: &CodecError) -> bool {
        let value = Some(record.value.clone());
        let newer = self.configuration.apply(&record.key, record.position, value);
        if newer {
            log::warn!("invalid record {}: {error}; keeping the last valid one", record.key);
            if matches!(error, CodecError::Configuration(_)) {
                self.freshness.newer_unreadable();
            }
        }
        newer
    }

    /// Applies a configuration unless its revision is not higher. The revision never decreases
    /// while the process runs.
    fn apply_routes(&mut self, routes: Arc<RouteTable>, position: StorePosition) -> bool {
        let revision = routes.revision();
        match self.routes.as_ref().map(|routes| routes.revision()) {
            Some(in_force) if revision < in_force => return false,
            Some(in_force) if revision == in_force => {
                self.routes_era = self.routes_era.max(position.era);
                return false;
            }
            _ => self.routes_era = position.era,
        }
        warn_of_ambiguous_keys(&routes);
        let StorePosition { era, offset } = position;
        self.shared.events.write(HostEvent::ConfigurationInForce { revision, era, offset });
        self.shared.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        let hosting = routes.services_with_models().map(|service| &service.name);
        for service in hosting.chain(routes.coordinating_service()) {
            if !self.domains.contains_key(service) {
                let partitions = self.shared.profile.partitions;
                let domain =
                    PlacementDomain::new(Arc::clone(service), partitions, self.lease_rules());
                self.domains.insert(Arc::clone(service), domain);
            }
        }
        self.routes = Some(routes);
        self.freshness.configuration_replaced();
        self.table_changed = true;
        true
    }

    fn apply_version(&mut self, key: ModelKey, version: WeightVersion) -> bool {
        let now = self.shared.clock.now();
        let newer = self.versions.entry(key).or_default().publish(version, now);
        self.table_changed |= newer;
        newer
    }
}

/// Logs the keys that are invalid because more than one organisation lists them.
fn warn_of_ambiguous_keys(routes: &RouteTable) {
    let Some(organisations) = routes.organisations() else { return };
    for key in organisations.ambiguous_keys() {
        let fingerprint = key.fingerprint();
        log::warn!(
            "key {fingerprint} is listed by more than one organisation and is rejected; issue a new key"
        );
    }
}
