//! What the operator writes: configurations and named versions, each ordered by its own number.

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
    /// Takes what was read of the configuration.
    pub fn configuration_updated(&mut self, update: TopicUpdate) {
        self.note_era();
        self.configuration.note_reading(&self.shared, "configuration", &update);
        self.note_health(update != TopicUpdate::Unavailable);
        let (records, asked) = match update {
            TopicUpdate::Snapshot { records, requested_at: asked, .. } => (records, Some(asked)),
            TopicUpdate::Records { records, requested_at: asked } => (records, asked),
            TopicUpdate::Unavailable => return,
        };
        self.take_configuration(&records);
        if let Some(asked) = asked {
            self.configuration_confirmed(asked);
        }
    }

    pub(super) fn take_configuration(&mut self, records: &[KeyedRecord]) {
        for record in records {
            let known = self.configuration.holds(&record.key, record.position);
            if !known && self.take_operator_record(record) {
                self.feed.configuration_changed(KeyedRecordMessage::from(record));
                self.shared.wake_control.notify_one();
            }
        }
        self.publish();
    }

    /// Takes what the operator wrote; returns whether it is newer than what is known.
    ///
    /// Configurations and versions are ordered by their own numbers: by its position the older one that a store has come back
    /// with would be newer, and a key that was withdrawn since would be served again.
    fn take_operator_record(&mut self, record: &KeyedRecord) -> bool {
        let (key, position) = (&record.key, record.position);
        if record.value.is_empty() {
            self.configuration.take(key, position, None);
            return false;
        }
        let newer = match self.shared.codecs.store.decode_configuration(record) {
            Ok(ConfigurationRecord::Routes(routes)) => self.take_routes(routes, position),
            Ok(ConfigurationRecord::Version(key, version)) => self.take_version(key, version),
            Ok(ConfigurationRecord::Other) => {
                return self.configuration.take(key, position, Some(record.value.clone()));
            }
            Err(error) => return self.take_unreadable(record, &error),
        };
        if newer {
            self.configuration.keep(key, position, record.value.clone());
        } else {
            self.configuration.pass(key, position);
        }
        newer
    }

    fn take_unreadable(&mut self, record: &KeyedRecord, error: &CodecError) -> bool {
        let value = Some(record.value.clone());
        let newer = self.configuration.take(&record.key, record.position, value);
        if newer {
            log::warn!("record {}: {error}; the last good one goes on", record.key);
            if matches!(error, CodecError::Configuration(_)) {
                self.freshness.newer_unreadable();
            }
        }
        newer
    }

    /// Takes a configuration, unless its revision is no higher: within one life of the process it never falls.
    fn take_routes(&mut self, routes: Arc<RouteTable>, position: StorePosition) -> bool {
        let newer = self.routes.as_ref().is_none_or(|old| old.revision() < routes.revision());
        if !newer {
            return false;
        }
        let revision = routes.revision();
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
        self.changed = true;
        true
    }

    fn take_version(&mut self, key: ModelKey, version: WeightVersion) -> bool {
        let now = self.shared.clock.now();
        let newer = self.versions.entry(key).or_default().publish(version, now);
        self.changed |= newer;
        newer
    }
}

/// Says which keys are held by nobody because more than one organisation lists them.
fn warn_of_ambiguous_keys(routes: &RouteTable) {
    let Some(organisations) = routes.organisations() else { return };
    for key in organisations.ambiguous_keys() {
        let fingerprint = key.fingerprint();
        log::warn!(
            "key {fingerprint} is listed by two organisations and serves none; issue it anew"
        );
    }
}
