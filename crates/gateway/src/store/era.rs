//! Tracking of the store's era.
//!
//! A store that is restored from an older copy reuses offsets and has lost later records. It increases its era on each restore and
//! sends the era in every response.

use std::borrow::Cow;

use reelreel_core::id::StoreEra;
use tokio::sync::watch;

/// The latest era, and its source.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedEra {
    /// The era.
    pub era: StoreEra,
    /// Who reported it first: the store, or a peer by its address.
    pub source: Cow<'static, str>,
}

/// How a reported era compares with the latest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraStatus {
    /// The era is the latest, or a later one that has become the latest.
    Current,
    /// The era is earlier than the latest one, which is given.
    Stale(StoreEra),
}

/// The latest known era of the store, shared by all tasks of a host.
#[derive(Debug, Clone)]
pub struct EraTracker(watch::Sender<ObservedEra>);

impl Default for EraTracker {
    fn default() -> Self {
        Self(watch::Sender::new(ObservedEra::default()))
    }
}

impl EraTracker {
    /// Records an era that `source` reported.
    pub fn observe(&self, era: StoreEra, source: impl Into<Cow<'static, str>>) -> EraStatus {
        let known = self.current();
        if era < known {
            return EraStatus::Stale(known);
        }
        if era > known {
            self.0.send_replace(ObservedEra { era, source: source.into() });
        }
        EraStatus::Current
    }

    /// Returns the latest era.
    pub fn current(&self) -> StoreEra {
        self.0.borrow().era
    }

    /// Returns the latest era with its source.
    pub fn current_with_source(&self) -> ObservedEra {
        self.0.borrow().clone()
    }

    /// Waits until an era later than `era` is reported.
    pub async fn wait_until_later(&self, era: StoreEra) {
        // Waiting fails only when all senders are dropped, and `self` is one.
        let _ = self.0.subscribe().wait_for(|heard| heard.era > era).await;
    }
}
