//! Whether an engine's listing is believed that was read in a later era of the store than what is known of the engine.
//!
//! A store that comes back from an older copy of itself lists engines as they were: one that has left since is ready again, one that
//! is gone is back, one has the life before, or fewer adapters. By its position such a listing is the newest. What the engine said
//! later holds until it had the time to write again.

use std::time::Duration;

use super::{EngineEntry, EngineIncarnation};

/// How long engines have to write their entries again after the store has come back from an older copy.
///
/// They write every 1.2 s or so, and a store takes three times that without a word for a departure itself.
pub const REWRITE_GRACE_PERIOD: Duration = Duration::from_secs(4);

/// What is known of an engine that was listed in an earlier era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastKnownEngine<'entry> {
    /// Its entry.
    Listed(&'entry EngineEntry),
    /// It is gone; this was its last life.
    Gone(EngineIncarnation),
}

/// Returns whether a listing from a later era is believed at once.
pub fn is_up_to_date(known: &LastKnownEngine<'_>, listed: &EngineEntry) -> bool {
    match known {
        LastKnownEngine::Listed(known) if listed.is_incarnation(known.incarnation) => {
            listed.sequence >= known.sequence
        }
        LastKnownEngine::Listed(known) => listed.incarnation > known.incarnation,
        LastKnownEngine::Gone(incarnation) => {
            !listed.is_incarnation(*incarnation) && listed.incarnation > *incarnation
        }
    }
}
