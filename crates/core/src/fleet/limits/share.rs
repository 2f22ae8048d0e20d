//! What one host knows of the limits that engines name.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineName, UNTOLD_BIRTH,
        limits::limit::{AnswerWord, RequestLimit, SaidLimit},
    },
};

/// The least time between two lines on one engine's limit: an engine may name another one, or none, in each answer.
const NEWS_PAUSE: Duration = Duration::from_secs(1);

/// What became of an engine's limit, for log lines.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitNews {
    /// The engine names one, or another one than before.
    Named {
        /// The engine.
        engine: EngineName,
        /// When the life that names it began.
        born: EngineBirth,
        /// The limit.
        limit: RequestLimit,
        /// The limit that was logged before, if it still held.
        before: Option<RequestLimit>,
    },
    /// The engine names none any more.
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

/// What this host knows of one engine's limit.
#[derive(Debug, Clone)]
struct EngineShare {
    born: EngineBirth,
    /// What the engine named last.
    limit: RequestLimit,
    /// Whether it has named none since.
    ended: bool,
    /// When the answer began that said so.
    said: ClockMillis,
    /// What was last logged, none where that was its end.
    logged: Option<RequestLimit>,
    logged_at: ClockMillis,
}

/// What one host knows of the limits that engines name.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    engines: HashMap<EngineName, EngineShare>,
    /// Answers with something that is no limit since the last line on them, by engine, and when that was.
    unreadable: HashMap<EngineName, (u64, ClockMillis)>,
}

impl LimitShare {
    /// Takes what an answer of an engine in one of its lives says; `now` is when the answer began.
    pub fn answered(
        &mut self,
        engine: &EngineName,
        born: EngineBirth,
        word: AnswerWord,
        now: ClockMillis,
    ) {
        match word.said {
            SaidLimit::Named(limit) => self.named(engine, born, limit, now),
            SaidLimit::Nothing if word.would_say => {
                if let Some(known) = self.engines.get_mut(engine)
                    && known.is_life(born)
                    && word.asked > known.said
                {
                    known.ended = true;
                    known.said = now;
                }
            }
            SaidLimit::Nothing => {}
            SaidLimit::Unreadable => {
                self.unreadable.entry(Arc::clone(engine)).or_default().0 += 1;
            }
        }
    }

    fn named(
        &mut self,
        engine: &EngineName,
        born: EngineBirth,
        limit: RequestLimit,
        now: ClockMillis,
    ) {
        let new = || EngineShare {
            born,
            limit,
            ended: false,
            said: now,
            logged: None,
            logged_at: ClockMillis::default(),
        };
        let known = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
        if !known.is_life(born) {
            *known = new();
        }
        (known.limit, known.ended, known.said) = (limit, false, now);
    }

    /// Returns how many engines have a limit.
    pub fn limited(&self) -> usize {
        self.engines.values().filter(|known| !known.ended).count()
    }

    /// Returns whether an engine has a limit.
    pub fn is_limited(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|known| !known.ended)
    }

    /// Forgets engines that are listed no more.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| listed(engine));
        self.unreadable.retain(|engine, _| listed(engine));
    }

    /// Returns what is to be logged now, at most a line a second for each engine and kind.
    pub fn take_news(&mut self, now: ClockMillis) -> Vec<LimitNews> {
        let mut news = Vec::new();
        for (engine, known) in &mut self.engines {
            if now.since(known.logged_at) >= NEWS_PAUSE {
                news.extend(known.take_news(engine, now));
            }
        }
        for (engine, (answers, logged_at)) in &mut self.unreadable {
            if *answers > 0 && now.since(*logged_at) >= NEWS_PAUSE {
                *logged_at = now;
                let (engine, answers) = (Arc::clone(engine), std::mem::take(answers));
                news.push(LimitNews::Unreadable { engine, answers });
            }
        }
        news
    }
}

impl EngineShare {
    const fn is_life(&self, born: EngineBirth) -> bool {
        born == self.born || born == UNTOLD_BIRTH || self.born == UNTOLD_BIRTH
    }

    fn take_news(&mut self, engine: &EngineName, now: ClockMillis) -> Option<LimitNews> {
        let present = (!self.ended).then_some(self.limit);
        let (engine, before) = (Arc::clone(engine), self.logged);
        let news = match (present, before) {
            (Some(limit), before) if before.is_none_or(|before| limit.differs(before)) => {
                LimitNews::Named { engine, born: self.born, limit, before }
            }
            (None, Some(limit)) => LimitNews::Ended { engine, limit },
            _ => return None,
        };
        self.logged = present;
        self.logged_at = now;
        Some(news)
    }
}
