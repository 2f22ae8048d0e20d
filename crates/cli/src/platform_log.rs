//! Reads and appends to the platform's settings stream.

use std::time::{Duration, Instant};

use eyre::{WrapErr, bail};
use reelreel_core::{
    chart::{PublicationEvent, PublicationState},
    node::{AppendResult, LogStream},
    settings::{ChangeRecord, ChangeVerdict, SettingsFold, SettingsSnapshot},
};
use reelreel_node::clients::{LogClient, PlatformHttpClient};

use crate::{options::LogSource, watch};

/// Maximum time until the verdict of a publication is in the log.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time that one read waits for records.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// The settings stream of one platform.
pub(crate) struct PlatformLog {
    platform: PlatformHttpClient,
    /// Host that provides a snapshot where the log's first records have expired.
    host: Option<String>,
}

impl PlatformLog {
    /// Creates a client for the platform, without connecting.
    pub(crate) fn new(source: &LogSource) -> Self {
        Self { platform: PlatformHttpClient::new(&source.platform), host: source.host.clone() }
    }

    /// Replays the settings stream to its end, from a snapshot if there is one.
    pub(crate) fn replay(&self) -> eyre::Result<SettingsFold> {
        let mut settings = SettingsFold::default();
        self.install_latest_snapshot(&mut settings)?;
        if let Some(host) = &self.host {
            // An unreachable host is not an error while the log still has the records.
            if let Ok(snapshot) = watch::fetch::<SettingsSnapshot>(host, "settings") {
                settings.install_snapshot(snapshot)?;
            }
        }
        self.read_new_records(&mut settings, Duration::ZERO)?;
        Ok(settings)
    }

    fn install_latest_snapshot(&self, settings: &mut SettingsFold) -> eyre::Result<()> {
        let end = self.platform.read(LogStream::Snapshots, u64::MAX, Duration::ZERO)?.end;
        let last = end.saturating_sub(1);
        let batch = self.platform.read(LogStream::Snapshots, last, Duration::ZERO)?;
        settings.enter_era(batch.era);
        let newest = batch.records.last().map(|record| record.payload.clone());
        if let Some(payload) = newest {
            let snapshot = SettingsSnapshot::from_json(&payload);
            // An invalid snapshot is not an error while the log still has the records.
            if let Ok(snapshot) = snapshot {
                drop(settings.install_snapshot(snapshot));
            }
        }
        Ok(())
    }

    /// Applies all new records; the first read waits up to `wait` for one.
    fn read_new_records(&self, settings: &mut SettingsFold, wait: Duration) -> eyre::Result<()> {
        let mut wait = wait;
        loop {
            let from = settings.next_offset();
            let batch = self.platform.read(LogStream::Settings, from, wait)?;
            wait = Duration::ZERO;
            if settings.enter_era(batch.era) {
                // The log was restored from an older copy: replay it from the start.
                self.install_latest_snapshot(settings)?;
                continue;
            }
            if batch.end < from {
                bail!(
                    "the log ends at offset {}, before the {from} records already read; it was restored from an older copy, try again in a moment",
                    batch.end
                );
            }
            let Some(first) = batch.records.first() else { return Ok(()) };
            if first.offset > from {
                bail!(
                    "records from offset {from} have expired and no snapshot covers them; pass a running host with --host"
                );
            }
            for record in batch.records {
                if !settings.fold(record) {
                    bail!("{}", settings.halt().map(ToString::to_string).unwrap_or_default());
                }
            }
        }
    }

    /// Publishes a change and waits for its verdict in the log.
    ///
    /// An append whose response is lost is not retried: reading the log shows whether it was written.
    pub(crate) fn publish(&self, record: &ChangeRecord) -> eyre::Result<ChangeVerdict> {
        let mut state = PublicationState::initial();
        let mut settings = self.replay().wrap_err("cannot read the settings in force")?;
        let payload = serde_json::to_vec(record)?;
        let result = self.platform.append(LogStream::Settings, &payload);
        state = state.after(PublicationEvent::Appended);
        if result == AppendResult::Refused {
            state = state.after(PublicationEvent::AppendRefused);
            bail!("publication {}: the platform refused the append; publish again", state.name());
        }
        let deadline = Instant::now() + VERDICT_TIMEOUT;
        while Instant::now() < deadline {
            // A failed read is retried: the log may be unavailable for a moment.
            drop(self.read_new_records(&mut settings, LONG_POLL_WAIT));
            let verdict = settings.verdicts().find(|verdict| verdict.change_id == record.change_id);
            if let Some(verdict) = verdict {
                return Ok(verdict.clone());
            }
        }
        bail!(
            "publication {}: not found in the log within {} s; look for {} with `reelreel settings history` before publishing again",
            state.name(),
            VERDICT_TIMEOUT.as_secs(),
            record.change_id
        )
    }
}
