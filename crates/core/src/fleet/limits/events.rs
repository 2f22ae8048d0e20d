//! What is logged of engines' limits: what is new or changed much, a line a second for each engine at the most.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineBirth, EngineName, limits::limit::RequestLimit},
};

/// The least time between two lines on one engine: it may name another limit, or none, in each answer.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What became of an engine's limit, for log lines.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitEvent {
    /// The engine names one, or another one than before.
    Limited {
        /// The engine.
        engine: EngineName,
        /// When the life that names it began.
        born: EngineBirth,
        /// The limit.
        limit: RequestLimit,
        /// The limit that was logged before, if it still held.
        previous: Option<RequestLimit>,
    },
    /// The engine has none any more, or is gone.
    Ended {
        /// The engine.
        engine: EngineName,
        /// The limit that it had named.
        limit: RequestLimit,
    },
    /// The engine says something that is no limit.
    Unreadable {
        /// The engine.
        engine: EngineName,
        /// How many such answers there were since the last line on them.
        responses: u64,
    },
}

/// What was logged, and what is to be.
#[derive(Debug, Clone, Default)]
pub struct EventThrottle {
    /// What was last logged of each engine that has a limit, and when.
    logged: HashMap<EngineName, (RequestLimit, ClockMillis)>,
    /// Answers with something that is no limit since the last line on them, by engine, and when that was.
    unreadable: HashMap<EngineName, (u64, ClockMillis)>,
}

impl EventThrottle {
    /// Counts an answer with something that is no limit.
    pub fn unreadable(&mut self, engine: &EngineName) {
        self.unreadable.entry(Arc::clone(engine)).or_default().0 += 1;
    }

    /// Forgets what engines said that are listed no more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.unreadable.retain(|engine, _| is_listed(engine));
    }

    /// Returns what is to be logged now, where these engines have these limits.
    pub fn take<'engine>(
        &mut self,
        limits: impl Iterator<Item = (&'engine EngineName, EngineBirth, RequestLimit)>,
        now: ClockMillis,
    ) -> Vec<LimitEvent> {
        let mut events = Vec::new();
        let mut still_limited = HashMap::new();
        for (engine, born, limit) in limits {
            let previous = self.logged.remove(engine);
            let due = previous.is_none_or(|(previous, logged_at)| {
                limit.differs_significantly(previous) && now.since(logged_at) >= MIN_LOG_INTERVAL
            });
            if due {
                let (engine, previous) = (Arc::clone(engine), previous.map(|(limit, _)| limit));
                events.push(LimitEvent::Limited { engine, born, limit, previous });
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
