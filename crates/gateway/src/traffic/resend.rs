//! Where a request goes after an engine's error response.

use std::sync::Arc;

use reelreel_core::fleet::EngineEntry;

use crate::traffic::{exchange::Exchange, first_event::uses_first_event, pick::EnginePick};

/// Number of sends of a request up to which an engine with the only copy of its adapter gets it
/// again.
const ONLY_COPY_SEND_LIMIT: u32 = 2;

impl Exchange<'_> {
    /// Excludes an engine that returned an error response from further sends of the request.
    ///
    /// Where timeouts are tight, an engine that has the only copy of the adapter gets the request
    /// once more: it may fail only a part of its requests, and another copy would be loaded after
    /// the latency target.
    pub(super) fn exclude_after_error(&mut self, entry: &EngineEntry) {
        self.excluded_engines.push(Arc::clone(&entry.name));
        if self.sends < ONLY_COPY_SEND_LIMIT
            && uses_first_event(&self.traffic.table(), &self.service)
            && matches!(self.pick(), EnginePick::ColdStart)
        {
            self.excluded_engines.pop();
        }
    }
}
