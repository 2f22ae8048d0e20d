//! Permits for the engines that have named a limit.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::{
    ClockMillis,
    fleet::limits::{
        ledger::LimitLedger, limit::RequestLimit, news::LimitNews, share::LimitTold,
        word::PermitGrant,
    },
};

use crate::{
    control::{
        domain::GoneListener,
        sums::{FleetSum, SumContext},
    },
    events::HostEvent,
    host::SharedState,
    peers::{
        limit_lines::read_limits,
        sum_frames::{CountFrame, SumFrame},
    },
};

/// Permits for the engines that have named a limit: the ledger, on the host that deals them, and this host's share.
pub struct LimitSum {
    shared: Arc<SharedState>,
    ledger: Option<LimitLedger>,
    /// What other hosts were granted and have not heard yet.
    granted: BTreeMap<Arc<str>, Vec<PermitGrant>>,
}

impl LimitSum {
    /// Starts without a ledger.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, ledger: None, granted: BTreeMap::new() }
    }
}

/// Reads what a host tells the ledger.
fn told(frame: &CountFrame) -> LimitTold {
    LimitTold {
        words: read_limits(&frame.limits),
        asks: frame.asks.iter().map(Into::into).collect(),
    }
}

impl FleetSum for LimitSum {
    fn begin(&mut self, _: &SumContext<'_>) {
        self.ledger = Some(LimitLedger::default());
        self.tell_again();
    }

    fn end(&mut self) {
        self.ledger = None;
        self.granted.clear();
    }

    fn tell_again(&mut self) {
        self.shared.limits().begin_telling();
    }

    fn tell(&mut self, frame: &mut CountFrame, context: &SumContext<'_>) -> bool {
        let told = self.shared.limits().take_told(context.now);
        frame.limits = told.words.iter().map(Into::into).collect();
        frame.asks = told.asks.iter().map(Into::into).collect();
        told != LimitTold::default()
    }

    fn was_told(&mut self, frame: &CountFrame, sent: bool) {
        if !sent {
            self.shared.limits().tell_again(&told(frame));
        }
    }

    fn count(&mut self, host: &Arc<str>, frame: &CountFrame, context: &SumContext<'_>) {
        let Some(ledger) = &mut self.ledger else { return };
        let LimitTold { words, asks } = told(frame);
        for word in &words {
            ledger.word_heard(word, context.now);
        }
        for (engine, ask) in &asks {
            ledger.asked(host, engine, ask, context.now);
        }
    }

    fn greet(&mut self, host: &Arc<str>, frame: &mut SumFrame, context: &SumContext<'_>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.host_begins(host);
            frame.limits = ledger.words_for_all(context.now).iter().map(Into::into).collect();
        }
    }

    fn left(&mut self, listener: &GoneListener, _: &SumContext<'_>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.host_begins(&listener.host);
        }
        self.granted.remove(&listener.host);
    }

    fn spread(&mut self, frame: &mut SumFrame, _: bool, context: &SumContext<'_>) {
        let Some(ledger) = &mut self.ledger else { return };
        let now = context.now;
        ledger.retain(|engine| context.active_life(engine));
        ledger.confirmed(context.confirmed);
        let changes = ledger.take_changes(now);
        frame.limits = changes.iter().map(Into::into).collect();
        let mut granted = ledger.deal(now);
        let own = granted.remove(context.host).unwrap_or_default();
        self.granted.append(&mut granted);
        let mut share = self.shared.limits();
        share.ledger_heard(now);
        for word in &changes {
            share.word_heard(word, now);
        }
        let news = share.granted(&own, now) || !changes.is_empty();
        drop(share);
        if news {
            self.shared.permits_changed();
        }
    }

    fn answers(&mut self) -> Vec<(Arc<str>, SumFrame)> {
        let granted = std::mem::take(&mut self.granted).into_iter();
        let frame = |grants: Vec<PermitGrant>| SumFrame {
            grants: grants.iter().map(Into::into).collect(),
            ..SumFrame::default()
        };
        granted.map(|(host, grants)| (host, frame(grants))).collect()
    }

    fn hear(&mut self, frame: &SumFrame, context: &SumContext<'_>) {
        let grants: Vec<PermitGrant> = frame.grants.iter().map(Into::into).collect();
        let mut share = self.shared.limits();
        share.ledger_heard(context.now);
        for word in read_limits(&frame.limits) {
            share.word_heard(&word, context.now);
        }
        let changed = share.granted(&grants, context.now) || !frame.limits.is_empty();
        drop(share);
        if changed {
            self.shared.permits_changed();
        }
    }

    fn tick(&mut self, context: &SumContext<'_>) {
        let mut share = self.shared.limits();
        share.retain(|engine| context.active_life(engine));
        let changed = share.stand_alone(|engine| context.stands_in(engine), context.now);
        let limited = i64::try_from(share.limited()).unwrap_or(i64::MAX);
        let news = share.take_news(context.now);
        drop(share);
        self.shared.metrics.limited_engines.set(limited);
        for news in news {
            self.shared.events.write(news.into());
        }
        if changed {
            self.shared.permits_changed();
        }
    }

    fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        self.ledger.as_ref()?.next_due(now)
    }
}

impl From<LimitNews> for HostEvent {
    fn from(news: LimitNews) -> Self {
        match news {
            LimitNews::Named { engine, born, limit, before } => Self::EngineLimited {
                engine: engine.to_string(),
                born,
                limit: limit.per_second(),
                before: before.map(RequestLimit::per_second),
            },
            LimitNews::Ended { engine, limit } => {
                Self::LimitEnded { engine: engine.to_string(), limit: limit.per_second() }
            }
            LimitNews::Unreadable { engine, answers } => {
                Self::LimitUnreadable { engine: engine.to_string(), answers }
            }
        }
    }
}
