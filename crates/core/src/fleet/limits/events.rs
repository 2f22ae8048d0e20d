//! What is logged of engines' limits: what is new or changed much, a line a second for each engine at the most.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, limits::limit::RequestLimit},
};

/// The least time between two lines on one engine: it may name another limit, or none, in each answer.
const NEWS_PAUSE: Duration = Duration::from_secs(1);

/// What became of an engine's limit, for log lines.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitEvent {
    /// The engine names one, or another one than before.
    Named {
        /// The engine.
        engine: EngineName,
        /// When the life that names it began.
        born: EngineIncarnation,
        /// The limit.
        limit: RequestLimit,
        /// The limit that was logged before, if it still held.
        before: Option<RequestLimit>,
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
        answers: u64,
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
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.unreadable.retain(|engine, _| listed(engine));
    }

    /// Returns what is to be logged now, where these engines have these limits.
    pub fn take<'known>(
        &mut self,
        known: impl Iterator<Item = (&'known EngineName, EngineIncarnation, RequestLimit)>,
        now: ClockMillis,
    ) -> Vec<LimitEvent> {
        let mut news = Vec::new();
        let mut present = HashMap::new();
        for (engine, born, limit) in known {
            let before = self.logged.remove(engine);
            let due = before.is_none_or(|(before, logged_at)| {
                limit.differs(before) && now.since(logged_at) >= NEWS_PAUSE
            });
            if due {
                let (engine, before) = (Arc::clone(engine), before.map(|(limit, _)| limit));
                news.push(LimitEvent::Named { engine, born, limit, before });
            }
            let logged = before.filter(|_| !due).unwrap_or((limit, now));
            present.insert(Arc::clone(engine), logged);
        }
        for (engine, (limit, logged_at)) in std::mem::take(&mut self.logged) {
            if now.since(logged_at) >= NEWS_PAUSE {
                news.push(LimitEvent::Ended { engine, limit });
            } else {
                present.insert(engine, (limit, logged_at));
            }
        }
        self.logged = present;
        for (engine, (answers, logged_at)) in &mut self.unreadable {
            if *answers > 0 && now.since(*logged_at) >= NEWS_PAUSE {
                *logged_at = now;
                let (engine, answers) = (Arc::clone(engine), std::mem::take(answers));
                news.push(LimitEvent::Unreadable { engine, answers });
            }
        }
        news
    }
}
