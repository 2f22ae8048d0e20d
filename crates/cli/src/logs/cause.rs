//! Why a request ended as it did, from its own line and from the lines around it.

use std::{collections::BTreeSet, fmt};

use reelreel_gateway::events::{HostEvent, RequestEvent};

use super::line::{HostLogs, LogLine};

/// How long after a request its load, or the end of its engine, may still explain it. Unit: milliseconds.
const AFTER: u64 = 5000;

/// How long before a request something may have happened that explains it. Unit: milliseconds.
const BEFORE: u64 = 5000;

/// How long after a request another one may be held back under which its engine ended: that takes one engine more. Unit:
/// milliseconds.
const HELD_AFTER: u64 = 60_000;

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
    pub(super) fn of(line: &LogLine) -> Option<Self> {
        let HostEvent::Request(event) = &line.event else { return None };
        Some(Self { at: line.at, host: line.host.clone(), event: event.clone() })
    }

    /// Returns when it arrived, by the wall clock. Unit: milliseconds since 1970.
    pub(super) const fn arrived(&self) -> u64 {
        self.at.saturating_sub(self.event.total)
    }

    /// Returns the span of the wall clock in which something may explain it.
    pub(super) const fn span(&self) -> (u64, u64) {
        (self.arrived().saturating_sub(BEFORE), self.at + AFTER)
    }
}

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RequestCause {
    /// It was served in time.
    Served,
    /// It was served late: its stream paused longer than its route wants.
    LatePause,
    /// It was served late after it had been sent more than once.
    LateResent,
    /// It was served late: it waited for its adapter for longer than its engine then took.
    LateWaiting,
    /// It was served late: its engine took most of the time until its first event.
    LateReading,
    /// No configuration was known to the host.
    NoConfiguration,
    /// The configuration has no route for it.
    NoRoute,
    /// The host refused it for another reason before any engine was thought of.
    RefusedEarly,
    /// Nobody held the placement lease that its adapter needs.
    NoPlacer,
    /// The order to load its adapter got no answer.
    LoadOrderLost,
    /// Its adapter was loaded, but after it was given up.
    LoadedLate,
    /// Its adapter was not loaded at all.
    NeverLoaded,
    /// The best engine had too much to read before it, so that it was refused at once.
    QueueTooLong,
    /// Engines promised not to have run it, being full or not ready.
    EnginesRefused,
    /// No engine took work, or none could be reached.
    NoEngine,
    /// The engines that could run it have named limits, and its turn would have come too late.
    LimitUsed,
    /// The engines that could run it wanted no requests from its host for a while.
    EnginesCooling,
    /// It is held back: engines ended while they ran it.
    HeldBack,
    /// Its engine ended while it ran this request, which is held back since.
    EndedUnder,
    /// Its engine ended while it ran another request, which is held back since.
    EndedBeside,
    /// Its engine went away.
    EngineGone,
    /// Its engine fell silent or broke off, and stayed listed.
    EngineBrokeOff,
    /// Its engine answered with an error of its own.
    EngineError,
    /// Its time ended with an engine at work.
    TimeOver,
    /// Its client left while it waited for its adapter.
    LeftWaiting,
    /// Its client left while an engine had given no first byte.
    LeftQueued,
    /// Its client left in the middle of the answer.
    LeftMidway,
    /// It ended in a way that this program does not know.
    Unknown,
}

impl fmt::Display for RequestCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Served => "served in time",
            Self::LatePause => "served with a long pause in its stream",
            Self::LateResent => "served late, sent more than once",
            Self::LateWaiting => "served late, most of it spent on its adapter",
            Self::LateReading => "served late, most of it spent at its engine",
            Self::NoConfiguration => "the host knew no configuration",
            Self::NoRoute => "the configuration has no route for it",
            Self::RefusedEarly => "refused before any engine was thought of",
            Self::NoPlacer => "nobody held the placement lease",
            Self::LoadOrderLost => "the order to load its adapter got no answer",
            Self::LoadedLate => "its adapter was loaded too late",
            Self::NeverLoaded => "its adapter was not loaded",
            Self::QueueTooLong => "its engines had too much to read before it",
            Self::EnginesRefused => "its engines were full or not ready",
            Self::NoEngine => "no engine could be reached",
            Self::LimitUsed => "its engines take only so many requests, and had named that limit",
            Self::EnginesCooling => "its engines had asked its host to send nothing for a while",
            Self::HeldBack => "held back: engines ended while they ran it",
            Self::EndedUnder => "its engine ended under it, as others did",
            Self::EndedBeside => "its engine ended under another request that is held back since",
            Self::EngineGone => "its engine went away",
            Self::EngineBrokeOff => "its engine broke off and stayed listed",
            Self::EngineError => "its engine answered with an error",
            Self::TimeOver => "its time ended while an engine worked",
            Self::LeftWaiting => "its client left while its adapter was loaded",
            Self::LeftQueued => "its client left before the engine's first byte",
            Self::LeftMidway => "its client left in the middle of the answer",
            Self::Unknown => "an outcome that this program does not know",
        };
        formatter.pad(text)
    }
}

impl RequestCause {
    /// Names the cause from the request's line and the lines around it.
    pub(super) fn of(request: &RequestLine, logs: &HostLogs) -> Self {
        match &*request.event.outcome {
            "answered" if request.event.late => Self::of_lateness(&request.event),
            "answered" => Self::Served,
            "refused_early" if request.event.status == 404 => Self::NoRoute,
            "refused_early" if request.event.revision == 0 => Self::NoConfiguration,
            "refused_early" => Self::RefusedEarly,
            "adapter_absent" => Self::of_absence(request, logs),
            "queue_too_long" => Self::QueueTooLong,
            "not_run" => Self::EnginesRefused,
            "no_engine" | "unreachable" => Self::NoEngine,
            "limit_used" => Self::LimitUsed,
            "engines_cooling" => Self::EnginesCooling,
            "held_back" => Self::HeldBack,
            "engine_failed" | "stream_broken" => Self::of_failure(request, logs),
            "engine_error" => Self::EngineError,
            "time_over" => Self::TimeOver,
            "client_gone" if request.event.first > 0 || request.event.status > 0 => {
                Self::LeftMidway
            }
            "client_gone" if request.event.sends == 0 => Self::LeftWaiting,
            "client_gone" => Self::LeftQueued,
            _ => Self::Unknown,
        }
    }

    fn of_failure(request: &RequestLine, logs: &HostLogs) -> Self {
        let marks = marks_at_the_end(request, logs);
        let held = held_marks(request, logs);
        if request.event.mark.as_ref().is_some_and(|own| held.contains(own)) {
            return Self::EndedUnder;
        }
        if marks.iter().any(|mark| held.contains(mark)) {
            return Self::EndedBeside;
        }
        if !marks.is_empty() || engine_went(request, logs) {
            return Self::EngineGone;
        }
        Self::EngineBrokeOff
    }

    fn of_lateness(event: &RequestEvent) -> Self {
        let at_engine = event.first.saturating_sub(event.sent);
        if event.pause > at_engine.max(event.waited) {
            Self::LatePause
        } else if event.sends > 1 {
            Self::LateResent
        } else if event.waited > at_engine {
            Self::LateWaiting
        } else {
            Self::LateReading
        }
    }

    fn of_absence(request: &RequestLine, logs: &HostLogs) -> Self {
        let (from, until) = request.span();
        let loads = logs.between(from, until).iter().filter_map(|line| match &line.event {
            HostEvent::Order { kind, key, answer, .. }
                if kind != "unload" && Some(key) == request.event.key.as_ref() =>
            {
                Some((line.at, answer.as_str()))
            }
            _ => None,
        });
        let loads: Vec<(u64, &str)> = loads.collect();
        if loads.iter().any(|(_, answer)| matches!(*answer, "Accepted" | "Done")) {
            return Self::LoadedLate;
        }
        if !loads.is_empty() {
            return Self::LoadOrderLost;
        }
        if has_placer(request, logs) { Self::NeverLoaded } else { Self::NoPlacer }
    }
}

/// Returns the marks of the requests that ran at the request's engine when it ended, as any host saw it.
fn marks_at_the_end(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let (from, until) = request.span();
    let ends = logs.between(from, until).iter().filter_map(|line| match &line.event {
        HostEvent::EngineEnded { engine, marks, .. }
            if Some(engine) == request.event.engine.as_ref() =>
        {
            Some(marks)
        }
        _ => None,
    });
    ends.flatten().cloned().collect()
}

/// Returns the marks that were held back by some time after the request.
fn held_marks(request: &RequestLine, logs: &HostLogs) -> BTreeSet<String> {
    let held = logs.between(0, request.at + HELD_AFTER).iter();
    let held = held.filter_map(|line| match &line.event {
        HostEvent::RequestHeld { mark, .. } => Some(mark.clone()),
        _ => None,
    });
    held.collect()
}

fn engine_went(request: &RequestLine, logs: &HostLogs) -> bool {
    let (from, until) = request.span();
    logs.between(from, until).iter().any(|line| match &line.event {
        HostEvent::EngineGone { engine } => Some(engine) == request.event.engine.as_ref(),
        _ => false,
    })
}

/// Returns whether any host held a placement lease and gave orders around the request.
fn has_placer(request: &RequestLine, logs: &HostLogs) -> bool {
    let (from, until) = request.span();
    let mut around = logs.between(from, until).iter();
    if around.any(|line| matches!(line.event, HostEvent::Order { .. })) {
        return true;
    }
    let mut acting = std::collections::HashSet::new();
    for line in logs.between(0, request.at) {
        if let HostEvent::Lease { state, .. } = &line.event {
            if state == "acting" {
                acting.insert(&line.host);
            } else {
                acting.remove(&line.host);
            }
        }
    }
    !acting.is_empty()
}
