//! Prompt metadata of a request.
//!
//! An engine prefills the prompt before the first event of its answer. It caches what it has
//! processed for later requests to the same adapter that begin with the same parts.

/// Identifies a prompt part; equal parts of different requests have the same ID.
pub type PromptPartId = u64;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's ID.
    pub id: PromptPartId,
    /// Length of the part. Unit: tokens.
    pub tokens: u32,
}

/// What a request declares about its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptMetadata {
    /// Length of the whole prompt. Unit: tokens.
    pub length: u32,
    /// Parts of the prompt in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptMetadata {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared_parts)| shared_parts)
    }

    /// Returns the number of tokens to prefill without a cache, at least one.
    pub fn tokens(&self) -> u64 {
        let parts: u64 = self.parts.iter().map(|part| u64::from(part.tokens)).sum();
        parts.max(u64::from(self.length)).max(1)
    }
}
