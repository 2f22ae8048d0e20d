//! Work of an engine: open requests and pending prefill.

use std::ops::Add;

/// The work of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineWork {
    /// Number of open requests.
    pub open: u32,
    /// Prompt lengths of the requests that have not had their first event. Unit: tokens.
    pub pending_prefill_tokens: u64,
}

/// Divides the reported open requests to get the change that is not yet reported.
const OPEN_CHANGE_DIVISOR: u32 = 5;

impl EngineWork {
    /// Returns whether the work has changed enough since it was reported to affect the choice of
    /// engines.
    ///
    /// The first request of an idle engine and the end of the last one always count.
    pub const fn differs_significantly(&self, reported: &Self, token_step: u64) -> bool {
        let began_or_ended = (self.open == 0) != (reported.open == 0);
        let open = self.open.abs_diff(reported.open) > reported.open / OPEN_CHANGE_DIVISOR;
        let pending_prefill_tokens =
            self.pending_prefill_tokens.abs_diff(reported.pending_prefill_tokens) > token_step;
        began_or_ended || open || pending_prefill_tokens
    }
}

impl Add for EngineWork {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            open: self.open + other.open,
            pending_prefill_tokens: self.pending_prefill_tokens + other.pending_prefill_tokens,
        }
    }
}
