//! Checks the eight promises against the recorded evidence.

use std::collections::BTreeMap;

use reelreel_core::{CallerOutcome, id::RequestId};

use crate::{evidence::Evidence, script::FINAL_REQUESTS_MS, site::FakeSite};

/// A property that must hold in every run, whatever faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A request runs only on the adapter and version that it names.
    NamedAdapter,
    /// An adapter is never unloaded while requests run on it.
    ServingAdapterNotUnloaded,
    /// Each answered caller receives the complete answer to its own request.
    OwnCompleteAnswer,
    /// A request reported as not run did not run.
    NotRunIsAccurate,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new requests after a grace period.
    NoNewRequestsWhenLeaving,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted configuration is applied by all hosts in time and never reverted.
    ConfigurationConverges,
    /// Callers get a final answer, and requests are answered again after the last fault.
    Recovery,
}

/// A violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseViolation {
    /// The violated promise.
    pub promise: Promise,
    /// A description of the violation.
    pub detail: String,
}

/// How long a leaving backend server may still receive requests, in milliseconds.
const LEAVING_GRACE_MS: u64 = 5_000;

/// How long an accepted configuration may take to be applied on all hosts, in milliseconds.
const MAX_APPLY_MS: u64 = 15_000;

/// How long after the last fault requests may still fail, in milliseconds.
const MAX_RECOVERY_MS: u64 = 8_000;

/// How long after its maximum wait a caller must have received an outcome, in milliseconds.
const ANSWER_GRACE_MS: u64 = 3_000;

/// Checks all promises and returns the violations.
pub fn check_promises(site: &FakeSite) -> Vec<PromiseViolation> {
    let mut checker = PromiseChecker { site, evidence: &site.evidence, violations: Vec::new() };
    checker.named_adapter();
    checker.serving_adapter_not_unloaded();
    checker.own_complete_answer();
    checker.not_run_is_accurate();
    checker.at_most_once();
    checker.no_new_requests_when_leaving();
    checker.graceful_stop();
    checker.configuration_converges();
    checker.recovery();
    checker.violations
}

struct PromiseChecker<'a> {
    site: &'a FakeSite,
    evidence: &'a Evidence,
    violations: Vec<PromiseViolation>,
}

impl PromiseChecker<'_> {
    fn report_violation(&mut self, promise: Promise, detail: String) {
        self.violations.push(PromiseViolation { promise, detail });
    }

    fn run_counts(&self) -> BTreeMap<RequestId, usize> {
        let mut runs = BTreeMap::new();
        for run in &self.evidence.runs {
            *runs.entry(run.request).or_default() += 1;
        }
        runs
    }

    fn named_adapter(&mut self) {
        let mut details = Vec::new();
        for run in &self.evidence.runs {
            let Some(caller) = self.evidence.callers.get(&run.request) else { continue };
            let named = if caller.adapter.contains('@') {
                run.adapter == caller.adapter
            } else {
                let path = run.adapter.split('@').next().unwrap_or_default();
                let known = ["@1", "@2"].iter().any(|version| run.adapter.ends_with(version));
                path == caller.adapter && (known || path.is_empty())
            };
            if !named {
                details.push(format!("{} ran on {}", caller.adapter, run.adapter));
            }
        }
        for detail in details {
            self.report_violation(Promise::NamedAdapter, detail);
        }
    }

    fn serving_adapter_not_unloaded(&mut self) {
        for request in &self.evidence.interrupted_by_unload {
            let detail = format!("{request:x} was interrupted by an unload");
            self.violations
                .push(PromiseViolation { promise: Promise::ServingAdapterNotUnloaded, detail });
        }
    }

    fn own_complete_answer(&mut self) {
        for request in &self.evidence.misdelivered {
            let detail = format!("{request:x} received the answer to another request");
            self.violations.push(PromiseViolation { promise: Promise::OwnCompleteAnswer, detail });
        }
        let has_completed_run = |request: &RequestId| {
            self.evidence
                .runs
                .iter()
                .any(|run| run.request == *request && run.completed_at.is_some())
        };
        let answered = self
            .evidence
            .callers
            .values()
            .filter(|caller| matches!(caller.outcome, Some((CallerOutcome::Answered, _))));
        let incomplete: Vec<String> = answered
            .filter(|caller| !has_completed_run(&caller.request))
            .map(|caller| format!("{:x} was answered without a completed run", caller.request))
            .collect();
        for detail in incomplete {
            self.report_violation(Promise::OwnCompleteAnswer, detail);
        }
    }

    fn not_run_is_accurate(&mut self) {
        let runs = self.run_counts();
        let details: Vec<String> = self
            .evidence
            .callers
            .values()
            .filter(|caller| matches!(caller.outcome, Some((CallerOutcome::NotRun, _))))
            .filter(|caller| runs.contains_key(&caller.request))
            .map(|caller| {
                format!("{:x} was reported as not run ({:?})", caller.request, caller.refusal)
            })
            .collect();
        for detail in details {
            self.report_violation(Promise::NotRunIsAccurate, detail);
        }
    }

    fn at_most_once(&mut self) {
        let runs = self.run_counts();
        let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
        let mut details = Vec::new();
        for caller in self.evidence.callers.values() {
            let count = runs.get(&caller.request).copied().unwrap_or(0);
            if !caller.repeatable && count > 1 {
                details.push(format!("{:x} ran {count} times", caller.request));
            }
            if let Some(key) = &caller.key {
                *by_key.entry(key).or_default() += count;
            }
        }
        for (key, count) in by_key {
            if count > 1 {
                details.push(format!("key {key} ran {count} times"));
            }
        }
        for detail in details {
            self.report_violation(Promise::AtMostOnce, detail);
        }
    }

    fn no_new_requests_when_leaving(&mut self) {
        for (request, delay) in &self.evidence.received_while_leaving {
            if *delay > LEAVING_GRACE_MS {
                let detail =
                    format!("{request:x} was received {delay} ms after the engine started leaving");
                self.violations
                    .push(PromiseViolation { promise: Promise::NoNewRequestsWhenLeaving, detail });
            }
        }
    }

    fn graceful_stop(&mut self) {
        for request in &self.evidence.interrupted_by_stop {
            let detail = format!("{request:x} was interrupted by a planned stop");
            self.violations.push(PromiseViolation { promise: Promise::GracefulStop, detail });
        }
    }

    fn configuration_converges(&mut self) {
        let mut details = Vec::new();
        let mut last: BTreeMap<(u32, u64), u64> = BTreeMap::new();
        for record in &self.evidence.revision_changes {
            let known = last.insert((record.host, record.generation), record.revision);
            if known.is_some_and(|known| known > record.revision) {
                details.push(format!(
                    "host {} went back to revision {}",
                    record.host, record.revision
                ));
            }
        }
        let newest = self.site.reference.revision();
        let accepted = self.evidence.accepted_at.get(&newest).copied().unwrap_or(0);
        let settled = self.site.now >= accepted + MAX_APPLY_MS;
        let reference = self.site.reference.snapshot();
        for (host, core) in self.site.cores() {
            if settled && core.settings().revision() != newest {
                let revision = core.settings().revision();
                details
                    .push(format!("host {host} applies revision {revision} instead of {newest}"));
            }
            let snapshot = core.settings().snapshot();
            if snapshot.next_offset == reference.next_offset && snapshot.digest != reference.digest
            {
                details.push(format!("host {host} has different settings at the same offset"));
            }
        }
        for host in self.site.hosts.values() {
            let ready = host.core.as_ref().is_some_and(reelreel_core::NodeCore::is_ready);
            if ready && host.last_revision < host.highest_past_revision {
                details.push(format!(
                    "host {} serves with an older revision than before its restart",
                    host.host
                ));
            }
        }
        for detail in details {
            self.report_violation(Promise::ConfigurationConverges, detail);
        }
    }

    fn recovery(&mut self) {
        let end = self.site.now;
        let recovery_deadline = self.evidence.last_fault_end.map_or(0, |at| at + MAX_RECOVERY_MS);
        let mut details = Vec::new();
        let mut final_requests = (0, 0);
        let mut unanswered = Vec::new();
        for caller in self.evidence.callers.values() {
            if caller.disconnected {
                continue;
            }
            let deadline = caller.arrived_at + caller.max_wait_ms + ANSWER_GRACE_MS;
            let started = caller.first_token_at.is_some() || caller.first_run_at.is_some();
            if caller.outcome.is_none() && deadline < end && !started {
                details.push(format!("{:x} never received an outcome", caller.request));
            }
            if caller.arrived_at >= end.saturating_sub(FINAL_REQUESTS_MS).max(recovery_deadline) {
                final_requests.1 += 1;
                let answered = matches!(caller.outcome, Some((CallerOutcome::Answered, _)));
                final_requests.0 += u32::from(answered);
                if !answered {
                    unanswered.push(format!("{:x} {:?}", caller.request, caller.refusal));
                }
            }
        }
        if final_requests.0 * 10 < final_requests.1 * 9 {
            let (answered, all) = final_requests;
            details.push(format!(
                "{answered} of the last {all} requests were answered; not answered: {unanswered:?}"
            ));
        }
        for detail in details {
            self.report_violation(Promise::Recovery, detail);
        }
    }
}
