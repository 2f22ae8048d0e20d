//! Which era of the store is the newest that this host has heard of.
//!
//! A store that comes back from an older copy of itself gives out offsets again and has lost what it took since. It tells so in all
//! its answers, by an era that rises each time.

use std::borrow::Cow;

use reelreel_core::id::StoreEra;
use tokio::sync::watch;

/// The newest era that was heard of, and who told it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeardEra {
    /// The era.
    pub era: StoreEra,
    /// Who told it first: the store, or the address of a peer.
    pub teller: Cow<'static, str>,
}

/// How an era that was told compares with the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraWord {
    /// The one that is known, or a newer one, which is known from now on.
    Newest,
    /// An earlier one than this: whoever told it speaks of a store that is gone.
    Earlier(StoreEra),
}

/// The newest era of the store, as all tasks of a host know it.
#[derive(Debug, Clone)]
pub struct StoreEras(watch::Sender<HeardEra>);

impl Default for StoreEras {
    fn default() -> Self {
        Self(watch::Sender::new(HeardEra::default()))
    }
}

impl StoreEras {
    /// Takes an era that `teller` has told.
    pub fn hear(&self, era: StoreEra, teller: impl Into<Cow<'static, str>>) -> EraWord {
        let known = self.known();
        if era < known {
            return EraWord::Earlier(known);
        }
        if era > known {
            self.0.send_replace(HeardEra { era, teller: teller.into() });
        }
        EraWord::Newest
    }

    /// Returns the newest era.
    pub fn known(&self) -> StoreEra {
        self.0.borrow().era
    }

    /// Returns the newest era with who told it.
    pub fn newest(&self) -> HeardEra {
        self.0.borrow().clone()
    }

    /// Waits until an era later than `era` is heard of.
    pub async fn later_than(&self, era: StoreEra) {
        // Waiting fails only when all senders are gone, and this is one.
        let _ = self.0.subscribe().wait_for(|heard| heard.era > era).await;
    }
}
