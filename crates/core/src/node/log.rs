//! Reads of the platform's log and appends to it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{HostId, KeyHash, LogOffset, RequestId, StoreEra, request_host},
    message::{PeerMessage, SettingsPull, SettingsRecords, SettingsState},
    node::{AppendResult, LogStream, NodeAction, NodeCore},
    owner::{OwnedRole, rendezvous, role_key},
    settings::{SettingKey, SettingsSnapshot, fold::LogRecord},
};

/// Snapshot appends use tickets above this one; claim appends use those below.
const SNAPSHOT_TICKET_BASE: u64 = 1 << 62;

/// How long no key can be claimed after the log was restored from an older copy.
///
/// Hosts notice the new era within 2.5 s (a long-poll read plus the pause after a failed one) and
/// rewrite the claims they know within another second.
const CLAIM_RECOVERY_DELAY: Duration = Duration::from_secs(4);

impl NodeCore {
    /// Enters the era of a read if it is newer; returns whether the read belongs to the present
    /// era.
    pub(super) fn enter_era(&mut self, era: StoreEra) -> bool {
        if self.settings.enter_era(era) {
            self.handle_new_era(era);
        }
        era == self.settings.era()
    }

    /// Rereads all streams and schedules a rewrite of the claims that the log may have lost.
    fn handle_new_era(&mut self, era: StoreEra) {
        self.record_event(
            "log",
            format!("came back from an older copy, era {era}; it is read again"),
        );
        self.progress.settings_caught_up = false;
        self.progress.newest_snapshot_offset = 0;
        self.progress.claims_caught_up = false;
        self.progress.claims_blocked_until = self.now() + CLAIM_RECOVERY_DELAY;
        self.claim_table.rewind();
        self.refuse_claiming_requests();
        let own = self.config.host;
        let members: Vec<HostId> = self.members.eligible_owners(None).collect();
        // A claim of a host that is gone is rewritten by one member, chosen by rendezvous hashing.
        let writer = |key: KeyHash, request: RequestId| {
            let host = request_host(request);
            if members.contains(&host) {
                return Some(host);
            }
            let role = role_key(OwnedRole::SnapshotWriter, xxh3_64(&key.to_le_bytes()));
            rendezvous(role, members.iter().copied())
        };
        let rewritten =
            self.claim_table.holders().filter(|(key, request)| writer(*key, *request) == Some(own));
        self.claim_tracker.rewrite_lost(rewritten.collect::<Vec<_>>().into_iter());
        for stream in LogStream::ALL {
            self.actions.push(NodeAction::Follow { stream, from: 0 });
        }
    }

    pub(super) fn handle_log_read(
        &mut self,
        stream: LogStream,
        first: LogOffset,
        records: Vec<LogRecord>,
        end: LogOffset,
    ) {
        let next = match stream {
            LogStream::Settings => self.settings.next_offset(),
            LogStream::Claims => self.claim_table.next_offset(),
            LogStream::Snapshots => 0,
        };
        let gap = records.first().is_some_and(|record| record.offset > next);
        if gap && first <= next && stream != LogStream::Snapshots {
            // Reads arrived out of order: the missing records are still retained, so read them
            // again.
            self.actions.push(NodeAction::Follow { stream, from: next });
            return;
        }
        match stream {
            LogStream::Settings => self.read_settings(records, gap, end),
            LogStream::Snapshots => self.read_snapshots(&records),
            LogStream::Claims => self.read_claims(&records, end),
        }
    }

    fn read_settings(&mut self, records: Vec<LogRecord>, expired: bool, end: LogOffset) {
        if expired {
            // Retention removed records that were not yet read; only a snapshot can replace them.
            self.record_event("settings", "records expired before they were read");
            self.actions.push(NodeAction::Follow { stream: LogStream::Snapshots, from: 0 });
            self.pull_settings_from_random_peer();
            return;
        }
        self.apply_settings_records(records);
        if self.settings.next_offset() >= end {
            self.confirm_settings();
        }
    }

    /// Marks the settings as caught up and stops following the snapshots.
    ///
    /// A snapshot of a large site takes several megabytes; a host that reads the records needs
    /// none.
    pub(super) fn confirm_settings(&mut self) {
        if !self.progress.settings_caught_up {
            self.progress.settings_caught_up = true;
            self.actions.push(NodeAction::Unfollow { stream: LogStream::Snapshots });
        }
    }

    fn apply_settings_records(&mut self, records: Vec<LogRecord>) {
        let before = self.settings.revision();
        for record in records {
            self.settings.fold(record);
        }
        let after = self.settings.revision();
        if after != before {
            self.record_event("settings", format!("revision {after} in force"));
            self.ownership_dirty = true;
            self.update_ownership();
        }
    }

    fn pull_settings_from_random_peer(&mut self) {
        use rand::seq::IndexedRandom;
        let peers: Vec<HostId> = self.members.eligible_owners(None).collect();
        let Some(peer) = peers.choose(&mut self.rng).copied() else { return };
        if peer != self.config.host {
            let pull =
                SettingsPull { era: self.settings.era(), next_offset: self.settings.next_offset() };
            self.send(peer, PeerMessage::SettingsPull(pull));
        }
    }

    fn read_snapshots(&mut self, records: &[LogRecord]) {
        for record in records {
            self.install_snapshot(&record.payload);
        }
    }

    /// Checks a snapshot from the log or a peer and installs it if it is newer.
    pub(super) fn install_snapshot(&mut self, payload: &[u8]) {
        let installed = SettingsSnapshot::from_json(payload).and_then(|snapshot| {
            self.progress.newest_snapshot_offset =
                self.progress.newest_snapshot_offset.max(snapshot.next_offset);
            if snapshot.next_offset == self.settings.next_offset() {
                let own = self.settings.snapshot();
                if own.digest != snapshot.digest {
                    let revision = snapshot.revision;
                    return Err(crate::settings::SnapshotError::DigestMismatch(revision));
                }
            }
            self.settings.install_snapshot(snapshot)
        });
        match installed {
            Ok(true) => {
                let (revision, from) = (self.settings.revision(), self.settings.next_offset());
                self.record_event("settings", format!("revision {revision} taken from a snapshot"));
                let stream = LogStream::Settings;
                self.actions.push(NodeAction::Follow { stream, from });
                self.actions.push(NodeAction::Unfollow { stream: LogStream::Snapshots });
                self.ownership_dirty = true;
                self.update_ownership();
            }
            Ok(false) => {}
            Err(error) => {
                self.counters.snapshots_refused += 1;
                self.record_event("settings", format!("snapshot refused: {error}"));
            }
        }
    }

    /// Sends a peer the records it lacks, or a snapshot if they are no longer kept.
    ///
    /// A peer in an earlier era of the log lacks all records.
    pub(super) fn handle_settings_pull(&mut self, from: HostId, pull: SettingsPull) {
        let era = self.settings.era();
        if pull.era > era {
            return;
        }
        let next_offset = if pull.era == era { pull.next_offset } else { 0 };
        let message = match self.settings.records_from(next_offset) {
            Some(records) if records.is_empty() => return,
            Some(records) => PeerMessage::SettingsRecords(SettingsRecords { era, records }),
            None => {
                let snapshot = self.settings.snapshot().to_json();
                PeerMessage::SettingsState(SettingsState { era, snapshot })
            }
        };
        self.send(from, message);
    }

    /// Applies settings records from a peer; known ones are skipped.
    pub(super) fn handle_settings_records(&mut self, received: SettingsRecords) {
        if self.enter_era(received.era) {
            self.apply_settings_records(received.records);
        }
    }

    /// Adopts a settings snapshot from a peer.
    pub(super) fn handle_settings_state(&mut self, received: &SettingsState) {
        if self.enter_era(received.era) {
            self.install_snapshot(&received.snapshot);
        }
    }

    fn read_claims(&mut self, records: &[LogRecord], end: LogOffset) {
        self.progress.claims_unavailable = false;
        let window = self.site_integer(SettingKey::ClaimWindowMs);
        for record in records {
            for decided in self.claim_table.apply(record, window) {
                if let Some(verdict) = self.claim_tracker.apply_decision(decided, window) {
                    self.apply_verdict(verdict);
                }
            }
        }
        if self.claim_table.next_offset() >= end {
            self.progress.claims_caught_up = true;
        }
        self.append_claims();
    }

    pub(super) fn handle_log_unavailable(&mut self, stream: LogStream) {
        if stream != LogStream::Claims || self.progress.claims_unavailable {
            return;
        }
        self.progress.claims_unavailable = true;
        self.record_event("log", "claims stream is away");
        self.refuse_claiming_requests();
    }

    /// Appends the pending claims and releases if an append is due.
    pub(super) fn append_claims(&mut self) {
        if self.progress.claims_unavailable {
            return;
        }
        let now = self.now();
        let Some((ticket, record)) = self.claim_tracker.next_append(now) else { return };
        self.counters.appends += 1;
        let payload = record.to_json();
        let stream = LogStream::Claims;
        self.actions.push(NodeAction::Append { stream, payload, ticket });
    }

    pub(super) fn handle_append_ended(&mut self, ticket: u64, result: AppendResult) {
        if self.progress.pending_snapshot == Some(ticket) {
            self.progress.pending_snapshot = None;
            return;
        }
        self.claim_tracker.append_ended(ticket, result == AppendResult::Refused);
    }

    /// Appends a settings snapshot if one is due and this host is the one chosen to write it.
    pub(super) fn append_snapshot(&mut self) {
        let behind =
            self.settings.next_offset().saturating_sub(self.progress.newest_snapshot_offset);
        let age = self.now().since(self.progress.last_snapshot_at);
        let times = &self.config.times;
        let late = behind > 0 && age >= times.snapshot_max_lag;
        let due =
            behind >= times.snapshot_record_limit || late || age >= times.snapshot_renewal_interval;
        if !due || self.progress.pending_snapshot.is_some() || !self.is_ready() {
            return;
        }
        let key = role_key(OwnedRole::SnapshotWriter, 0);
        if rendezvous(key, self.members.eligible_owners(None)) != Some(self.config.host) {
            return;
        }
        self.progress.last_snapshot_at = self.now();
        self.progress.snapshot_appends += 1;
        let ticket = SNAPSHOT_TICKET_BASE + self.progress.snapshot_appends;
        self.progress.pending_snapshot = Some(ticket);
        // Treated as written. If the append fails, a later snapshot covers these records.
        self.progress.newest_snapshot_offset = self.settings.next_offset();
        self.counters.appends += 1;
        let payload = self.settings.snapshot().to_json();
        self.actions.push(NodeAction::Append { stream: LogStream::Snapshots, payload, ticket });
    }
}
