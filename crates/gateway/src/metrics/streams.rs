//! Metrics of resumed streams, and of the software versions of their engines.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::traffic::resume::ResumeFailure;

/// Labels of the counter of streams that were not resumed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumeFailureLabels {
    /// Why the stream was not resumed.
    cause: &'static str,
}

/// Metrics of resumed streams.
#[derive(Debug, Default)]
pub struct StreamMetrics {
    /// Streams that this host resumed at another engine.
    pub resumes: Counter,
    /// Streams that clients resumed.
    pub client_resumes: Counter,
    /// Responses with events of engines of several software versions.
    pub software_joins: Counter,
    /// Interrupted streams that were not resumed, by cause.
    resume_failures: Family<ResumeFailureLabels, Counter>,
}

impl StreamMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("resumes", "Streams taken up at another engine", self.resumes.clone());
        let help = "Streams that clients resumed after their connection had ended";
        registry.register("client_resumes", help, self.client_resumes.clone());
        let help = "Responses with events of engines of several software versions";
        registry.register("software_joins", help, self.software_joins.clone());
        let help = "Interrupted streams that were not resumed, by cause";
        registry.register("stream_resume_failures", help, self.resume_failures.clone());
    }

    /// Counts an interrupted stream that was not resumed.
    pub fn count_resume_failure(&self, failure: ResumeFailure) {
        let labels = ResumeFailureLabels { cause: failure.name() };
        self.resume_failures.get_or_create(&labels).inc();
    }
}
