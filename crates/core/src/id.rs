//! Identifiers. Most are small integers, to keep large tables compact.

/// Identifies an entry host. Assigned by operators in the host's own settings.
pub type HostId = u32;

/// The incarnation of a host or backend server, which increases with each restart. The value is the
/// wall clock at the start in milliseconds, so that it need not be persisted.
pub type Incarnation = u64;

/// Identifies a model engine, as in the platform's host list.
pub type EngineId = u32;

/// Identifies a data hall, as in the platform's host list.
pub type HallId = u16;

/// Identifies an adapter. The settings fold assigns ids in log order, so that they are the same on
/// every host.
pub type AdapterId = u32;

/// Identifies one immutable version of an adapter.
pub type AdapterVersion = u32;

/// Identifies an organisation. Assigned by the settings fold.
pub type OrganisationId = u32;

/// Identifies a service. Assigned by the settings fold.
pub type ServiceId = u32;

/// Identifies a request by host, incarnation and counter. Not reused across restarts.
pub type RequestId = u128;

/// The 128-bit hash of an idempotency key with its service and organisation.
pub type KeyHash = u128;

/// A fencing token. An engine refuses tokens lower than the highest one it has accepted.
pub type FenceToken = u64;

/// A revision of the settings tree: the number of accepted publications.
pub type Revision = u64;

/// The offset of a record within a stream of the platform's log.
pub type LogOffset = u64;

/// The number of times the platform's store was restored from an older copy; zero if the store does
/// not report it.
pub type StoreEra = u64;

/// The generation of the group of hosts: counts its membership changes within one era of the store.
pub type GroupGeneration = u64;

/// Bits of a fencing token that hold the host, so that two hosts never use the same token.
const TOKEN_HOST_BITS: u32 = 24;

/// Bits of a fencing token that the owner increments within an epoch.
const TOKEN_RAISE_BITS: u32 = 16;

/// Returns the token with which `host` takes over an engine whose highest known token is `seen`.
///
/// A token consists of a 24-bit epoch, the 24-bit host and a 16-bit count of raises. Only a takeover
/// starts a new epoch, so that a token raised by an owner stays below the token of a host that has
/// taken over the engine in the meantime.
pub const fn takeover_token(seen: FenceToken, host: HostId) -> FenceToken {
    let epoch = (seen >> (TOKEN_HOST_BITS + TOKEN_RAISE_BITS)) + 1;
    let host = host as u64 & ((1 << TOKEN_HOST_BITS) - 1);
    (epoch << (TOKEN_HOST_BITS + TOKEN_RAISE_BITS)) | (host << TOKEN_RAISE_BITS)
}

/// Returns the owner's next token within its epoch, or `None` if the epoch is exhausted.
pub const fn raised_token(own: FenceToken) -> Option<FenceToken> {
    let raises = own & ((1 << TOKEN_RAISE_BITS) - 1);
    if raises == (1 << TOKEN_RAISE_BITS) - 1 { None } else { Some(own + 1) }
}

/// Bits of a placer's fencing token that hold the generation of the group.
///
/// The remaining bits hold the era. Up to 2^21 eras keep the token below 2^53, which JSON parsers
/// represent exactly.
const TOKEN_GENERATION_BITS: u32 = 32;

/// Returns the fencing token of a placer's tenure in a generation of the group.
///
/// The era takes the high bits because a store that is restored from an older copy assigns
/// generations again. Otherwise two hosts could use the same token, or an engine that has seen a
/// higher one would refuse every host until the generation has caught up.
pub fn generation_token(era: StoreEra, generation: GroupGeneration) -> FenceToken {
    let max = (1 << TOKEN_GENERATION_BITS) - 1;
    (era.min(max) << TOKEN_GENERATION_BITS) | generation.min(max)
}

/// Returns the era of the store that issued a token.
pub const fn token_era(token: FenceToken) -> StoreEra {
    token >> TOKEN_GENERATION_BITS
}

/// Builds a request id from a host, its incarnation and a counter.
pub const fn request_id(host: HostId, incarnation: Incarnation, counter: u32) -> RequestId {
    ((host as u128) << 96) | ((incarnation as u128) << 32) | counter as u128
}

/// Returns the host that assigned a request id.
pub const fn request_host(request: RequestId) -> HostId {
    (request >> 96) as HostId
}

/// Returns the incarnation of the host that assigned a request id.
#[expect(clippy::cast_possible_truncation, reason = "the incarnation is 64 bits of the id")]
pub const fn request_incarnation(request: RequestId) -> Incarnation {
    (request >> 32) as Incarnation
}

/// Identifies one version of an adapter, as loaded into an engine's slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdapterKey {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its immutable version.
    pub version: AdapterVersion,
}
