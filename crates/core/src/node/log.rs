//! What the platform's log says, and what this host writes there.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{HostId, KeyHash, LogOffset, RequestId, StoreEra, request_host},
    message::{PeerMessage, SettingsPull, SettingsRecords, SettingsState},
    node::{AppendResult, LogStream, NodeAction, NodeCore},
    owner::{OwnedRole, rendezvous, role_key},
    settings::{SettingKey, SettingsSnapshot, fold::LogRecord},
};

/// Tickets of appends that carry no claims start here.
const FIRST_SNAPSHOT_TICKET: u64 = 1 << 62;

/// For how long no key can be claimed after the log came back from an older copy: a host hears of it within two and a half seconds (a
/// read that the log holds, and the pause after one that failed), and writes the claims that it knows within one more.
const CLAIM_RECOVERY_DELAY: Duration = Duration::from_secs(4);

impl NodeCore {
    /// Takes in which era of the log something was read; returns whether that is the present one.
    pub(super) fn enter_era(&mut self, era: StoreEra) -> bool {
        if self.settings.enter(era) {
            self.handle_new_era(era);
        }
        era == self.settings.era()
    }

    /// Reads everything again, and writes again the claims that the log may have lost.
    fn handle_new_era(&mut self, era: StoreEra) {
        self.note("log", format!("came back from an older copy, era {era}; it is read again"));
        self.progress.settings_caught_up = false;
        self.progress.newest_snapshot_offset = 0;
        self.progress.claims_caught_up = false;
        self.progress.claims_blocked_until = self.now() + CLAIM_RECOVERY_DELAY;
        self.claim_table.rewind();
        self.refuse_claiming_requests();
        let own = self.config.host;
        let members: Vec<HostId> = self.members.owners(None).collect();
        // Claims of a host that is gone are written again by one that every host picks.
        let writer = |key: KeyHash, request: RequestId| {
            let host = request_host(request);
            if members.contains(&host) {
                return Some(host);
            }
            let role = role_key(OwnedRole::Snapshots, xxh3_64(&key.to_le_bytes()));
            rendezvous(role, members.iter().copied())
        };
        let rewritten =
            self.claim_table.holders().filter(|(key, request)| writer(*key, *request) == Some(own));
        self.claim_tracker.renew(rewritten.collect::<Vec<_>>().into_iter());
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
            // The records in between are there, only this read came before an earlier one.
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
            // The log's retention passed this host by: only a snapshot helps.
            self.note("settings", "records expired before they were read");
            self.actions.push(NodeAction::Follow { stream: LogStream::Snapshots, from: 0 });
            self.ask_any_peer_for_settings();
            return;
        }
        self.fold_records(records);
        if self.settings.next_offset() >= end {
            self.confirm_settings();
        }
    }

    /// Notes that this host has all that there is. Snapshots are for those who have not: with
    /// 94,000 adapters one takes 9 MB, which a host that folds the records need not read.
    pub(super) fn confirm_settings(&mut self) {
        if !self.progress.settings_caught_up {
            self.progress.settings_caught_up = true;
            self.actions.push(NodeAction::Unfollow { stream: LogStream::Snapshots });
        }
    }

    fn fold_records(&mut self, records: Vec<LogRecord>) {
        let before = self.settings.revision();
        for record in records {
            self.settings.fold(record);
        }
        let after = self.settings.revision();
        if after != before {
            self.note("settings", format!("revision {after} in force"));
            self.ownership_dirty = true;
            self.update_ownership();
        }
    }

    fn ask_any_peer_for_settings(&mut self) {
        use rand::seq::IndexedRandom;
        let peers: Vec<HostId> = self.members.owners(None).collect();
        let Some(peer) = peers.choose(&mut self.rng).copied() else { return };
        if peer != self.config.host {
            let pull =
                SettingsPull { era: self.settings.era(), next_offset: self.settings.next_offset() };
            self.send(peer, PeerMessage::SettingsPull(pull));
        }
    }

    fn read_snapshots(&mut self, records: &[LogRecord]) {
        for record in records {
            self.adopt_snapshot(&record.payload);
        }
    }

    /// Takes a snapshot from the log or a peer, after checking it.
    pub(super) fn adopt_snapshot(&mut self, payload: &[u8]) {
        let adopted = SettingsSnapshot::from_json(payload).and_then(|snapshot| {
            self.progress.newest_snapshot_offset =
                self.progress.newest_snapshot_offset.max(snapshot.next_offset);
            if snapshot.next_offset == self.settings.next_offset() {
                let own = self.settings.snapshot();
                if own.digest != snapshot.digest {
                    let revision = snapshot.revision;
                    return Err(crate::settings::SnapshotError::WrongDigest(revision));
                }
            }
            self.settings.adopt(snapshot)
        });
        match adopted {
            Ok(true) => {
                let (revision, from) = (self.settings.revision(), self.settings.next_offset());
                self.note("settings", format!("revision {revision} taken from a snapshot"));
                let stream = LogStream::Settings;
                self.actions.push(NodeAction::Follow { stream, from });
                self.actions.push(NodeAction::Unfollow { stream: LogStream::Snapshots });
                self.ownership_dirty = true;
                self.update_ownership();
            }
            Ok(false) => {}
            Err(error) => {
                self.counters.snapshots_refused += 1;
                self.note("settings", format!("snapshot refused: {error}"));
            }
        }
    }

    /// Passes on to a peer what it lacks; one that knows an earlier era of the log lacks everything.
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

    /// Takes settings records from a peer; the fold passes over those that it knows.
    pub(super) fn handle_settings_records(&mut self, passed: SettingsRecords) {
        if self.enter_era(passed.era) {
            self.fold_records(passed.records);
        }
    }

    /// Takes a snapshot from a peer.
    pub(super) fn handle_settings_state(&mut self, passed: &SettingsState) {
        if self.enter_era(passed.era) {
            self.adopt_snapshot(&passed.snapshot);
        }
    }

    fn read_claims(&mut self, records: &[LogRecord], end: LogOffset) {
        self.progress.claims_unavailable = false;
        let window = self.site_number(SettingKey::ClaimWindowMs);
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
        self.note("log", "claims stream is away");
        self.refuse_claiming_requests();
    }

    /// Appends the claims that have gathered, when an append is due.
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

    /// Appends a snapshot when enough records have come since the last one. One host does it.
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
        let key = role_key(OwnedRole::Snapshots, 0);
        if rendezvous(key, self.members.owners(None)) != Some(self.config.host) {
            return;
        }
        self.progress.last_snapshot_at = self.now();
        self.progress.next_ticket += 1;
        let ticket = FIRST_SNAPSHOT_TICKET + self.progress.next_ticket;
        self.progress.pending_snapshot = Some(ticket);
        // Counted as written: if it was not, the next one comes with the records after it.
        self.progress.newest_snapshot_offset = self.settings.next_offset();
        self.counters.appends += 1;
        let payload = self.settings.snapshot().to_json();
        self.actions.push(NodeAction::Append { stream: LogStream::Snapshots, payload, ticket });
    }
}
