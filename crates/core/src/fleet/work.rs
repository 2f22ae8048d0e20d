//! What an engine has to do: requests that are open there and prompts that it has not read yet.

use std::ops::Add;

/// What an engine has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineWork {
    /// Requests that are open.
    pub open: u32,
    /// Prompts of those that have not had their first event. Unit: tokens.
    pub pending_prefill_tokens: u64,
}

/// By which part of the open requests that were reported they must have moved to be reported again: hosts add their own
/// requests to what they hear, and an engine with eleven or twelve is as good as one with ten.
const OPEN_CHANGE_DIVISOR: u32 = 5;

impl EngineWork {
    /// Returns whether the work has moved so far from what was reported that it makes a difference.
    ///
    /// That an engine has work at all, or none any more, always does.
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
