//! Why a request ended as it did, from its own line and from the lines around it.

use std::fmt;

use reelreel_gateway::events::MachineEvent;

use super::line::{LogLine, MachineLogs};

/// How long after a request its load, or the end of its engine, may still explain it. Unit: milliseconds.
const AFTER: u64 = 5000;

/// How long before a request something may have happened that explains it. Unit: milliseconds.
const BEFORE: u64 = 5000;

/// What a request's line says.
#[derive(Debug, Clone)]
pub(super) struct RequestLine {
    /// When it ended, by the wall clock. Unit: milliseconds since 1970.
    pub(super) at: u64,
    /// The machine that had it.
    pub(super) machine: String,
    /// Its id.
    pub(super) id: String,
    /// Its route.
    pub(super) route: String,
    /// How it ended.
    pub(super) outcome: String,
    /// The status that its client got; zero for none.
    pub(super) status: u16,
    /// What it named.
    pub(super) key: Option<String>,
    /// The last engine that it was sent to.
    pub(super) engine: Option<String>,
    /// To how many engines it was sent.
    pub(super) sends: u32,
    /// How long it waited for its adapter. Unit: milliseconds.
    pub(super) waited: u64,
    /// When its first byte went out. Unit: milliseconds after its arrival.
    pub(super) first: u64,
    /// When it ended. Unit: milliseconds after its arrival.
    pub(super) total: u64,
    /// The configuration that decided its route.
    pub(super) revision: u64,
}

impl RequestLine {
    /// Returns what a line says of a request, if it does.
    pub(super) fn of(line: &LogLine) -> Option<Self> {
        let MachineEvent::Request {
            id,
            route,
            outcome,
            status,
            key,
            engine,
            sends,
            waited,
            first,
            total,
            revision,
        } = line.event.clone()
        else {
            return None;
        };
        let (at, machine, outcome) = (line.at, line.machine.clone(), outcome.into_owned());
        Some(Self {
            at,
            machine,
            id,
            route,
            outcome,
            status,
            key,
            engine,
            sends,
            waited,
            first,
            total,
            revision,
        })
    }

    /// Returns when it arrived, by the wall clock. Unit: milliseconds since 1970.
    pub(super) const fn arrived(&self) -> u64 {
        self.at.saturating_sub(self.total)
    }

    /// Returns the span of the wall clock in which something may explain it.
    pub(super) const fn span(&self) -> (u64, u64) {
        (self.arrived().saturating_sub(BEFORE), self.at + AFTER)
    }
}

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RequestCause {
    /// It was served.
    Served,
    /// No configuration was known to the machine.
    NoConfiguration,
    /// The configuration has no route for it.
    NoRoute,
    /// The machine refused it for another reason before any engine was thought of.
    RefusedEarly,
    /// Nobody held the placement lease that its adapter needs.
    NoPlacer,
    /// The order to load its adapter got no answer.
    LoadOrderLost,
    /// Its adapter was loaded, but after it was given up.
    LoadedLate,
    /// Its adapter was not loaded at all.
    NeverLoaded,
    /// Engines promised not to have run it, being full or not ready.
    EnginesRefused,
    /// No engine took work, or none could be reached.
    NoEngine,
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
            Self::Served => "served",
            Self::NoConfiguration => "the machine knew no configuration",
            Self::NoRoute => "the configuration has no route for it",
            Self::RefusedEarly => "refused before any engine was thought of",
            Self::NoPlacer => "nobody held the placement lease",
            Self::LoadOrderLost => "the order to load its adapter got no answer",
            Self::LoadedLate => "its adapter was loaded too late",
            Self::NeverLoaded => "its adapter was not loaded",
            Self::EnginesRefused => "its engines were full or not ready",
            Self::NoEngine => "no engine could be reached",
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
    pub(super) fn of(request: &RequestLine, logs: &MachineLogs) -> Self {
        match request.outcome.as_str() {
            "answered" => Self::Served,
            "refused_early" if request.status == 404 => Self::NoRoute,
            "refused_early" if request.revision == 0 => Self::NoConfiguration,
            "refused_early" => Self::RefusedEarly,
            "adapter_absent" => Self::of_absence(request, logs),
            "not_run" => Self::EnginesRefused,
            "no_engine" | "unreachable" => Self::NoEngine,
            "engine_failed" | "stream_broken" if engine_went(request, logs) => Self::EngineGone,
            "engine_failed" | "stream_broken" => Self::EngineBrokeOff,
            "engine_error" => Self::EngineError,
            "time_over" => Self::TimeOver,
            "client_gone" if request.first > 0 || request.status > 0 => Self::LeftMidway,
            "client_gone" if request.sends == 0 => Self::LeftWaiting,
            "client_gone" => Self::LeftQueued,
            _ => Self::Unknown,
        }
    }

    fn of_absence(request: &RequestLine, logs: &MachineLogs) -> Self {
        let (from, until) = request.span();
        let loads = logs.between(from, until).iter().filter_map(|line| match &line.event {
            MachineEvent::Order { kind, key, answer, .. }
                if kind != "unload" && Some(key) == request.key.as_ref() =>
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

fn engine_went(request: &RequestLine, logs: &MachineLogs) -> bool {
    let (from, until) = request.span();
    logs.between(from, until).iter().any(|line| match &line.event {
        MachineEvent::EngineGone { engine } => Some(engine) == request.engine.as_ref(),
        _ => false,
    })
}

/// Returns whether any machine held a placement lease and gave orders around the request.
fn has_placer(request: &RequestLine, logs: &MachineLogs) -> bool {
    let (from, until) = request.span();
    let mut around = logs.between(from, until).iter();
    if around.any(|line| matches!(line.event, MachineEvent::Order { .. })) {
        return true;
    }
    let mut acting = std::collections::HashSet::new();
    for line in logs.between(0, request.at) {
        if let MachineEvent::Lease { state, .. } = &line.event {
            if state == "acting" {
                acting.insert(&line.machine);
            } else {
                acting.remove(&line.machine);
            }
        }
    }
    !acting.is_empty()
}
