//! Classifies why a request ended as it did, from its own log line and the lines logged around it.

use std::{collections::BTreeSet, fmt};

use reelreel_gateway::events::{HostEvent, RequestEvent};

use super::{
    line::{HostLogs, LogLine},
    resume::describe_resume_failure,
};

/// How long after a request ended a load or an engine end may still explain it.
const CAUSE_WINDOW_AFTER_MS: u64 = 5000;

/// How long before a request arrived an event may explain it.
const CAUSE_WINDOW_BEFORE_MS: u64 = 5000;

/// How long after a request ended a quarantine may still explain it.
///
/// A request is quarantined only after it has ended another engine, so this window is longer.
const QUARANTINE_WINDOW_MS: u64 = 60_000;

/// Outcomes that a cut of the host's links can have.
const FAILURES_OF_LINKS: &[&str] = &[
    "no_engine",
    "unreachable",
    "adapter_absent",
    "queue_too_long",
    "engine_failed",
    "stream_broken",
    "time_over",
];

/// Logged cause of streams that their routes do not allow to be resumed.
const NOT_RESUMABLE: &str = "not_resumable";

/// How long before a host knows that it is isolated its requests may fail for that.
const ISOLATION_DETECTION_MS: u64 = 2000;

/// A request's log line.
#[derive(Debug, Clone)]
pub(super) struct RequestLine {
    /// Wall-clock time at which the request ended. Unit: milliseconds since 1970.
    pub(super) at: u64,
    /// Host that logged the request.
    pub(super) host: String,
    /// The logged event.
    pub(super) event: RequestEvent,
}

impl RequestLine {
    /// Returns the request that a line logs, or `None` for another event.
    pub(super) fn from_log_line(line: &LogLine) -> Option<Self> {
        let HostEvent::Request(event) = &line.event else { return None };
        Some(Self { at: line.at, host: line.host.clone(), event: RequestEvent::clone(event) })
    }

    /// Returns the wall-clock time of arrival. Unit: milliseconds since 1970.
    pub(super) const fn arrived(&self) -> u64 {
        self.at.saturating_sub(self.event.total)
    }

    /// Returns the first and last wall-clock time at which an event may explain the request.
    pub(super) const fn cause_window(&self) -> (u64, u64) {
        (self.arrived().saturating_sub(CAUSE_WINDOW_BEFORE_MS), self.at + CAUSE_WINDOW_AFTER_MS)
    }
}

/// The cause of a request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RequestCause {
    /// Served within its target.
    Served,
    /// Served late: the stream paused for longer than the route's target.
    LateStreamPause,
    /// Served late after at least one retry.
    LateRetried,
    /// Served late: the wait for the adapter took longer than the engine.
    LateAdapterWait,
    /// Served late: the engine took most of the time until the first event.
    LateAtEngine,
    /// The host had no configuration.
    NoConfiguration,
    /// No route of the configuration matches the request.
    NoRoute,
    /// The host refused the request before engine selection, for any other reason.
    RejectedOnArrival,
    /// No host held the placement lease that loading the adapter needs.
    NoPlacer,
    /// The order to load the adapter got no answer.
    LoadOrderUnanswered,
    /// The adapter was loaded after the request had been given up.
    AdapterLoadedLate,
    /// The adapter was not loaded.
    AdapterNotLoaded,
    /// The best engine had too many prompt tokens queued, so the request was refused on arrival.
    QueueTooLong,
    /// Engines rejected the request without running it because they were full or not ready.
    EnginesRefused,
    /// No engine accepted requests, or none was reachable.
    NoEngine,
    /// The host was cut off from all engines.
    HostIsolated,
    /// The rate limits of the engines left no permit before the deadline.
    RateLimited,
    /// The engines were in a cooldown that they had requested of this host.
    EnginesInCooldown,
    /// The request is quarantined because engines ended while they ran it.
    Quarantined,
    /// The request is quarantined because engines ended while they ran requests with a part of its
    /// prompt.
    PartQuarantined,
    /// The engine ended while it ran this request, which was quarantined for that.
    CrashedItsEngine,
    /// The engine ended while it also ran another request, which was quarantined for that.
    EngineCrashedByOther,
    /// The stream was interrupted and could not be resumed, with the logged cause.
    NotResumed(String),
    /// The engine ended or left the host list.
    EngineGone,
    /// The engine stopped responding or closed the connection, and stayed listed.
    EngineDisconnected,
    /// The engine returned an error.
    EngineError,
    /// The deadline passed while an engine ran the request.
    DeadlineExceeded,
    /// The client disconnected while the request waited for its adapter.
    ClientLeftDuringLoad,
    /// The client disconnected before the engine's first byte.
    ClientLeftBeforeFirstByte,
    /// The client disconnected during the answer.
    ClientLeftDuringAnswer,
    /// A plain service was asked for more than it carries.
    ServiceFull,
    /// Capacity was short, and only more urgent requests were admitted.
    LessUrgent,
    /// Capacity was short, and the organisation used more than its fair share.
    AboveFairShare,
    /// The organisation's quota was used up.
    OverQuota,
    /// The key belongs to no organisation.
    KeyRefused,
    /// The host could not tell whether the key still holds.
    KeysInDoubt,
    /// The host had no memory for the request's body.
    NoBodyMemory,
    /// The client did not read its stream.
    ClientSlow,
    /// Refused by a decision that this version does not know, with the outcome.
    UnknownRefusal(String),
    /// An outcome that this version does not know.
    Unknown(String),
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
            Self::HostIsolated => "its host was cut off from all engines",
            Self::RateLimited => "its engines take only so many requests, and had named that limit",
            Self::EnginesInCooldown => "its engines had asked its host to send nothing for a while",
            Self::Quarantined => "held back: engines ended while they ran it",
            Self::PartQuarantined => {
                "held back: engines ended while they ran requests with a part of its prompt"
            }
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
            Self::ServiceFull => "its plain service was asked for more than it carries",
            Self::LessUrgent => "capacity was short, and others were more urgent",
            Self::AboveFairShare => {
                "capacity was short, and its organisation had used its fair share"
            }
            Self::OverQuota => "its organisation's quota was used up",
            Self::KeyRefused => "its key belongs to no organisation",
            Self::KeysInDoubt => "its host could not tell whether its key still holds",
            Self::NoBodyMemory => "its host held too many bodies",
            Self::ClientSlow => "its client did not read its answer",
            Self::NotResumed(cause) => {
                let reason = describe_resume_failure(cause);
                return formatter
                    .pad(&format!("its stream broke off and was not resumed: {reason}"));
            }
            Self::UnknownRefusal(outcome) => {
                return formatter.pad(&format!(
                    "refused by a decision that this program does not know: {outcome}"
                ));
            }
            Self::Unknown(outcome) => {
                return formatter
                    .pad(&format!("an outcome that this program does not know: {outcome}"));
            }
        };
        formatter.pad(text)
    }
}

impl RequestCause {
    /// Determines the cause from the request's line and the lines logged around it.
    pub(super) fn classify(request: &RequestLine, logs: &HostLogs) -> Self {
        match &*request.event.outcome {
            "isolated" => Self::HostIsolated,
            outcome if FAILURES_OF_LINKS.contains(&outcome) && host_was_isolated(request, logs) => {
                Self::HostIsolated
            }
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
            "held_back" if request.event.held_by == request.event.mark => Self::Quarantined,
            "held_back" if request.event.held_by.is_some() => Self::PartQuarantined,
            "held_back" => Self::Quarantined,
            "engine_failed" | "stream_broken" => Self::classify_failure(request, logs),
            "engine_error" => Self::EngineError,
            "time_over" => Self::DeadlineExceeded,
            "client_gone" if request.event.first > 0 || request.event.status > 0 => {
                Self::ClientLeftDuringAnswer
            }
            "client_gone" if request.event.sends == 0 => Self::ClientLeftDuringLoad,
            "client_gone" => Self::ClientLeftBeforeFirstByte,
            "service_full" => Self::ServiceFull,
            "priority_level" => Self::LessUrgent,
            "fair_share" => Self::AboveFairShare,
            "quota_used_up" => Self::OverQuota,
            "key_refused" => Self::KeyRefused,
            "keys_in_doubt" => Self::KeysInDoubt,
            "buffers_full" => Self::NoBodyMemory,
            "client_slow" => Self::ClientSlow,
            outcome if matches!(request.event.status, 429 | 503) => {
                Self::UnknownRefusal(outcome.to_owned())
            }
            outcome => Self::Unknown(outcome.to_owned()),
        }
    }

    fn classify_failure(request: &RequestLine, logs: &HostLogs) -> Self {
        let marks = marks_at_engine_end(request, logs);
        let quarantined = quarantined_marks(request, logs);
        // A part crashes an engine before the first event.
        let is_suspect = |mark| quarantined.contains(mark);
        let has_suspect_part =
            request.event.first == 0 && request.event.parts.iter().any(is_suspect);
        if has_suspect_part || request.event.mark.as_ref().is_some_and(is_suspect) {
            return Self::CrashedItsEngine;
        }
        if marks.iter().any(is_suspect) {
            return Self::EngineCrashedByOther;
        }
        let not_resumed = request.event.not_resumed.as_deref();
        if let Some(cause) = not_resumed.filter(|cause| *cause != NOT_RESUMABLE) {
            return Self::NotResumed(cause.to_owned());
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

/// Returns the marks of the requests that the request's engine ran when it ended, and of the prompt
/// parts of those without an event, as logged by any host.
fn marks_at_engine_end(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let (from, until) = request.cause_window();
    let engine_ends = logs.lines_between(from, until).iter().filter_map(|line| match &line.event {
        HostEvent::EngineEnded { engine, marks, parts, .. }
            if Some(engine) == request.event.engine.as_ref() =>
        {
            let waiting_parts = parts.iter().filter(|part| part.waiting > 0);
            Some(marks.iter().chain(waiting_parts.map(|part| &part.part)))
        }
        _ => None,
    });
    engine_ends.flatten().cloned().collect()
}

/// Returns the marks of requests and prompt parts quarantined up to the end of the quarantine window.
fn quarantined_marks(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let quarantined = logs.lines_between(0, request.at + QUARANTINE_WINDOW_MS).iter();
    let quarantined = quarantined.filter_map(|line| match &line.event {
        HostEvent::RequestHeld { mark, .. } => Some(mark.clone()),
        _ => None,
    });
    quarantined.collect()
}

/// Returns whether the request's host was isolated while it had the request, and sent it through no
/// other host.
fn host_was_isolated(request: &RequestLine, logs: &HostLogs) -> bool {
    if request.event.tunnel.is_some() {
        return false;
    }
    let states = logs.lines_between(0, request.at + ISOLATION_DETECTION_MS).iter();
    let states =
        states.filter(|line| line.host == request.host).filter_map(|line| match &line.event {
            HostEvent::Links { state, .. } => Some((line.at, &**state == "isolated")),
            _ => None,
        });
    let mut was_isolated = false;
    for (at, isolated) in states {
        was_isolated = isolated || (was_isolated && at > request.arrived());
    }
    was_isolated
}

fn engine_was_removed(request: &RequestLine, logs: &HostLogs) -> bool {
    let (from, until) = request.cause_window();
    logs.lines_between(from, until).iter().any(|line| match &line.event {
        HostEvent::EngineGone { engine } => Some(engine) == request.event.engine.as_ref(),
        _ => false,
    })
}

/// Returns whether any host gave orders around the request, or held a placement lease when it ended.
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
