//! Which era of the store is the newest that this host has heard of.
//!
//! A store that comes back from an older copy of itself gives out offsets again and has lost what it took since. It tells so in all
//! its answers, by an era that rises each time.

use std::borrow::Cow;

use reelreel_core::id::StoreEra;
use tokio::sync::watch;

/// The newest era that was heard of, and who told it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedEra {
    /// The era.
    pub era: StoreEra,
    /// Who told it first: the store, or the address of a peer.
    pub source: Cow<'static, str>,
}

/// How an era that was told compares with the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraStatus {
    /// The one that is known, or a newer one, which is known from now on.
    Current,
    /// An earlier one than this: whoever told it speaks of a store that is gone.
    Stale(StoreEra),
}

/// The newest era of the store, as all tasks of a host know it.
#[derive(Debug, Clone)]
pub struct EraTracker(watch::Sender<ObservedEra>);

impl Default for EraTracker {
    fn default() -> Self {
        Self(watch::Sender::new(ObservedEra::default()))
    }
}

impl EraTracker {
    /// Takes an era that `source` has told.
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

    /// Returns the newest era.
    pub fn current(&self) -> StoreEra {
        self.0.borrow().era
    }

    /// Returns the newest era with who told it.
    pub fn current_with_source(&self) -> ObservedEra {
        self.0.borrow().clone()
    }

    /// Waits until an era later than `era` is heard of.
    pub async fn wait_until_later(&self, era: StoreEra) {
        // Waiting fails only when all senders are gone, and this is one.
        let _ = self.0.subscribe().wait_for(|heard| heard.era > era).await;
    }
}
