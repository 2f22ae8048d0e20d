//! Where in the platform's store a record stands.
//!
//! Offsets alone do not order records: a store that comes back from an older copy of itself gives them out again. Its era, which
//! rises each time, goes before them.

use crate::id::{LogOffset, StoreEra};

/// A place in one topic of the store: the era in which it was read, then the offset.
///
/// Made only where answers and peers' frames are decoded. A record that was read in a later era stands after all of an earlier one,
/// although it may have been written before them; what may never go back has an order of its own besides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The offset within the topic.
    pub offset: LogOffset,
}

impl StorePosition {
    /// Returns the position just behind this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { offset: self.offset.saturating_add(1), ..self }
    }
}
