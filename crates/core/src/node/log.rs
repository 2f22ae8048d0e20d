//! What the platform's log says, and what this host writes there.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{HostId, KeyHash, LogOffset, RequestId, StoreEra, request_host},
    message::{PeerMessage, SettingsPull, SettingsRecords, SettingsState},
    node::{AppendResult, LogStream, NodeCore, NodeOrder},
    owner::{OwnedRole, rendezvous, role_key},
    settings::{SettingKey, SettingsSnapshot, fold::LogRecord},
};

/// Tickets of appends that carry no claims start here.
const OTHER_TICKETS: u64 = 1 << 62;

/// For how long no key can be claimed after the log came back from an older copy: a host hears of it within two and a half seconds (a
/// read that the log holds, and the pause after one that failed), and writes the claims that it knows within one more.
const CLAIM_SETTLE: Duration = Duration::from_secs(4);

impl NodeCore {
    /// Takes in which era of the log something was read; returns whether that is the present one.
    pub(super) fn in_era(&mut self, era: StoreEra) -> bool {
        if self.fold.enter_era(era) {
            self.era_began(era);
        }
        era == self.fold.era()
    }

    /// Reads everything again, and writes again the claims that the log may have lost.
    fn era_began(&mut self, era: StoreEra) {
        self.note("log", format!("came back from an older copy, era {era}; it is read again"));
        self.progress.settings_confirmed = false;
        self.progress.snapshot_offset = 0;
        self.progress.claims_read = false;
        self.progress.claims_settle = self.now() + CLAIM_SETTLE;
        self.claims.begin_again();
        self.refuse_claiming();
        let own = self.config.host;
        let members: Vec<HostId> = self.members.eligible_owners(None).collect();
        // Claims of a host that is gone are written again by one that every host picks.
        let teller = |key: KeyHash, request: RequestId| {
            let host = request_host(request);
            if members.contains(&host) {
                return Some(host);
            }
            let role = role_key(OwnedRole::SnapshotWriter, xxh3_64(&key.to_le_bytes()));
            rendezvous(role, members.iter().copied())
        };
        let told =
            self.claims.holders().filter(|(key, request)| teller(*key, *request) == Some(own));
        self.book.renew(told.collect::<Vec<_>>().into_iter());
        for stream in LogStream::ALL {
            self.orders.push(NodeOrder::Follow { stream, from: 0 });
        }
    }

    pub(super) fn log_read(
        &mut self,
        stream: LogStream,
        first: LogOffset,
        records: Vec<LogRecord>,
        end: LogOffset,
    ) {
        let next = match stream {
            LogStream::Settings => self.fold.next_offset(),
            LogStream::Claims => self.claims.next_offset(),
            LogStream::Snapshots => 0,
        };
        let gap = records.first().is_some_and(|record| record.offset > next);
        if gap && first <= next && stream != LogStream::Snapshots {
            // The records in between are there, only this read came before an earlier one.
            self.orders.push(NodeOrder::Follow { stream, from: next });
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
            self.orders.push(NodeOrder::Follow { stream: LogStream::Snapshots, from: 0 });
            self.ask_any_peer_for_settings();
            return;
        }
        self.fold_records(records);
        if self.fold.next_offset() >= end {
            self.confirm_settings();
        }
    }

    /// Notes that this host has all that there is. Snapshots are for those who have not: with
    /// 94,000 adapters one takes 9 MB, which a host that folds the records need not read.
    pub(super) fn confirm_settings(&mut self) {
        if !self.progress.settings_confirmed {
            self.progress.settings_confirmed = true;
            self.orders.push(NodeOrder::Ignore { stream: LogStream::Snapshots });
        }
    }

    fn fold_records(&mut self, records: Vec<LogRecord>) {
        let before = self.fold.revision();
        for record in records {
            self.fold.fold(record);
        }
        let after = self.fold.revision();
        if after != before {
            self.note("settings", format!("revision {after} in force"));
            self.view_dirty = true;
            self.settle_ownership();
        }
    }

    fn ask_any_peer_for_settings(&mut self) {
        use rand::seq::IndexedRandom;
        let peers: Vec<HostId> = self.members.eligible_owners(None).collect();
        let Some(peer) = peers.choose(&mut self.rng).copied() else { return };
        if peer != self.config.host {
            let pull = SettingsPull { era: self.fold.era(), next_offset: self.fold.next_offset() };
            self.send(peer, PeerMessage::SettingsPull(pull));
        }
    }

    fn read_snapshots(&mut self, records: &[LogRecord]) {
        for record in records {
            self.take_snapshot(&record.payload);
        }
    }

    /// Takes a snapshot from the log or a peer, after checking it.
    pub(super) fn take_snapshot(&mut self, payload: &[u8]) {
        let adopted = SettingsSnapshot::from_json(payload).and_then(|snapshot| {
            self.progress.snapshot_offset = self.progress.snapshot_offset.max(snapshot.next_offset);
            if snapshot.next_offset == self.fold.next_offset() {
                let own = self.fold.snapshot();
                if own.digest != snapshot.digest {
                    let revision = snapshot.revision;
                    return Err(crate::settings::SnapshotError::DigestMismatch(revision));
                }
            }
            self.fold.install_snapshot(snapshot)
        });
        match adopted {
            Ok(true) => {
                let (revision, from) = (self.fold.revision(), self.fold.next_offset());
                self.note("settings", format!("revision {revision} taken from a snapshot"));
                let stream = LogStream::Settings;
                self.orders.push(NodeOrder::Follow { stream, from });
                self.orders.push(NodeOrder::Ignore { stream: LogStream::Snapshots });
                self.view_dirty = true;
                self.settle_ownership();
            }
            Ok(false) => {}
            Err(error) => {
                self.counters.snapshots_refused += 1;
                self.note("settings", format!("snapshot refused: {error}"));
            }
        }
    }

    /// Passes on to a peer what it lacks; one that knows an earlier era of the log lacks everything.
    pub(super) fn take_pull(&mut self, from: HostId, pull: SettingsPull) {
        let era = self.fold.era();
        if pull.era > era {
            return;
        }
        let next_offset = if pull.era == era { pull.next_offset } else { 0 };
        let message = match self.fold.records_from(next_offset) {
            Some(records) if records.is_empty() => return,
            Some(records) => PeerMessage::SettingsRecords(SettingsRecords { era, records }),
            None => {
                let snapshot = self.fold.snapshot().to_json();
                PeerMessage::SettingsState(SettingsState { era, snapshot })
            }
        };
        self.send(from, message);
    }

    /// Takes settings records from a peer; the fold passes over those that it knows.
    pub(super) fn take_records(&mut self, passed: SettingsRecords) {
        if self.in_era(passed.era) {
            self.fold_records(passed.records);
        }
    }

    /// Takes a snapshot from a peer.
    pub(super) fn take_state(&mut self, passed: &SettingsState) {
        if self.in_era(passed.era) {
            self.take_snapshot(&passed.snapshot);
        }
    }

    fn read_claims(&mut self, records: &[LogRecord], end: LogOffset) {
        self.progress.claims_away = false;
        let window = self.site_number(SettingKey::ClaimWindowMs);
        for record in records {
            for decided in self.claims.fold(record, window) {
                if let Some(verdict) = self.book.decided(decided, window) {
                    self.take_verdict(verdict);
                }
            }
        }
        if self.claims.next_offset() >= end {
            self.progress.claims_read = true;
        }
        self.append_claims();
    }

    pub(super) fn log_away(&mut self, stream: LogStream) {
        if stream != LogStream::Claims || self.progress.claims_away {
            return;
        }
        self.progress.claims_away = true;
        self.note("log", "claims stream is away");
        self.refuse_claiming();
    }

    /// Appends the claims that have gathered, when an append is due.
    pub(super) fn append_claims(&mut self) {
        if self.progress.claims_away {
            return;
        }
        let now = self.now();
        let Some((ticket, record)) = self.book.next_append(now) else { return };
        self.counters.appends += 1;
        let payload = record.to_json();
        let stream = LogStream::Claims;
        self.orders.push(NodeOrder::Append { stream, payload, ticket });
    }

    pub(super) fn append_ended(&mut self, ticket: u64, result: AppendResult) {
        if self.progress.snapshot_ticket == Some(ticket) {
            self.progress.snapshot_ticket = None;
            return;
        }
        self.book.append_ended(ticket, result == AppendResult::Refused);
    }

    /// Appends a snapshot when enough records have come since the last one. One host does it.
    pub(super) fn append_snapshot(&mut self) {
        let behind = self.fold.next_offset().saturating_sub(self.progress.snapshot_offset);
        let age = self.now().since(self.progress.snapshot_at);
        let times = &self.config.times;
        let late = behind > 0 && age >= times.snapshot_after;
        let due = behind >= times.snapshot_every || late || age >= times.snapshot_renew;
        if !due || self.progress.snapshot_ticket.is_some() || !self.is_ready() {
            return;
        }
        let key = role_key(OwnedRole::SnapshotWriter, 0);
        if rendezvous(key, self.members.eligible_owners(None)) != Some(self.config.host) {
            return;
        }
        self.progress.snapshot_at = self.now();
        self.progress.next_ticket += 1;
        let ticket = OTHER_TICKETS + self.progress.next_ticket;
        self.progress.snapshot_ticket = Some(ticket);
        // Counted as written: if it was not, the next one comes with the records after it.
        self.progress.snapshot_offset = self.fold.next_offset();
        self.counters.appends += 1;
        let payload = self.fold.snapshot().to_json();
        self.orders.push(NodeOrder::Append { stream: LogStream::Snapshots, payload, ticket });
    }
}
