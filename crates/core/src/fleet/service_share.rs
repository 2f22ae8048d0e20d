//! One host's share of the limits of plain services: what it reports and what it admits.
//!
//! A host admits the published fraction of its own arrivals, so that its share of the rate follows
//! its arrivals, and a share that it does not use is available to all with the next publication.
//! Without a published limit, because nothing is short or the coordinator is unreachable, the host
//! decides by itself ([`crate::fleet::admission`]). It reports only while something is short: after a
//! slow answer, a refusal by a full server, or a published limit.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::{ClockMillis, duration_millis},
    fleet::{
        ServiceName,
        admission::AdmissionSignal,
        service_limit::{LoadSums, PublishedLimit},
    },
};

/// Time after which a limit that is not published again ends, and the host decides by itself. Outlasts
/// one lost publication at the longest interval, some 500 ms at 370 hosts.
pub const LIMIT_EXPIRY: Duration = Duration::from_secs(1);

/// Fraction of the latency target beyond which an answer makes a host report.
const SLOW_ANSWER_FRACTION: f64 = 0.5;

/// Time for which a host reports after a slow answer or a refusal by a full server.
const REPORT_DURATION: Duration = Duration::from_secs(2);

/// Minimum time between two reports or publications.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval for each host, where that is more. At 370 hosts it is 518 ms: the coordinator gets 714 reports
/// of some 74 bytes per second and sends as many publications of some 61 bytes.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_micros(1400);

/// Divides the remaining time of a request to get its maximum retry time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Retry times are rounded down to this unit, in which clients are told, so that rounding does not exceed
/// the maximum.
const RETRY_AFTER_UNIT_MILLIS: u64 = 10;

/// Returns the interval of reports and publications in a fleet of `hosts` hosts.
pub fn report_interval(hosts: u32) -> Duration {
    (REPORT_INTERVAL_PER_HOST * hosts).max(MIN_REPORT_INTERVAL)
}

/// Decision about a request to a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareDecision {
    /// Admitted.
    Admitted,
    /// Refused, with the fraction that is admitted.
    Refused(f64),
    /// No limit is published: the host decides by itself.
    NoLimit,
}

/// A host's report of its requests to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The service.
    pub service: ServiceName,
    /// Requests since the last report.
    pub sums: LoadSums,
    /// Admitted requests without a final response.
    pub open: u32,
    /// Whether this host has lately observed that the service is short of capacity. Other reports only
    /// complete the sums.
    pub short: bool,
}

/// This host's share of one service.
#[derive(Debug, Clone, Default)]
struct ServiceShare {
    sums: LoadSums,
    open: u32,
    /// The open requests in the last report.
    reported_open: u32,
    reported_at: ClockMillis,
    /// Until when the host counts the service as short of capacity by its own answers.
    short_until: ClockMillis,
    limit: Option<(PublishedLimit, ClockMillis)>,
    /// Accumulated fractions of new and of returning clients' requests; one request is admitted for
    /// each whole unit.
    credits: [f64; 2],
}

impl ServiceShare {
    fn limit(&self, now: ClockMillis) -> Option<PublishedLimit> {
        let (limit, published) = self.limit?;
        (now.since(published) < LIMIT_EXPIRY).then_some(limit)
    }

    fn try_admit(&mut self, returning: bool, now: ClockMillis) -> ShareDecision {
        let Some(limit) = self.limit(now).filter(|limit| limit.measured) else {
            return ShareDecision::NoLimit;
        };
        let fraction = limit.admitted_fraction(returning);
        if fraction >= 1.0 {
            return ShareDecision::Admitted;
        }
        let credit = &mut self.credits[usize::from(returning)];
        *credit += fraction;
        // Tolerates rounding errors in the sum of fractions.
        if *credit < 0.999 {
            return ShareDecision::Refused(fraction);
        }
        *credit -= 1.0;
        ShareDecision::Admitted
    }

    fn reports(&self, now: ClockMillis) -> bool {
        now < self.short_until || self.limit(now).is_some()
    }

    /// Drops what was counted while the host did not report.
    fn begin_report(&mut self, now: ClockMillis) {
        if !self.reports(now) {
            self.sums = LoadSums::default();
        }
    }

    fn has_changes(&self) -> bool {
        self.sums != LoadSums::default() || self.open != self.reported_open
    }
}

/// This host's shares of all plain services.
#[derive(Debug, Clone, Default)]
pub struct ServiceShares {
    services: BTreeMap<ServiceName, ServiceShare>,
}

impl ServiceShares {
    /// Decides whether the next request is admitted, and counts its arrival; `returning` tells whether
    /// its client was refused before.
    pub fn try_admit(
        &mut self,
        service: &ServiceName,
        returning: bool,
        now: ClockMillis,
    ) -> ShareDecision {
        let share = self.services.entry(service.clone()).or_default();
        share.sums.arrivals = share.sums.arrivals.saturating_add(1);
        share.sums.returning += u32::from(returning);
        share.try_admit(returning, now)
    }

    /// Counts an admitted request as open until [`ServiceShares::record_end`].
    pub fn record_admitted(&mut self, service: &ServiceName) {
        let share = self.services.entry(service.clone()).or_default();
        share.sums.admitted = share.sums.admitted.saturating_add(1);
        share.open += 1;
    }

    /// Counts an admitted request as ended.
    pub fn record_end(&mut self, service: &str) {
        if let Some(share) = self.services.get_mut(service) {
            share.open = share.open.saturating_sub(1);
        }
    }

    /// Records the outcome of a send; returns whether the host begins to report.
    pub fn record_signal(
        &mut self,
        service: &ServiceName,
        signal: AdmissionSignal,
        latency_target: Duration,
        now: ClockMillis,
    ) -> bool {
        let share = self.services.entry(service.clone()).or_default();
        let is_slow = match signal {
            AdmissionSignal::Answered(delay) => {
                delay > latency_target.mul_f64(SLOW_ANSWER_FRACTION)
            }
            AdmissionSignal::ServerFull => true,
        };
        let begins = is_slow && !share.reports(now);
        if is_slow {
            share.begin_report(now);
            share.short_until = now + REPORT_DURATION;
        }
        match signal {
            AdmissionSignal::Answered(delay) => {
                share.sums.answered = share.sums.answered.saturating_add(1);
                share.sums.late += u32::from(delay > latency_target);
            }
            AdmissionSignal::ServerFull => share.sums.full = share.sums.full.saturating_add(1),
        }
        begins
    }

    /// Returns the reports that are due in a fleet of `hosts` hosts, and starts new sums.
    pub fn take_reports(&mut self, hosts: u32, now: ClockMillis) -> Vec<LoadReport> {
        let interval = report_interval(hosts);
        let due = self.services.iter_mut().filter(|(_, share)| {
            share.reports(now) && share.has_changes() && now.since(share.reported_at) >= interval
        });
        let reports = due.map(|(service, share)| {
            share.reported_at = now;
            share.reported_open = share.open;
            let sums = std::mem::take(&mut share.sums);
            let short = now < share.short_until;
            LoadReport { service: service.clone(), sums, open: share.open, short }
        });
        reports.collect()
    }

    /// Returns when the next report is due in a fleet of `hosts` hosts.
    pub fn next_report(&self, hosts: u32, now: ClockMillis) -> Option<ClockMillis> {
        let due = self.services.values().filter(|share| share.reports(now) && share.has_changes());
        due.map(|share| share.reported_at + report_interval(hosts)).min()
    }

    /// Takes back a report that was not sent.
    pub fn restore(&mut self, report: &LoadReport) {
        if let Some(share) = self.services.get_mut(&report.service) {
            share.sums += report.sums;
        }
    }

    /// Marks the open requests as unreported, because another host has become the coordinator.
    pub fn resend_all(&mut self) {
        for share in self.services.values_mut() {
            share.reported_open = u32::MAX;
        }
    }

    /// Applies a published limit; `None` ends it.
    pub fn apply_limit(
        &mut self,
        service: &ServiceName,
        limit: Option<PublishedLimit>,
        now: ClockMillis,
    ) {
        let share = self.services.entry(service.clone()).or_default();
        share.begin_report(now);
        share.limit = limit.map(|limit| (limit, now));
    }

    /// Returns whether a limit of a service is published.
    pub fn is_limited(&self, service: &str, now: ClockMillis) -> bool {
        self.services.get(service).is_some_and(|share| share.limit(now).is_some())
    }

    /// Returns the published limit of each service, if it has one.
    pub fn limits(
        &self,
        now: ClockMillis,
    ) -> impl Iterator<Item = (&ServiceName, Option<PublishedLimit>)> {
        self.services.iter().map(move |(service, share)| (service, share.limit(now)))
    }
}

/// Returns after what time a refused client should retry, of whose requests `fraction` are admitted
/// and one of which has `remaining` time left.
///
/// The next publication, one `interval` away, may admit more; the smaller the fraction, the more
/// clients wait for it. `spread`, from 0 to 1, distributes the clients over that time.
pub fn spread_retry_after(
    fraction: f64,
    interval: Duration,
    remaining: Duration,
    spread: f64,
) -> Duration {
    let max_wait = remaining / RETRY_AFTER_DIVISOR;
    let expected = interval.div_f64(fraction.clamp(0.05, 1.0));
    let longest = (expected * 2).min(max_wait);
    let shortest = expected.min(longest) / 2;
    let time = shortest + longest.saturating_sub(shortest).mul_f64(spread.clamp(0.0, 1.0));
    Duration::from_millis(duration_millis(time) / RETRY_AFTER_UNIT_MILLIS * RETRY_AFTER_UNIT_MILLIS)
}
