//! Identifiers, as small integers so that tables at full size stay small.

/// Names an entry host. Operators assign it in the host's own settings.
pub type HostId = u32;

/// Counts the lives of one host or backend server; a restart raises it. Unit: milliseconds of the
/// wall clock at the start, so that no disk is needed to keep it rising.
pub type Incarnation = u64;

/// Names a model engine, as in the platform's host list.
pub type EngineId = u32;

/// Names a data hall by number, as in the platform's host list.
pub type HallId = u16;

/// Names an adapter. The settings fold assigns it in log order, so every host agrees on it.
pub type AdapterId = u32;

/// Names one immutable version of an adapter.
pub type AdapterVersion = u32;

/// Names an organisation within the settings fold.
pub type OrganisationId = u32;

/// Names a service within the settings fold.
pub type ServiceId = u32;

/// Names a request for ever: host, incarnation and counter, never reused across restarts.
pub type RequestId = u128;

/// The 128-bit hash of an idempotency key together with its organisation.
pub type KeyHash = u128;

/// A fence token. An engine refuses whatever carries a lower one than it has accepted.
pub type FenceToken = u64;

/// Counts accepted changes of the settings tree.
pub type Revision = u64;

/// A position in a stream of the platform's log.
pub type LogOffset = u64;

/// Counts how often the platform's store has come back from an older copy of itself; zero where it does not say.
pub type StoreEra = u64;

/// Counts the changes of the group of hosts within one era of the store.
pub type GroupGeneration = u64;

/// Bits of a fence token that hold the host, so that two hosts never order with one token.
const TOKEN_HOST_BITS: u32 = 24;

/// Bits of a fence token that an owner counts up without taking over anew.
const TOKEN_RAISE_BITS: u32 = 16;

/// Returns the token with which `host` takes an engine over from whoever had `seen`.
///
/// A token is an epoch of 24 bits, the host in 24 bits and the owner's own raises in 16 bits. Only
/// a take-over begins an epoch, so that an owner who raises its fence never overtakes another who
/// took the engine over meanwhile.
pub const fn takeover_token(seen: FenceToken, host: HostId) -> FenceToken {
    let epoch = (seen >> (TOKEN_HOST_BITS + TOKEN_RAISE_BITS)) + 1;
    let host = host as u64 & ((1 << TOKEN_HOST_BITS) - 1);
    (epoch << (TOKEN_HOST_BITS + TOKEN_RAISE_BITS)) | (host << TOKEN_RAISE_BITS)
}

/// Returns the owner's next token within its epoch, or `None` when the epoch has no more.
pub const fn raised_token(own: FenceToken) -> Option<FenceToken> {
    let raises = own & ((1 << TOKEN_RAISE_BITS) - 1);
    if raises == (1 << TOKEN_RAISE_BITS) - 1 { None } else { Some(own + 1) }
}

/// Bits of a placer's fence token that hold the generation of the group.
///
/// 2^32 changes of a group are four hundred years of one every three seconds, and two million eras keep the token a number that
/// every reader of JSON holds exactly.
const TOKEN_GENERATION_BITS: u32 = 32;

/// Returns the token of a tenure that the store deals in a generation of its group.
///
/// A store that comes back from an older copy counts generations again, so that its era goes before them: otherwise two hosts could
/// order with one token, or an engine that has seen a higher one would refuse everybody until the count has caught up.
pub fn generation_token(era: StoreEra, generation: GroupGeneration) -> FenceToken {
    let max = (1 << TOKEN_GENERATION_BITS) - 1;
    (era.min(max) << TOKEN_GENERATION_BITS) | generation.min(max)
}

/// Returns the era of the store that dealt a token.
pub const fn token_era(token: FenceToken) -> StoreEra {
    token >> TOKEN_GENERATION_BITS
}

/// Builds the id of the `counter`-th request of one life of `host`.
pub const fn request_id(host: HostId, incarnation: Incarnation, counter: u32) -> RequestId {
    ((host as u128) << 96) | ((incarnation as u128) << 32) | counter as u128
}

/// Returns the host that gave out a request id.
pub const fn request_host(request: RequestId) -> HostId {
    (request >> 96) as HostId
}

/// Returns the incarnation of the host that gave out a request id.
#[expect(clippy::cast_possible_truncation, reason = "the incarnation is 64 bits of the id")]
pub const fn request_incarnation(request: RequestId) -> Incarnation {
    (request >> 32) as Incarnation
}

/// Names what an engine holds in a slot: one version of one adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdapterKey {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its immutable version.
    pub version: AdapterVersion,
}
