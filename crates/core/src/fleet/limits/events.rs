//! Throttled log events of engines' limits: new limits and significant changes, at most one per second and engine.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, limits::limit::RequestLimit},
};

/// The least time between two log lines on one engine, which may declare another limit in each response.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A change of an engine's limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitEvent {
    /// The engine declares a limit, or a different one.
    Limited {
        /// The engine.
        engine: EngineName,
        /// The incarnation that declares it.
        incarnation: EngineIncarnation,
        /// The limit.
        limit: RequestLimit,
        /// The limit that was logged before, if it was still in force.
        previous: Option<RequestLimit>,
    },
    /// The engine has no limit any more, or is gone.
    Ended {
        /// The engine.
        engine: EngineName,
        /// The limit that was logged last.
        limit: RequestLimit,
    },
    /// The engine declared values that are not a limit.
    Unreadable {
        /// The engine.
        engine: EngineName,
        /// The number of such responses since the last line on them.
        responses: u64,
    },
}

/// Throttles the log events of engines' limits.
#[derive(Debug, Clone, Default)]
pub struct EventThrottle {
    /// The limit that was last logged for each limited engine, and when.
    logged: HashMap<EngineName, (RequestLimit, ClockMillis)>,
    /// Responses with unreadable limits since the last line on them, by engine, and when that line was logged.
    unreadable: HashMap<EngineName, (u64, ClockMillis)>,
}

impl EventThrottle {
    /// Counts a response whose limit is unreadable.
    pub fn unreadable(&mut self, engine: &EngineName) {
        self.unreadable.entry(Arc::clone(engine)).or_default().0 += 1;
    }

    /// Drops engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.unreadable.retain(|engine, _| is_listed(engine));
    }

    /// Returns the events to log now, given the current limits.
    pub fn take<'engine>(
        &mut self,
        limits: impl Iterator<Item = (&'engine EngineName, EngineIncarnation, RequestLimit)>,
        now: ClockMillis,
    ) -> Vec<LimitEvent> {
        let mut events = Vec::new();
        let mut still_limited = HashMap::new();
        for (engine, incarnation, limit) in limits {
            let previous = self.logged.remove(engine);
            let due = previous.is_none_or(|(previous, logged_at)| {
                limit.differs_significantly(previous) && now.since(logged_at) >= MIN_LOG_INTERVAL
            });
            if due {
                let (engine, previous) = (Arc::clone(engine), previous.map(|(limit, _)| limit));
                events.push(LimitEvent::Limited { engine, incarnation, limit, previous });
            }
            let logged = previous.filter(|_| !due).unwrap_or((limit, now));
            still_limited.insert(Arc::clone(engine), logged);
        }
        for (engine, (limit, logged_at)) in std::mem::take(&mut self.logged) {
            if now.since(logged_at) >= MIN_LOG_INTERVAL {
                events.push(LimitEvent::Ended { engine, limit });
            } else {
                still_limited.insert(engine, (limit, logged_at));
            }
        }
        self.logged = still_limited;
        for (engine, (responses, logged_at)) in &mut self.unreadable {
            if *responses > 0 && now.since(*logged_at) >= MIN_LOG_INTERVAL {
                *logged_at = now;
                let (engine, responses) = (Arc::clone(engine), std::mem::take(responses));
                events.push(LimitEvent::Unreadable { engine, responses });
            }
        }
        events
    }
}
