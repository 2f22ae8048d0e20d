//! Positions of records in the platform's store.
//!
//! Offsets alone do not order records, because a store that is restored from an older copy assigns
//! them again. Positions compare the era, which rises with each restore, before the offset.

use crate::id::{LogOffset, StoreEra};

/// A position in one topic of the store: the era in which it was read, then the offset.
///
/// Create positions only when decoding store responses and peers' frames. A record read in a later
/// era is ordered after all records of an earlier era, although it may have been written before
/// them. Data that must never go back needs a version of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The offset within the topic.
    pub offset: LogOffset,
}

impl StorePosition {
    /// Returns the position immediately after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { offset: self.offset.saturating_add(1), ..self }
    }
}
