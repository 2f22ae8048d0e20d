//! What a request says of its prompt.
//!
//! An engine reads a prompt before the first event of the answer, and keeps what it has read for later
//! requests on the same adapter that begin with the same parts.

/// Names a part of a prompt; equal parts of different requests have the same name.
pub type PromptPartId = u64;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's name.
    pub id: PromptPartId,
    /// Its length. Unit: tokens.
    pub tokens: u32,
}

/// What a request says of its prompt and of its answer's length.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptMetadata {
    /// The whole prompt's length. Unit: tokens.
    pub length: u32,
    /// The prompt's parts in their order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl PromptMetadata {
    /// Returns how many tokens an engine that keeps nothing reads, at least one.
    pub fn tokens(&self) -> u64 {
        let parts: u64 = self.parts.iter().map(|part| u64::from(part.tokens)).sum();
        parts.max(u64::from(self.length)).max(1)
    }
}
