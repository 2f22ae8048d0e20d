//! Quarantine of requests whose engines terminated while running them.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry, WeightVersion, base_model, engine_choice::PublishedVersions,
    health::EngineOutcome, quarantine::InterruptedRun,
};

use crate::{engines::end_detection::check_after_failure, traffic::exchange::Exchange};

/// How long a retry waits for the check whether its engine terminated.
///
/// A refused connection shows within a round trip, a few milliseconds between data halls of a
/// region.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

impl Exchange<'_> {
    /// Returns the remaining quarantine of the request, if it is quarantined.
    pub(super) fn quarantine_time(&self) -> Option<Duration> {
        let now = self.traffic.now();
        let version = self.published_version();
        self.traffic.shared.quarantine().quarantine_left(self.mark, version, now)
    }

    /// Returns whether an engine terminated while running the request since its last complete run.
    pub(super) fn is_suspect(&self) -> bool {
        self.traffic.shared.quarantine().is_suspect(self.mark)
    }

    /// Records that a run of the request starts.
    pub(super) fn record_run_start(&mut self) {
        let now = self.traffic.now();
        let shared = &self.traffic.shared;
        if shared.quarantine().record_start(self.mark, now) {
            shared.wake_control.notify_one();
        }
        self.current_run = Some(InterruptedRun {
            mark: self.mark,
            organisation: self.organisation.as_ref().map(|entry| Arc::clone(&entry.name)),
            began: now,
            version: self.published_version(),
        });
    }

    /// Records that an engine completed the request, successfully or not.
    pub(super) fn record_complete_run(&mut self) {
        self.current_run = None;
        let now = self.traffic.now();
        self.traffic.shared.quarantine().record_completion(self.mark, now);
    }

    /// Records that the current run was interrupted and checks whether its engine terminated.
    ///
    /// Returns whether it is known to have. A retryable request waits for the check: sent at once, it
    /// could terminate another engine. An engine that aborted a response which this host left unread
    /// is not held responsible.
    pub(super) async fn handle_interrupted_run(&mut self, entry: &Arc<EngineEntry>) -> bool {
        if self.was_left_unread() {
            self.current_run = None;
            return false;
        }
        self.record_outcome(entry, EngineOutcome::Failed);
        let Some(run) = self.current_run.take() else { return false };
        let is_suspect = self.is_suspect();
        let end_check = check_after_failure(self.traffic, entry, run);
        // An engine with models may get the request again.
        let may_run_again = self.may_try_other_engine()
            || self.metadata.model.is_some()
            || self.route.kind.is_stream();
        if !self.route.kind.is_retryable() || !may_run_again {
            return false;
        }
        if is_suspect {
            return end_check.await;
        }
        // Without a result in time the engine counts as alive; a further send shows if it is not.
        tokio::time::timeout(END_CHECK_TIMEOUT, end_check).await.unwrap_or(false)
    }

    /// Returns whether the current run's engine is known to have terminated with its response, whose
    /// end only the close of its connection showed.
    ///
    /// A leaving engine terminates after whole responses too.
    pub(super) async fn ended_with_engine(&mut self, entry: &Arc<EngineEntry>) -> bool {
        let departing =
            self.traffic.shared.departures().is_departing(&entry.name, entry.incarnation);
        if entry.leaving || departing {
            return false;
        }
        let Some(run) = self.current_run.take() else { return false };
        let end_check = check_after_failure(self.traffic, entry, run);
        tokio::time::timeout(END_CHECK_TIMEOUT, end_check).await.unwrap_or(false)
    }

    /// Waits while it is being checked whether an engine terminated while running the same request.
    pub(super) async fn await_end_check(&self) {
        let check = self.traffic.end_detector.borrow().check_of(self.mark);
        if let Some(mut check) = check {
            let finished = async { while check.changed().await.is_ok() {} };
            let _ = tokio::time::timeout(END_CHECK_TIMEOUT, finished).await;
        }
    }

    /// Returns the newest published version of the request's adapter or base model.
    fn published_version(&self) -> WeightVersion {
        let Some(key) = &self.metadata.model else { return 0 };
        let table = self.traffic.table();
        let published = |key: &str| table.versions.get(key).map_or(0, PublishedVersions::newest);
        published(key).max(published(base_model(key)))
    }
}
