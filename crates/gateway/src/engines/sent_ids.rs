//! The ids of the requests that a connection has carried.

use xxhash_rust::xxh3::xxh3_64;

/// Number of requests after which a connection is not reused.
const REQUEST_LIMIT: usize = 1024;

/// The ids of the requests that a connection has carried, as hashes.
///
/// A response is matched to its request by the request's id, so an engine's duplicate of an earlier
/// response passes for the response to a second request with the same id.
#[derive(Debug, Clone, Default)]
pub struct SentIds(Vec<u64>);

impl SentIds {
    /// Records that a request was sent.
    pub fn record(&mut self, id: &str) {
        self.0.push(xxh3_64(id.as_bytes()));
    }

    /// Returns whether a request with this id was sent. With a probability of about 10⁻¹⁶ for each
    /// request it is another one.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether the connection has carried so many requests that it is to be closed, which
    /// bounds its memory.
    pub const fn is_full(&self) -> bool {
        self.0.len() >= REQUEST_LIMIT
    }
}
