//! What becomes of a request under which engines ended.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry, WeightVersion, base_model, engine_choice::PublishedVersions,
    health::EngineOutcome, quarantine::EndedRun,
};

use crate::{engines::end_detection::check_after_failure, traffic::exchange::Exchange};

/// How long a request that may be sent again waits to know whether its engine ended: a refused connection shows within a
/// round trip, a few milliseconds between data halls of a region.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

impl Exchange<'_> {
    /// Returns for how long the request is held back, if it is.
    pub(super) fn quarantine_time(&self) -> Option<Duration> {
        let now = self.traffic.now();
        let version = self.published_version();
        self.traffic.shared.quarantine().held(self.mark, version, now)
    }

    /// Returns whether engines ended under the request since it last ran whole.
    pub(super) fn is_suspect(&self) -> bool {
        self.traffic.shared.quarantine().is_suspect(self.mark)
    }

    /// Takes that the request is being sent to an engine.
    pub(super) fn record_run_start(&mut self) {
        let now = self.traffic.now();
        let shared = &self.traffic.shared;
        if shared.quarantine().run_begins(self.mark, now) {
            shared.wake_control.notify_one();
        }
        self.current_run = Some(EndedRun {
            mark: self.mark,
            organisation: self.organisation.as_ref().map(|entry| Arc::clone(&entry.name)),
            began: now,
            version: self.published_version(),
        });
    }

    /// Takes that an engine ran the request to its end, well or not, and lives.
    pub(super) fn record_complete_run(&mut self) {
        self.current_run = None;
        let now = self.traffic.now();
        self.traffic.shared.quarantine().ran_whole(self.mark, now);
    }

    /// Takes that the run under way broke off, and finds out whether its engine ended.
    ///
    /// Whoever would send the request again waits for that: one engine more would end before anything is known.
    pub(super) async fn handle_broken_run(&mut self, entry: &Arc<EngineEntry>) {
        self.record_outcome(entry, EngineOutcome::Failed);
        let Some(run) = self.current_run.take() else { return };
        let end_check = check_after_failure(self.traffic, entry, run);
        if self.route.kind.is_retryable() && self.may_try_other_engine() {
            // Not known in time is as good as not ended: whoever comes next finds out.
            let _ = tokio::time::timeout(END_CHECK_TIMEOUT, end_check).await;
        }
    }

    /// Returns the newest version that is named of what the request names.
    fn published_version(&self) -> WeightVersion {
        let Some(key) = &self.facts.model else { return 0 };
        let table = self.traffic.table();
        let published = |key: &str| table.versions.get(key).map_or(0, PublishedVersions::newest);
        published(key).max(published(base_model(key)))
    }
}
