//! What one host knows of the limits that engines name, and the permits that it has.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineName,
        announcement::Declared,
        limits::{
            bucket::TokenBucket,
            engine_share::EngineShare,
            ledger::{ALONE_PART, PROBE_RATE},
            limit::{AnswerWord, RequestLimit},
            news::{LimitNews, NewsLog},
            word::{LimitWord, PermitAsk, PermitGrant},
        },
    },
};

/// How long a permit may be used: what is saved up at hosts adds to what reaches an engine in a window, and a host that was stopped
/// must not use later what others have got since. A request that waits uses it at once.
const PERMIT_HOLDS: Duration = Duration::from_millis(400);

/// How long the ledger may be silent and still count as heard: it says something twice a second.
const LEDGER_SILENCE: Duration = Duration::from_millis(1200);

/// How long an engine must have named no limit to a host that hears no ledger.
const RETURNS_ALONE: Duration = Duration::from_secs(3);

/// How many asks that only wish a host tells at a time: a host of a large fleet may prefer hundreds of engines in turn.
const MOST_WISHES: usize = 8;

/// Whether a request may go to an engine as far as its limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStanding {
    /// It has named none.
    Free,
    /// This host has a permit.
    Permitted,
    /// This host has none.
    Used,
}

/// Who asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitUse {
    /// A request that has not waited: it leaves permits to those that wait.
    New,
    /// A request that waits.
    Waiting,
    /// A stream that broke off and waits: its client has a part of the answer.
    Resumed,
}

/// What a host tells the ledger.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitTold {
    /// What engines said.
    pub words: Vec<LimitWord>,
    /// What the host wants of them.
    pub asks: Vec<(EngineName, PermitAsk)>,
}

/// What one host knows of the limits that engines name.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    engines: HashMap<EngineName, EngineShare>,
    /// When the ledger was last heard.
    heard: ClockMillis,
    news: NewsLog,
}

impl LimitShare {
    /// Takes what an answer of an engine in one of its lives says; `now` is when the answer began. Returns whether the ledger is to
    /// hear of it.
    pub fn answered(
        &mut self,
        engine: &EngineName,
        born: EngineBirth,
        word: AnswerWord,
        now: ClockMillis,
    ) -> bool {
        match word.said {
            Declared::Present(limit) => {
                let new = || EngineShare::new(born, limit, now);
                let known = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
                if !known.is_life(born) {
                    known.begin_life(born, limit, now);
                }
                known.untold |= known.ended || known.limit != limit;
                (known.limit, known.ended, known.said, known.asked) =
                    (limit, false, now, word.asked);
                known.named_here = Some(now);
                known.untold
            }
            Declared::Absent if word.would_say => {
                let known = self.engines.get_mut(engine);
                let known = known.filter(|known| known.is_life(born) && word.asked > known.said);
                known.is_some_and(|known| {
                    known.untold |= !known.ended;
                    (known.ended, known.said, known.asked) = (true, now, word.asked);
                    known.untold
                })
            }
            Declared::Absent => false,
            Declared::Unreadable => {
                self.news.unreadable(engine);
                false
            }
        }
    }

    /// Returns how many engines have a limit.
    pub fn limited(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether an engine has a limit, or returns slowly from one.
    pub fn is_limited(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns whether an engine has named a limit to this host, and not since answered without one.
    pub fn names_limit(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|known| !known.ended)
    }

    /// Returns the limits of the engines that have one, or return slowly from it.
    pub fn known(&self) -> HashMap<EngineName, RequestLimit> {
        let known = self.engines.iter();
        known.map(|(engine, known)| (Arc::clone(engine), known.limit)).collect()
    }

    /// Forgets engines that are listed no more, or in another life; `life` returns the one that is listed.
    pub fn retain(&mut self, life: impl Fn(&str) -> Option<EngineBirth>) {
        self.engines.retain(|engine, known| life(engine).is_some_and(|born| known.is_life(born)));
        self.news.retain(|engine| life(engine).is_some());
    }

    /// Returns what is to be logged now.
    pub fn take_news(&mut self, now: ClockMillis) -> Vec<LimitNews> {
        let known = self.engines.iter();
        let known = known.map(|(engine, known)| (engine, known.born, known.limit));
        self.news.take(known, now)
    }
}

impl LimitShare {
    /// Returns whether a request may go to an engine now.
    pub fn standing(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> LimitStanding {
        let Some(known) = self.engines.get_mut(engine) else { return LimitStanding::Free };
        known.drop_old_permits(now);
        if known.permits_for(wanted) > 0 { LimitStanding::Permitted } else { LimitStanding::Used }
    }

    /// Takes a permit for a call to an engine; returns false where it has a limit and there is none.
    pub fn take(&mut self, engine: &str, wanted: PermitUse, now: ClockMillis) -> bool {
        match self.standing(engine, wanted, now) {
            LimitStanding::Free => true,
            LimitStanding::Used => false,
            LimitStanding::Permitted => {
                let known = self.engines.get_mut(engine);
                known.is_some_and(|known| known.permits.pop_front().is_some())
            }
        }
    }

    /// Puts back a permit for a call that was not made.
    pub fn give_back(&mut self, engine: &str, now: ClockMillis) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.permits.push_back(now + PERMIT_HOLDS);
        }
    }

    /// Counts a call that has to be made without a permit: the ledger makes up for it.
    pub fn call_unasked(&mut self, engine: &str) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.unasked += 1;
        }
    }

    /// Takes that a request begins to wait for a permit.
    pub fn wait_began(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(known) = self.engines.get_mut(engine) {
            match wanted {
                PermitUse::Resumed => known.resumed += 1,
                PermitUse::Waiting | PermitUse::New => known.waiting += 1,
            }
        }
    }

    /// Takes that a request waits no longer for a permit.
    pub fn wait_ended(&mut self, engine: &str, wanted: PermitUse) {
        if let Some(known) = self.engines.get_mut(engine) {
            let count = match wanted {
                PermitUse::Resumed => &mut known.resumed,
                PermitUse::Waiting | PermitUse::New => &mut known.waiting,
            };
            *count = count.saturating_sub(1);
        }
    }

    /// Takes that a request would have gone to an engine, had there been a permit.
    pub fn wish(&mut self, engine: &str, now: ClockMillis) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.wished = Some(now);
        }
    }

    /// Returns in what time one more request may expect a permit for an engine; `None` where nobody can say yet.
    pub fn expected(&self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let known = self.engines.get(engine)?;
        known.due.map(|due| due.since(now))
    }

    /// Returns when a client that is told to come back may expect a permit, where `hosts` tell clients so.
    ///
    /// Each that is told so comes a turn later than the one before, so that not all return together.
    pub fn return_time(&mut self, engine: &str, hosts: u32, now: ClockMillis) -> Option<Duration> {
        let known = self.engines.get_mut(engine)?;
        let turn = f64::from(hosts.max(1)) / known.limit.per_second().max(PROBE_RATE);
        let turn = Duration::try_from_secs_f64(turn).unwrap_or(Duration::MAX);
        let first = known.due.unwrap_or(now).max(now);
        let next = known.returns.map_or(first, |last| (last + turn).max(first));
        known.returns = Some(next);
        Some(next.since(now))
    }

    /// Returns how many requests of this host wait for an engine, against its limit. Unit: seconds.
    pub fn queue(&self, engine: &str) -> f64 {
        let Some(known) = self.engines.get(engine) else { return 0.0 };
        f64::from(known.resumed + known.waiting) / known.limit.per_second().max(PROBE_RATE)
    }
}

impl LimitShare {
    /// Takes that the ledger was heard.
    pub fn ledger_heard(&mut self, now: ClockMillis) {
        self.heard = now;
        for known in self.engines.values_mut() {
            known.alone = None;
        }
    }

    /// Returns whether the ledger is heard.
    pub fn hears_ledger(&self, now: ClockMillis) -> bool {
        self.heard != ClockMillis::default() && now.since(self.heard) < LEDGER_SILENCE
    }

    /// Takes what the ledger says of an engine's limit; what this host has heard itself since counts more.
    pub fn word_heard(&mut self, word: &LimitWord, now: ClockMillis) {
        let said = now - word.said_ago;
        let known = self.engines.get_mut(&word.engine);
        if word.is_back() {
            let known = known.filter(|known| known.is_life(word.born));
            if known.is_some_and(|known| known.ended || known.is_older_than(said)) {
                self.engines.remove(&word.engine);
            }
            return;
        }
        let Some(known) = known else {
            let mut new = EngineShare::new(word.born, word.limit, said);
            new.take_word(word, now);
            self.engines.insert(Arc::clone(&word.engine), new);
            return;
        };
        if !known.is_life(word.born) && said >= known.said {
            known.begin_life(word.born, word.limit, said);
            known.take_word(word, now);
        } else if known.is_life(word.born) && said > known.said {
            known.take_word(word, now);
        }
    }

    /// Takes what the ledger grants; returns whether there are permits now.
    pub fn granted(&mut self, grants: &[PermitGrant], now: ClockMillis) -> bool {
        let mut any = false;
        for grant in grants {
            let Some(known) = self.engines.get_mut(&grant.engine) else { continue };
            if grant.unknown {
                known.tell_anew();
            }
            known.got += u64::from(grant.permits);
            for _ in 0..grant.permits {
                // Whoever waited has left: others wait elsewhere.
                if !known.wants_permit(now) {
                    known.unused += 1;
                    continue;
                }
                known.permits.push_back(now + PERMIT_HOLDS);
                any = true;
            }
            if let Some(wait) = grant.wait {
                known.due = Some(now + wait);
                any = true;
            }
        }
        any
    }

    /// Returns what the ledger is to hear now.
    pub fn take_told(&mut self, now: ClockMillis) -> LimitTold {
        let mut told = LimitTold::default();
        let mut wishes = 0;
        for (engine, known) in &mut self.engines {
            known.drop_old_permits(now);
            if std::mem::take(&mut known.untold) {
                told.words.push(known.word(engine, now));
            }
            let Some(ask) = known.due_ask(now) else { continue };
            let only_wishes = ask.resumed + ask.waiting == 0;
            wishes += usize::from(only_wishes);
            if only_wishes && wishes > MOST_WISHES {
                continue;
            }
            known.told.clone_from(&ask);
            (known.told_at, known.unasked) = (now, 0);
            told.asks.push((Arc::clone(engine), ask));
        }
        told
    }

    /// Makes what could not be told be told again.
    pub fn tell_again(&mut self, told: &LimitTold) {
        for word in &told.words {
            if let Some(known) = self.engines.get_mut(&word.engine) {
                known.untold = true;
            }
        }
        for (engine, ask) in &told.asks {
            if let Some(known) = self.engines.get_mut(engine) {
                known.told = PermitAsk::default();
                known.unasked += ask.unasked;
            }
        }
    }

    /// Makes everything be told to another ledger, which counts this host's permits anew.
    pub fn begin_telling(&mut self) {
        for known in self.engines.values_mut() {
            known.untold = true;
            (known.got, known.unused) = (0, 0);
            (known.told, known.due) = (PermitAsk::default(), None);
        }
    }

    /// Lets the one host that stands in for a ledger which is not heard permit itself a part of each limit; returns whether there
    /// are permits now. `stands_in` says whether this host is the one for an engine.
    pub fn stand_alone(&mut self, stands_in: impl Fn(&str) -> bool, now: ClockMillis) -> bool {
        if self.hears_ledger(now) {
            return false;
        }
        let mut any = false;
        self.engines.retain(|engine, known| {
            if known.ended && now.since(known.said) >= RETURNS_ALONE {
                any = true;
                return false;
            }
            if stands_in(engine) {
                known.drop_old_permits(now);
                let bucket = known.alone.get_or_insert_with(|| TokenBucket::empty(now));
                let rate = known.limit.per_second().max(PROBE_RATE) * ALONE_PART;
                bucket.refill(rate, now);
                if known.permits.is_empty() && bucket.take() {
                    known.permits.push_back(now + PERMIT_HOLDS);
                    any = true;
                }
            } else {
                known.alone = None;
            }
            true
        });
        any
    }
}
