//! Detects stale engine entries after the store was restored from an older copy.
//!
//! A restored store lists engines as they were earlier: engines that have left since are ready
//! again, engines that ended are back, or entries have an older incarnation or fewer adapters. By
//! its position in the new era of the store such an entry is the newest. It is therefore withheld
//! until engines had the time to write their entries again, unless it is consistent with what was
//! known.

use std::time::Duration;

use super::{EngineEntry, EngineIncarnation};

/// Time for engines to write their entries again after the store was restored from an older copy.
/// Covers about three of their write intervals of some 1.2 s, after which the store takes an engine
/// as gone by itself.
pub const REWRITE_GRACE_PERIOD: Duration = Duration::from_secs(4);

/// What is known of an engine from an earlier era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastKnownEngine<'entry> {
    /// The engine's last entry.
    Listed(&'entry EngineEntry),
    /// The engine has ended; its last incarnation.
    Gone(EngineIncarnation),
}

/// Returns whether an entry from a later era is at least as new as what is known.
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
