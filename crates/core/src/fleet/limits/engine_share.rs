//! What one host knows of one engine's limit.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineName, is_same_life,
        limits::{
            bucket::TokenBucket,
            limit::RequestLimit,
            share::PermitUse,
            word::{LimitState, LimitWord, PermitAsk},
        },
    },
};

/// How often an ask is said again that still holds: the ledger forgets it after three times as long.
const ASK_RENEWAL: Duration = Duration::from_millis(500);

/// How long a wish holds, until its permit comes: an engine that was preferred once may not be the next time.
const WISH_HOLDS: Duration = Duration::from_millis(250);

/// The least time between two asks for an engine that only wish: nobody waits for them.
const WISH_PAUSE: Duration = Duration::from_millis(250);

/// What this host knows of one engine's limit.
#[derive(Debug, Clone)]
pub(super) struct EngineShare {
    pub(super) born: EngineBirth,
    /// What the engine named last.
    pub(super) limit: RequestLimit,
    /// Whether it has named none since.
    pub(super) ended: bool,
    /// When the answer began that said so.
    pub(super) said: ClockMillis,
    /// When what that answered was sent.
    pub(super) asked: ClockMillis,
    /// When this host itself last had an answer that named it. How long ago the ledger's words were said is known less well: time
    /// that they spend on their way is not counted.
    pub(super) named_here: Option<ClockMillis>,
    /// Whether the ledger is to hear of it.
    pub(super) untold: bool,
    /// Until when each permit may be used.
    pub(super) permits: VecDeque<ClockMillis>,
    pub(super) resumed: u32,
    pub(super) waiting: u32,
    pub(super) wished: Option<ClockMillis>,
    pub(super) got: u64,
    pub(super) unused: u64,
    pub(super) unasked: u64,
    pub(super) told: PermitAsk,
    pub(super) told_at: ClockMillis,
    /// When the ledger expects a permit for the last one that waits.
    pub(super) due: Option<ClockMillis>,
    /// For when the last client was told to come back that found no permit.
    pub(super) returns: Option<ClockMillis>,
    /// What this host may use where it stands in for the ledger.
    pub(super) alone: Option<TokenBucket>,
}

impl EngineShare {
    pub(super) fn new(born: EngineBirth, limit: RequestLimit, said: ClockMillis) -> Self {
        Self {
            born,
            limit,
            ended: false,
            said,
            asked: said,
            named_here: None,
            untold: true,
            permits: VecDeque::new(),
            resumed: 0,
            waiting: 0,
            wished: None,
            got: 0,
            unused: 0,
            unasked: 0,
            told: PermitAsk::default(),
            told_at: ClockMillis::default(),
            due: None,
            returns: None,
            alone: None,
        }
    }

    pub(super) const fn is_life(&self, born: EngineBirth) -> bool {
        is_same_life(self.born, born)
    }

    /// Takes the place of what was known of an earlier life; requests that wait go on waiting.
    pub(super) fn begin_life(&mut self, born: EngineBirth, limit: RequestLimit, said: ClockMillis) {
        let Self { resumed, waiting, got, unused, unasked, .. } = *self;
        *self = Self { resumed, waiting, got, unused, unasked, ..Self::new(born, limit, said) };
    }

    /// Takes for true what the ledger says, which need not hear it again.
    pub(super) fn take_word(&mut self, word: &LimitWord, now: ClockMillis) {
        (self.limit, self.ended) = (word.limit, word.state != LimitState::Named);
        (self.said, self.asked) = (now - word.said_ago, now - word.asked_ago);
        self.untold = false;
    }

    /// Makes word and ask be told once more, as to a ledger that knows nothing of the engine.
    pub(super) fn tell_anew(&mut self) {
        self.untold = true;
        self.told = PermitAsk::default();
    }

    /// Returns whether this host itself has heard no limit since a word of the ledger was said.
    pub(super) fn is_older_than(&self, said: ClockMillis) -> bool {
        self.named_here.is_none_or(|named| said >= named)
    }

    pub(super) fn drop_old_permits(&mut self, now: ClockMillis) {
        while self.permits.front().is_some_and(|until| *until <= now) {
            self.permits.pop_front();
            self.unused += 1;
        }
    }

    /// Returns how many permits there are for a use.
    pub(super) fn permits_for(&self, wanted: PermitUse) -> u32 {
        let permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        match wanted {
            PermitUse::Resumed => permits,
            PermitUse::Waiting => permits.saturating_sub(self.resumed),
            PermitUse::New => permits.saturating_sub(self.resumed.saturating_add(self.waiting)),
        }
    }

    /// Returns whether anybody here would use one more permit.
    pub(super) fn wants_permit(&self, now: ClockMillis) -> bool {
        let ask = self.ask(now);
        ask.resumed > 0 || ask.waiting > 0 || ask.wished
    }

    pub(super) fn ask(&self, now: ClockMillis) -> PermitAsk {
        let mut permits = u32::try_from(self.permits.len()).unwrap_or(u32::MAX);
        let [resumed, waiting] = [self.resumed, self.waiting].map(|wanted| {
            let covered = wanted.min(permits);
            permits -= covered;
            wanted - covered
        });
        let wished = self.wished.is_some_and(|wished| now.since(wished) < WISH_HOLDS);
        let Self { got, unused, unasked, .. } = *self;
        PermitAsk { resumed, waiting, wished: wished && permits == 0, got, unused, unasked }
    }

    /// Returns the ask if it is due to be told.
    pub(super) fn due_ask(&self, now: ClockMillis) -> Option<PermitAsk> {
        let ask = self.ask(now);
        let waits = ask.resumed > 0 || ask.waiting > 0;
        let waited = self.told.resumed > 0 || self.told.waiting > 0;
        let since = now.since(self.told_at);
        let due = if waits || waited {
            ask != self.told || since >= ASK_RENEWAL
        } else {
            // That a permit came is told with the next ask; that nobody used it, at once; what was used without one, soon.
            let unused = ask.unused != self.told.unused;
            unused || (ask.wished || ask.unasked > 0) && since >= WISH_PAUSE
        };
        due.then_some(ask)
    }

    pub(super) fn word(&self, engine: &EngineName, now: ClockMillis) -> LimitWord {
        LimitWord {
            engine: Arc::clone(engine),
            born: self.born,
            limit: self.limit,
            state: if self.ended { LimitState::Ended } else { LimitState::Named },
            said_ago: now.since(self.said),
            asked_ago: now.since(self.asked),
        }
    }
}
