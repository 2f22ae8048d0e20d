//! What this host knows of the limits that engines name, in its log lines.

use reelreel_core::{
    ClockMillis,
    fleet::limits::{limit::RequestLimit, news::LimitNews},
};

use crate::{control::state::ControlState, events::HostEvent};

impl ControlState {
    /// Logs what became of engines' limits, and forgets those of engines that are gone.
    pub(super) fn log_limits(&self, now: ClockMillis) {
        let mut limits = self.shared.limits();
        limits.retain(|engine| self.engines.get(engine).map(|entry| entry.born));
        let limited = i64::try_from(limits.limited()).unwrap_or(i64::MAX);
        self.shared.metrics.limited_engines.set(limited);
        let news = limits.take_news(now);
        drop(limits);
        for news in news {
            self.shared.events.write(news.into());
        }
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
