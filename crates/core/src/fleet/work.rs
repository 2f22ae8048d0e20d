//! What an engine has to do: requests that are open there and prompts that it has not read yet.

use std::ops::Add;

/// What an engine has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineWork {
    /// Requests that are open.
    pub open: u32,
    /// Prompts of those that have not had their first event. Unit: tokens.
    pub unread: u64,
}

impl Add for EngineWork {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { open: self.open + other.open, unread: self.unread + other.unread }
    }
}
