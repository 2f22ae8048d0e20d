//! Codecs between the host's types and the HTTP messages of clients, engines and the store.
//!
//! An implementation encodes requests and decodes responses. It knows names and formats and makes
//! no decisions: no timers, no retries, no state. This crate does connections, timeouts and retries.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use reelreel_core::{
    StorePosition,
    fleet::{
        EngineEntry, ModelKey, WeightVersion,
        announcement::{Cooldown, Declared, EngineAnnouncements},
        prompt::PromptMetadata,
        routes::RouteTable,
    },
    id::{FenceToken, GroupGeneration, StoreEra},
    organisation::key::PresentedKey,
    placement::{EngineReport, OrderAnswer, PlannedOrder},
};
use reelreel_http::{HeaderFields, RequestHead, ResponseHead};

/// An HTTP request with a complete body.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The head, without `Host` and `Content-Length`, which are added when the request is sent.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// The response to a [`CallRequest`].
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The head.
    pub head: ResponseHead,
    /// The complete body.
    pub body: Bytes,
}

/// Why a message was not decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The server rejected the request and had no side effects.
    #[error("request rejected with status {0}; it is retried later")]
    Refused(u16),
    /// No record exists at the requested offset: it was removed, or the offset is beyond the end of a topic that was restored
    /// from an older copy.
    #[error("requested records no longer exist; the topic must be read again from a snapshot")]
    Gone,
    /// The configuration is invalid.
    #[error("invalid configuration: {0}")]
    Configuration(String),
    /// The message does not have the expected format.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Metadata of a client's request, apart from its route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Unique id of this attempt.
    pub id: String,
    /// How long the client waits for the response.
    pub deadline: Option<Duration>,
    /// The requested base model or adapter.
    pub model: Option<ModelKey>,
    /// Metadata of the prompt and of the expected output, as far as the request declares it.
    pub prompt: PromptMetadata,
    /// Declared cost against a token quota.
    pub tokens: Option<u64>,
    /// The API key that the request presents.
    pub key: PresentedKey,
    /// The stream that the client resumes, if it does.
    pub resumed: Option<ResumedStream>,
}

/// A stream that a client resumes after its connection has ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResumedStream {
    /// Id of the client's attempt that brought the first event of the stream, if the request names
    /// it.
    pub begun_as: Option<String>,
}

/// Why a client's request is rejected without being forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request has no id.
    #[error("the request carries no id; send one that no other attempt carries")]
    MissingId,
    /// A header field that must be a number is not one.
    #[error("a header field is not the number that it should be; write it in decimal digits")]
    InvalidNumber,
}

/// What the host adds to a request that it forwards to an engine.
#[derive(Debug, Clone)]
pub struct ForwardMetadata<'send> {
    /// The engine incarnation that must run the request; any other rejects it.
    pub engine: &'send str,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
    /// The requesting organisation, where keys identify one.
    pub organisation: Option<&'send str>,
    /// The required version of the weights.
    pub version: Option<WeightVersion>,
    /// Id of the last event received, when a stream is resumed.
    pub resume_after: Option<&'send str>,
}

/// Metadata of an engine's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that it belongs to; absent if it states none, or several.
    pub id: Option<String>,
    /// Whether the engine guarantees that the request has not run and will not run.
    pub not_run: bool,
    /// Whether the response says that another server is at this address, or that the model is not loaded there.
    pub misdirected: bool,
    /// Whether the engine itself, not an intermediary, sent the response.
    pub signed: bool,
    /// The version of the base model that ran the request; it does not cover the adapter's version.
    pub version: Declared<WeightVersion>,
    /// What the engine announces about itself: its limit, departure or cooldown.
    pub announcements: EngineAnnouncements,
}

/// Decodes clients' requests and encodes them for engines.
pub trait RequestCodec: Send + Sync {
    /// Decodes the metadata of a client's request.
    ///
    /// # Errors
    /// Returns why the request is rejected.
    fn decode_request(&self, head: &RequestHead) -> Result<RequestMetadata, RequestError>;

    /// Returns the header fields that only the host may set. They are removed from clients'
    /// requests before these are forwarded to an engine.
    fn reserved_fields(&self) -> &'static [&'static str];

    /// Sets the header fields for `metadata` on a request to an engine.
    ///
    /// The caller has removed [`Self::reserved_fields`].
    fn set_forward_metadata(&self, fields: &mut HeaderFields, metadata: &ForwardMetadata<'_>);

    /// Decodes the metadata of an engine's response.
    fn decode_response(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Decodes what any response of an engine, also to an order or a report request, announces about it.
    fn decode_announcements(&self, head: &ResponseHead) -> EngineAnnouncements;

    /// Sets the request id on a response that the host itself generates.
    fn set_response_id(&self, fields: &mut HeaderFields, id: &str);

    /// Returns the path of the host's readiness check.
    fn readiness_path(&self) -> &'static str;
}

/// Encodes and decodes the messages of an engine's control interface.
pub trait EngineCodec: Send + Sync {
    /// Encodes an order.
    fn encode_order(&self, order: &PlannedOrder, holder: &str, token: FenceToken) -> CallRequest;

    /// Decodes the response to an order.
    fn decode_order_response(&self, response: &CallResponse) -> OrderAnswer;

    /// Encodes a request for a report.
    fn encode_report_request(&self, engine: &str) -> CallRequest;

    /// Decodes a report.
    ///
    /// # Errors
    /// Returns why the response is not a report.
    fn decode_report(&self, response: &CallResponse) -> Result<EngineReport, CodecError>;
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; empty when the key was deleted.
    pub value: Bytes,
    /// Position in the topic.
    pub position: StorePosition,
}

/// A page of a topic snapshot, which has the latest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotPage {
    /// The records of this page.
    pub records: Vec<KeyedRecord>,
    /// Whether more pages follow.
    pub more: bool,
    /// The end of the topic.
    pub end: StorePosition,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Position after the last record, including records that could not be decoded.
    pub next: StorePosition,
    /// The end of the topic.
    pub end: StorePosition,
}

/// What the platform assigns to a group member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The era of the store in which the assignment is valid.
    pub era: StoreEra,
    /// Increases with every change of the group within an era.
    pub generation: GroupGeneration,
    /// The member's partitions.
    pub partitions: Vec<u32>,
}

/// Topics of the store that hosts read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyedTopic {
    /// Configurations and weight versions, written by the operator.
    Configuration,
    /// Engine entries, written by the engines.
    Engines,
    /// Records that the hosts themselves keep.
    Hosts,
    /// The software versions that began streams, written by the hosts.
    Streams,
}

/// A decoded record of the configuration topic.
#[derive(Debug, Clone)]
pub enum ConfigurationRecord {
    /// A complete configuration.
    Routes(Arc<RouteTable>),
    /// The current version of a model's or adapter's weights.
    Version(ModelKey, WeightVersion),
    /// A record that hosts do not use.
    Other,
}

/// Encodes and decodes the messages of the platform's store.
pub trait StoreCodec: Send + Sync {
    /// Decodes the cooldown that the store requests in a rejection.
    fn decode_cooldown(&self, response: &CallResponse) -> Option<Cooldown>;

    /// Decodes the store's era, which every response carries, also a rejection; zero without one.
    fn decode_era(&self, response: &CallResponse) -> StoreEra;

    /// Encodes a request for a page of a topic snapshot, from the key after `after` on.
    fn encode_snapshot_request(&self, topic: KeyedTopic, after: Option<&str>) -> CallRequest;

    /// Decodes a page of a snapshot.
    ///
    /// # Errors
    /// Returns that the store rejected the request, or that the response is malformed.
    fn decode_snapshot_page(&self, response: &CallResponse) -> Result<SnapshotPage, CodecError>;

    /// Encodes a long poll for the records from a position on, held for up to `wait`.
    fn encode_read_request(
        &self,
        topic: KeyedTopic,
        from: StorePosition,
        wait: Duration,
    ) -> CallRequest;

    /// Decodes records.
    ///
    /// # Errors
    /// Returns that the store rejected the request, that the records are gone, or that the response is malformed.
    fn decode_records(
        &self,
        from: StorePosition,
        response: &CallResponse,
    ) -> Result<RecordBatch, CodecError>;

    /// Encodes a call that writes a record.
    fn encode_append(&self, topic: KeyedTopic, key: &str, value: &[u8]) -> CallRequest;

    /// Checks the response to a call that writes a record.
    ///
    /// # Errors
    /// Returns that the record was not written.
    fn check_append(&self, response: &CallResponse) -> Result<(), CodecError>;

    /// Encodes a request that joins the group of hosts or renews the membership; `generation` is the last one received in this
    /// era.
    fn encode_join(
        &self,
        member: &str,
        time_to_live: Duration,
        generation: GroupGeneration,
    ) -> CallRequest;

    /// Decodes the partitions assigned to the member.
    ///
    /// # Errors
    /// Returns that the store rejected the request, or that the response is malformed.
    fn decode_assignment(&self, response: &CallResponse) -> Result<GroupAssignment, CodecError>;

    /// Encodes a request that leaves the group.
    fn encode_leave(&self, member: &str) -> CallRequest;

    /// Encodes a request for the owners of all partitions.
    fn encode_owners_request(&self) -> CallRequest;

    /// Decodes the owners, by partition.
    ///
    /// # Errors
    /// Returns that the store rejected the request, or that the response is malformed.
    fn decode_owners(&self, response: &CallResponse) -> Result<HashMap<u32, String>, CodecError>;

    /// Decodes a record of the configuration topic.
    ///
    /// # Errors
    /// Returns why the record is invalid.
    fn decode_configuration(&self, record: &KeyedRecord)
    -> Result<ConfigurationRecord, CodecError>;

    /// Decodes an engine's entry.
    ///
    /// # Errors
    /// Returns why the record is invalid.
    fn decode_engine(&self, record: &KeyedRecord) -> Result<EngineEntry, CodecError>;
}

/// Resolves the addresses to which this host connects for engines.
pub trait AddressResolver: Send + Sync {
    /// Returns the address for connections to an engine.
    fn engine_address(&self, entry: &EngineEntry) -> SocketAddr;
}

/// Resolves engines to the addresses in their entries.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListedAddresses;

impl AddressResolver for ListedAddresses {
    fn engine_address(&self, entry: &EngineEntry) -> SocketAddr {
        entry.address
    }
}

/// The codecs that a host uses, and how it resolves addresses.
#[derive(Clone)]
pub struct Codecs {
    /// For clients' requests, also towards engines.
    pub request: Arc<dyn RequestCodec>,
    /// For orders to engines and their reports.
    pub engine: Arc<dyn EngineCodec>,
    /// For the platform's store.
    pub store: Arc<dyn StoreCodec>,
    /// For connections to engines.
    pub addresses: Arc<dyn AddressResolver>,
}
