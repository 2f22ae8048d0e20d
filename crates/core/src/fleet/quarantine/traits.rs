//! Traits: what different requests can have in common that may crash engines.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128_with_seed};

use crate::fleet::{
    prompt::{PromptMetadata, PromptPartId},
    quarantine::RequestMark,
};

/// The digest of a trait, equal on every host.
pub type TraitMark = u128;

/// The most parts of a prompt that are traits, which bounds the work for each request.
const MAX_TRAIT_PARTS: usize = 32;

/// What a trait identifies, from the most specific kind on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TraitKind {
    /// Equal requests.
    Request,
    /// Requests to a service whose prompts have a part in common.
    PromptPart,
}

/// A trait of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTrait {
    /// What it identifies.
    pub kind: TraitKind,
    /// Its digest.
    pub mark: TraitMark,
}

/// All traits of one request. Cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTraits {
    request: RequestMark,
    parts: Arc<[TraitMark]>,
}

impl RequestTraits {
    /// Returns the traits of a request to a service: its mark, and the parts of its prompt but the last, which is
    /// the request's own.
    pub fn new(request: RequestMark, service: &str, prompt: &PromptMetadata) -> Self {
        let service = xxh3_64(service.as_bytes());
        let marks = prompt.shared_parts().iter().map(|part| part_mark(service, part.id));
        Self { request, parts: marks.take(MAX_TRAIT_PARTS).collect() }
    }

    /// Returns the mark of the request itself.
    pub const fn request_mark(&self) -> RequestMark {
        self.request
    }

    /// Returns the trait of the request itself.
    pub const fn request(&self) -> RequestTrait {
        RequestTrait { kind: TraitKind::Request, mark: self.request }
    }

    /// Returns the traits that other requests may share.
    pub fn shared(&self) -> impl Iterator<Item = RequestTrait> {
        self.parts.iter().map(|mark| RequestTrait { kind: TraitKind::PromptPart, mark: *mark })
    }

    /// Returns all traits, the request itself first.
    pub fn all(&self) -> impl Iterator<Item = RequestTrait> {
        std::iter::once(self.request()).chain(self.shared())
    }
}

fn part_mark(service: u64, part: PromptPartId) -> TraitMark {
    xxh3_128_with_seed(&part.to_le_bytes(), service)
}
