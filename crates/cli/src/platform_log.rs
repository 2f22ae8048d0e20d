//! The settings stream as an operator's tool reads and writes it.

use std::time::{Duration, Instant};

use eyre::{WrapErr, bail};
use reelreel_core::{
    chart::{PublicationEvent, PublicationState},
    node::{AppendResult, LogStream},
    settings::{ChangeRecord, ChangeVerdict, SettingsFold, SettingsSnapshot},
};
use reelreel_node::border::{LogBorder, PlatformHttp};

use crate::{options::LogSource, watch};

/// How long a publication may take to show up in the log.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(15);

/// How long one read waits for records.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// The settings stream of one platform.
pub(crate) struct PlatformLog {
    platform: PlatformHttp,
    /// A host that is asked where the log has forgotten the beginning.
    host: Option<String>,
}

impl PlatformLog {
    /// Names the platform, and a host where the operator did.
    pub(crate) fn new(source: &LogSource) -> Self {
        Self { platform: PlatformHttp::new(&source.platform), host: source.host.clone() }
    }

    /// Folds the settings stream up to its end, from a snapshot where the start has expired.
    pub(crate) fn replay(&self) -> eyre::Result<SettingsFold> {
        let mut settings = SettingsFold::default();
        self.install_latest_snapshot(&mut settings)?;
        if let Some(host) = &self.host {
            // A host that can not be asked is no loss while the log still has the records.
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
            // A snapshot that can not be trusted is no loss while the log still has the records.
            if let Ok(snapshot) = snapshot {
                drop(settings.install_snapshot(snapshot));
            }
        }
        Ok(())
    }

    /// Folds what has come since; the first read waits up to `wait` for something.
    fn read_new_records(&self, settings: &mut SettingsFold, wait: Duration) -> eyre::Result<()> {
        let mut wait = wait;
        loop {
            let from = settings.next_offset();
            let batch = self.platform.read(LogStream::Settings, from, wait)?;
            wait = Duration::ZERO;
            if settings.enter_era(batch.era) {
                // The log came back from an older copy: what it has now is folded from the start.
                self.install_latest_snapshot(settings)?;
                continue;
            }
            if batch.end < from {
                bail!(
                    "the log ends at {}, before the {from} records that the host knows; it has come back from an older copy, try again in a moment",
                    batch.end
                );
            }
            let Some(first) = batch.records.first() else { return Ok(()) };
            if first.offset > from {
                bail!(
                    "records from {from} have expired and no snapshot covers them; name a running host with --host"
                );
            }
            for record in batch.records {
                if !settings.fold(record) {
                    bail!("{}", settings.halt().map(ToString::to_string).unwrap_or_default());
                }
            }
        }
    }

    /// Publishes a change and waits until the log shows what became of it.
    ///
    /// An append whose answer is lost is not repeated: the log itself tells whether it was written.
    pub(crate) fn publish(&self, record: &ChangeRecord) -> eyre::Result<ChangeVerdict> {
        let mut state = PublicationState::initial();
        let mut settings = self.replay().wrap_err("the settings in force can not be read")?;
        let payload = serde_json::to_vec(record)?;
        let result = self.platform.append(LogStream::Settings, &payload);
        state = state.after(PublicationEvent::Appended);
        if result == AppendResult::Refused {
            state = state.after(PublicationEvent::AppendRefused);
            bail!("publication {}: the platform took nothing; publish again", state.name());
        }
        let deadline = Instant::now() + VERDICT_TIMEOUT;
        while Instant::now() < deadline {
            // The log may be away for a moment; the verdict is in it all the same.
            drop(self.read_new_records(&mut settings, LONG_POLL_WAIT));
            let verdict = settings.verdicts().find(|verdict| verdict.change_id == record.change_id);
            if let Some(verdict) = verdict {
                return Ok(verdict.clone());
            }
        }
        bail!(
            "publication {}: it did not show up in the log within {} s; look for {} with `reelreel settings history` before publishing again",
            state.name(),
            VERDICT_TIMEOUT.as_secs(),
            record.change_id
        )
    }
}
