//! Why a request ended as it did, from its own line and from the lines around it.

use std::{collections::BTreeSet, fmt};

use reelreel_gateway::events::{HostEvent, RequestEvent};

use super::line::{HostLogs, LogLine};

/// How long after a request its load, or the end of its engine, may still explain it. Unit: milliseconds.
const CAUSE_WINDOW_AFTER_MS: u64 = 5000;

/// How long before a request something may have happened that explains it. Unit: milliseconds.
const CAUSE_WINDOW_BEFORE_MS: u64 = 5000;

/// How long after a request another one may be held back under which its engine ended: that takes one engine more. Unit:
/// milliseconds.
const QUARANTINE_WINDOW_MS: u64 = 60_000;

/// What a request's line says.
#[derive(Debug, Clone)]
pub(super) struct RequestLine {
    /// When it ended, by the wall clock. Unit: milliseconds since 1970.
    pub(super) at: u64,
    /// The host that had it.
    pub(super) host: String,
    /// How it ended.
    pub(super) event: RequestEvent,
}

impl RequestLine {
    /// Returns what a line says of a request, if it does.
    pub(super) fn from_log_line(line: &LogLine) -> Option<Self> {
        let HostEvent::Request(event) = &line.event else { return None };
        Some(Self { at: line.at, host: line.host.clone(), event: event.clone() })
    }

    /// Returns when it arrived, by the wall clock. Unit: milliseconds since 1970.
    pub(super) const fn arrived(&self) -> u64 {
        self.at.saturating_sub(self.event.total)
    }

    /// Returns the span of the wall clock in which something may explain it.
    pub(super) const fn cause_window(&self) -> (u64, u64) {
        (self.arrived().saturating_sub(CAUSE_WINDOW_BEFORE_MS), self.at + CAUSE_WINDOW_AFTER_MS)
    }
}

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RequestCause {
    /// It was served in time.
    Served,
    /// It was served late: its stream paused longer than its route wants.
    LateStreamPause,
    /// It was served late after it had been sent more than once.
    LateRetried,
    /// It was served late: it waited for its adapter for longer than its engine then took.
    LateAdapterWait,
    /// It was served late: its engine took most of the time until its first event.
    LateAtEngine,
    /// No configuration was known to the host.
    NoConfiguration,
    /// The configuration has no route for it.
    NoRoute,
    /// The host refused it for another reason before any engine was thought of.
    RejectedOnArrival,
    /// Nobody held the placement lease that its adapter needs.
    NoPlacer,
    /// The order to load its adapter got no answer.
    LoadOrderUnanswered,
    /// Its adapter was loaded, but after it was given up.
    AdapterLoadedLate,
    /// Its adapter was not loaded at all.
    AdapterNotLoaded,
    /// The best engine had too much to read before it, so that it was refused at once.
    QueueTooLong,
    /// Engines promised not to have run it, being full or not ready.
    EnginesRefused,
    /// No engine took work, or none could be reached.
    NoEngine,
    /// The engines that could run it have named limits, and its turn would have come too late.
    RateLimited,
    /// The engines that could run it wanted no requests from its host for a while.
    EnginesInCooldown,
    /// It is held back: engines ended while they ran it.
    Quarantined,
    /// Its engine ended while it ran this request, which is held back since.
    CrashedItsEngine,
    /// Its engine ended while it ran another request, which is held back since.
    EngineCrashedByOther,
    /// Its engine went away.
    EngineGone,
    /// Its engine fell silent or broke off, and stayed listed.
    EngineDisconnected,
    /// Its engine answered with an error of its own.
    EngineError,
    /// Its time ended with an engine at work.
    DeadlineExceeded,
    /// Its client left while it waited for its adapter.
    ClientLeftDuringLoad,
    /// Its client left while an engine had given no first byte.
    ClientLeftBeforeFirstByte,
    /// Its client left in the middle of the answer.
    ClientLeftDuringAnswer,
    /// It ended in a way that this program does not know.
    Unknown,
}

impl fmt::Display for RequestCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Served => "served in time",
            Self::LateStreamPause => "served with a long pause in its stream",
            Self::LateRetried => "served late, sent more than once",
            Self::LateAdapterWait => "served late, most of it spent on its adapter",
            Self::LateAtEngine => "served late, most of it spent at its engine",
            Self::NoConfiguration => "the host knew no configuration",
            Self::NoRoute => "the configuration has no route for it",
            Self::RejectedOnArrival => "refused before any engine was thought of",
            Self::NoPlacer => "nobody held the placement lease",
            Self::LoadOrderUnanswered => "the order to load its adapter got no answer",
            Self::AdapterLoadedLate => "its adapter was loaded too late",
            Self::AdapterNotLoaded => "its adapter was not loaded",
            Self::QueueTooLong => "its engines had too much to read before it",
            Self::EnginesRefused => "its engines were full or not ready",
            Self::NoEngine => "no engine could be reached",
            Self::RateLimited => "its engines take only so many requests, and had named that limit",
            Self::EnginesInCooldown => "its engines had asked its host to send nothing for a while",
            Self::Quarantined => "held back: engines ended while they ran it",
            Self::CrashedItsEngine => "its engine ended under it, as others did",
            Self::EngineCrashedByOther => {
                "its engine ended under another request that is held back since"
            }
            Self::EngineGone => "its engine went away",
            Self::EngineDisconnected => "its engine broke off and stayed listed",
            Self::EngineError => "its engine answered with an error",
            Self::DeadlineExceeded => "its time ended while an engine worked",
            Self::ClientLeftDuringLoad => "its client left while its adapter was loaded",
            Self::ClientLeftBeforeFirstByte => "its client left before the engine's first byte",
            Self::ClientLeftDuringAnswer => "its client left in the middle of the answer",
            Self::Unknown => "an outcome that this program does not know",
        };
        formatter.pad(text)
    }
}

impl RequestCause {
    /// Names the cause from the request's line and the lines around it.
    pub(super) fn classify(request: &RequestLine, logs: &HostLogs) -> Self {
        match &*request.event.outcome {
            "answered" if request.event.late => Self::classify_late(&request.event),
            "answered" => Self::Served,
            "refused_early" if request.event.status == 404 => Self::NoRoute,
            "refused_early" if request.event.revision == 0 => Self::NoConfiguration,
            "refused_early" => Self::RejectedOnArrival,
            "adapter_absent" => Self::classify_adapter_absent(request, logs),
            "queue_too_long" => Self::QueueTooLong,
            "not_run" => Self::EnginesRefused,
            "no_engine" | "unreachable" => Self::NoEngine,
            "limit_used" => Self::RateLimited,
            "engines_cooling" => Self::EnginesInCooldown,
            "held_back" => Self::Quarantined,
            "engine_failed" | "stream_broken" => Self::classify_failure(request, logs),
            "engine_error" => Self::EngineError,
            "time_over" => Self::DeadlineExceeded,
            "client_gone" if request.event.first > 0 || request.event.status > 0 => {
                Self::ClientLeftDuringAnswer
            }
            "client_gone" if request.event.sends == 0 => Self::ClientLeftDuringLoad,
            "client_gone" => Self::ClientLeftBeforeFirstByte,
            _ => Self::Unknown,
        }
    }

    fn classify_failure(request: &RequestLine, logs: &HostLogs) -> Self {
        let marks = marks_at_engine_end(request, logs);
        let quarantined = quarantined_marks(request, logs);
        if request.event.mark.as_ref().is_some_and(|mark| quarantined.contains(mark)) {
            return Self::CrashedItsEngine;
        }
        if marks.iter().any(|mark| quarantined.contains(mark)) {
            return Self::EngineCrashedByOther;
        }
        if !marks.is_empty() || engine_was_removed(request, logs) {
            return Self::EngineGone;
        }
        Self::EngineDisconnected
    }

    fn classify_late(event: &RequestEvent) -> Self {
        let engine_time = event.first.saturating_sub(event.sent);
        if event.pause > engine_time.max(event.waited) {
            Self::LateStreamPause
        } else if event.sends > 1 {
            Self::LateRetried
        } else if event.waited > engine_time {
            Self::LateAdapterWait
        } else {
            Self::LateAtEngine
        }
    }

    fn classify_adapter_absent(request: &RequestLine, logs: &HostLogs) -> Self {
        let (from, until) = request.cause_window();
        let load_answers =
            logs.lines_between(from, until).iter().filter_map(|line| match &line.event {
                HostEvent::Order { kind, key, answer, .. }
                    if kind != "unload" && Some(key) == request.event.key.as_ref() =>
                {
                    Some((line.at, answer.as_str()))
                }
                _ => None,
            });
        let load_answers: Vec<(u64, &str)> = load_answers.collect();
        if load_answers.iter().any(|(_, answer)| matches!(*answer, "Accepted" | "Done")) {
            return Self::AdapterLoadedLate;
        }
        if !load_answers.is_empty() {
            return Self::LoadOrderUnanswered;
        }
        if had_placer(request, logs) { Self::AdapterNotLoaded } else { Self::NoPlacer }
    }
}

/// Returns the marks of the requests that ran at the request's engine when it ended, as any host saw it.
fn marks_at_engine_end(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let (from, until) = request.cause_window();
    let engine_ends = logs.lines_between(from, until).iter().filter_map(|line| match &line.event {
        HostEvent::EngineEnded { engine, marks, .. }
            if Some(engine) == request.event.engine.as_ref() =>
        {
            Some(marks)
        }
        _ => None,
    });
    engine_ends.flatten().cloned().collect()
}

/// Returns the marks that were held back by some time after the request.
fn quarantined_marks(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let quarantined = logs.lines_between(0, request.at + QUARANTINE_WINDOW_MS).iter();
    let quarantined = quarantined.filter_map(|line| match &line.event {
        HostEvent::RequestHeld { mark, .. } => Some(mark.clone()),
        _ => None,
    });
    quarantined.collect()
}

fn engine_was_removed(request: &RequestLine, logs: &HostLogs) -> bool {
    let (from, until) = request.cause_window();
    logs.lines_between(from, until).iter().any(|line| match &line.event {
        HostEvent::EngineGone { engine } => Some(engine) == request.event.engine.as_ref(),
        _ => false,
    })
}

/// Returns whether any host held a placement lease and gave orders around the request.
fn had_placer(request: &RequestLine, logs: &HostLogs) -> bool {
    let (from, until) = request.cause_window();
    let mut nearby_lines = logs.lines_between(from, until).iter();
    if nearby_lines.any(|line| matches!(line.event, HostEvent::Order { .. })) {
        return true;
    }
    let mut acting_hosts = std::collections::HashSet::new();
    for line in logs.lines_between(0, request.at) {
        if let HostEvent::Lease { state, .. } = &line.event {
            if state == "acting" {
                acting_hosts.insert(&line.host);
            } else {
                acting_hosts.remove(&line.host);
            }
        }
    }
    !acting_hosts.is_empty()
}
