//! Whether an engine's listing is believed that was read in a later era of the store than what is known of the engine.
//!
//! A store that comes back from an older copy of itself lists engines as they were: one that has left since is ready again, one that
//! is gone is back, one has the life before, or fewer adapters. By its position such a listing is the newest. What the engine said
//! later holds until it had the time to write again.

use std::time::Duration;

use super::{EngineBirth, EngineEntry};

/// How long engines have to write their entries again after the store has come back from an older copy.
///
/// They write every 1.2 s or so, and a store takes three times that without a word for a departure itself.
pub const WRITING_AGAIN: Duration = Duration::from_secs(4);

/// What is known of an engine that was listed in an earlier era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownWord<'entry> {
    /// Its entry.
    Listed(&'entry EngineEntry),
    /// It is gone; this was its last life.
    Gone(EngineBirth),
}

/// Returns whether a listing from a later era is believed at once.
pub fn is_believed(known: &KnownWord<'_>, listed: &EngineEntry) -> bool {
    match known {
        KnownWord::Listed(known) if listed.is_life(known.born) => listed.sequence >= known.sequence,
        KnownWord::Listed(known) => listed.born > known.born,
        KnownWord::Gone(born) => !listed.is_life(*born) && listed.born > *born,
    }
}
