//! Whether an engine's listing is believed that was read in a later era of the store than what is known of the engine.
//!
//! A store that comes back from an older copy of itself lists engines as they were: one that has left since is ready again, one that
//! is gone is back, one has the life before, or fewer adapters. By its position such a listing is the newest. What the engine said
//! later holds until it had the time to write again.

use std::time::Duration;

use super::EngineEntry;

/// How long engines have to write their entries again after the store has come back from an older copy.
///
/// They write every 1.2 s or so, and a store takes three times that without a word for a departure itself.
pub const WRITING_AGAIN: Duration = Duration::from_secs(4);

/// Returns whether a listing from a later era is believed at once; `known` is absent where the engine was listed before and is gone.
pub fn is_believed(known: Option<&EngineEntry>, listed: &EngineEntry) -> bool {
    known.is_some_and(|known| !is_older(listed, known))
}

/// Returns whether an entry was written before another one of the same engine, as far as both say.
fn is_older(listed: &EngineEntry, known: &EngineEntry) -> bool {
    if listed.is_life(known.born) {
        listed.sequence < known.sequence
    } else {
        listed.born < known.born
    }
}
