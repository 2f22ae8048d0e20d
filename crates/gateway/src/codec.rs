//! What the host needs from whatever it speaks with, as traits that only translate.
//!
//! An implementation writes calls and reads answers. It holds names and formats and decides
//! nothing: no timer, no retry, no state. Sockets, patience and repeats are this crate's own.

use std::{collections::HashMap, sync::Arc, time::Duration};

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

/// A call as a head and a whole body; the body's length is added when it is sent.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The head, without `Host` and `Content-Length`.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// The head.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Bytes,
}

/// Why an answer could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The peer refused the call and did nothing.
    #[error("the call was refused with status {0}; it is repeated later")]
    Refused(u16),
    /// There is no record at the asked offset: what was there is gone, or it lies beyond the end of a topic that has come back
    /// shorter.
    #[error("the records asked for are gone; the newest values must be read anew")]
    Gone,
    /// A configuration exists that can not be used.
    #[error("the configuration can not be used: {0}")]
    Configuration(String),
    /// The answer is not what was asked for.
    #[error("the answer can not be read: {0}")]
    Malformed(String),
}

/// What a client's request says beside its route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The attempt's own id.
    pub id: String,
    /// How long the client will wait.
    pub deadline: Option<Duration>,
    /// The base model or adapter that it names.
    pub model: Option<ModelKey>,
    /// What its prompt and answer are made of, as far as it says.
    pub prompt: PromptMetadata,
    /// What it counts against a quota in tokens, where it says so.
    pub tokens: Option<u64>,
    /// What it shows as its organisation's key.
    pub key: PresentedKey,
}

/// Why a client's request is refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It carries no id.
    #[error("the request carries no id; send one that no other attempt carries")]
    MissingId,
    /// A field is not a number where one is due.
    #[error("a header field is not the number that it should be; write it in decimal digits")]
    InvalidNumber,
}

/// What the host adds to a request that it sends to an engine.
#[derive(Debug, Clone)]
pub struct ForwardMetadata<'send> {
    /// The life of the engine that must run it, no other.
    pub engine: &'send str,
    /// What is left of the time.
    pub remaining: Duration,
    /// The rank of the request; zero is the most urgent.
    pub priority: u8,
    /// The organisation that asks, where keys tell.
    pub organisation: Option<&'send str>,
    /// The version of the weights that it must run on.
    pub version: Option<WeightVersion>,
    /// The event after which the stream goes on, when it does not begin anew.
    pub resume_after: Option<&'send str>,
}

/// What an engine's answer says beside its body.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the engine promises that the request has not run and will not.
    pub not_run: bool,
    /// Whether the answer says that something else is at this address, or not held there.
    pub misdirected: bool,
    /// Whether the engine itself made the answer.
    pub signed: bool,
    /// The version of the base model that the engine ran the request on; it says nothing of an adapter's.
    pub version: Declared<WeightVersion>,
    /// What the engine announces about itself.
    pub announcements: EngineAnnouncements,
}

/// Translates between the host and its clients and engines.
pub trait RequestCodec: Send + Sync {
    /// Reads what a client's request says.
    ///
    /// # Errors
    /// Returns why the request is refused.
    fn decode_request(&self, head: &RequestHead) -> Result<RequestMetadata, RequestError>;

    /// Returns the fields of a request that only this system sets: what a client wrote there is
    /// taken out before a request goes to an engine.
    fn reserved_fields(&self) -> &'static [&'static str];

    /// Puts the terms into the header fields of a request that goes to an engine.
    ///
    /// The fields of [`Self::reserved_fields`] have been taken out before.
    fn set_forward_metadata(&self, fields: &mut HeaderFields, terms: &ForwardMetadata<'_>);

    /// Reads what an engine's answer says.
    fn decode_response(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Reads what any response of an engine, also to an order or for a report, announces about it.
    fn decode_announcements(&self, head: &ResponseHead) -> EngineAnnouncements;

    /// Marks an answer of the host's own as belonging to a request.
    fn set_response_id(&self, fields: &mut HeaderFields, id: &str);

    /// Returns the path that asks whether the host takes requests.
    fn readiness_path(&self) -> &'static str;
}

/// Translates between the host and an engine's control side.
pub trait EngineCodec: Send + Sync {
    /// Writes an order.
    fn encode_order(&self, order: &PlannedOrder, holder: &str, token: FenceToken) -> CallRequest;

    /// Reads the answer to an order.
    fn decode_order_response(&self, response: &CallResponse) -> OrderAnswer;

    /// Writes a call for a report.
    fn encode_report_request(&self, engine: &str) -> CallRequest;

    /// Reads a report.
    ///
    /// # Errors
    /// Returns that it is none.
    fn decode_report(&self, response: &CallResponse) -> Result<EngineReport, CodecError>;
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value; empty where the key was dropped.
    pub value: Bytes,
    /// Its place in the topic.
    pub position: StorePosition,
}

/// A page of the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotPage {
    /// The records of this page.
    pub records: Vec<KeyedRecord>,
    /// Whether more keys follow after the last one.
    pub more: bool,
    /// The end of the topic.
    pub end: StorePosition,
}

/// Records of a topic in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Where reading goes on: behind the last record, also one that could not be read.
    pub next: StorePosition,
    /// The end of the topic.
    pub end: StorePosition,
}

/// What the platform deals to a member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The era of the store in which this holds.
    pub era: StoreEra,
    /// Rises with every change of the group within an era.
    pub generation: GroupGeneration,
    /// The partitions that belong to the member.
    pub partitions: Vec<u32>,
}

/// The topics that the operator and the engines write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyedTopic {
    /// Configurations and named versions.
    Configuration,
    /// The engines' own entries.
    Engines,
}

/// What a record of the configuration topic says.
#[derive(Debug, Clone)]
pub enum ConfigurationRecord {
    /// A whole configuration.
    Routes(Arc<RouteTable>),
    /// A version of a model's or adapter's weights.
    Version(ModelKey, WeightVersion),
    /// Something that concerns nobody here.
    Other,
}

/// Translates between the host and the platform's store.
pub trait StoreCodec: Send + Sync {
    /// Reads how long the store wants no calls from this host, where a refusal says so.
    fn decode_cooldown(&self, response: &CallResponse) -> Option<Cooldown>;

    /// Reads the era of the store that every answer of it carries, refusals too; zero where it carries none.
    fn decode_era(&self, response: &CallResponse) -> StoreEra;

    /// Writes a call for a page of the newest records of a topic.
    fn encode_snapshot_request(&self, topic: KeyedTopic, after: Option<&str>) -> CallRequest;

    /// Reads a page of newest records.
    ///
    /// # Errors
    /// Returns that the store refused, or that the answer is none.
    fn decode_snapshot_page(&self, response: &CallResponse) -> Result<SnapshotPage, CodecError>;

    /// Writes a call for the records from a position on, held until there are some.
    fn encode_read_request(
        &self,
        topic: KeyedTopic,
        from: StorePosition,
        wait: Duration,
    ) -> CallRequest;

    /// Reads records.
    ///
    /// # Errors
    /// Returns that the store refused, that the records are gone, or that the answer is none.
    fn decode_records(
        &self,
        from: StorePosition,
        response: &CallResponse,
    ) -> Result<RecordBatch, CodecError>;

    /// Writes a call that joins the group of hosts, or stays in it; `generation` is the last one heard in this era.
    fn encode_join(
        &self,
        member: &str,
        time_to_live: Duration,
        generation: GroupGeneration,
    ) -> CallRequest;

    /// Reads what was dealt to the member.
    ///
    /// # Errors
    /// Returns that the store refused, or that the answer is none.
    fn decode_assignment(&self, response: &CallResponse) -> Result<GroupAssignment, CodecError>;

    /// Writes a call that leaves the group.
    fn encode_leave(&self, member: &str) -> CallRequest;

    /// Writes a call for the holders of all partitions.
    fn encode_owners_request(&self) -> CallRequest;

    /// Reads the holders, by partition.
    ///
    /// # Errors
    /// Returns that the store refused, or that the answer is none.
    fn decode_owners(&self, response: &CallResponse) -> Result<HashMap<u32, String>, CodecError>;

    /// Reads a record of the configuration topic.
    ///
    /// # Errors
    /// Returns that the record can not be read.
    fn decode_configuration(&self, record: &KeyedRecord)
    -> Result<ConfigurationRecord, CodecError>;

    /// Reads an engine's entry.
    ///
    /// # Errors
    /// Returns that the record can not be read.
    fn decode_engine(&self, record: &KeyedRecord) -> Result<EngineEntry, CodecError>;
}

/// Everything that is spoken at the host's borders.
#[derive(Clone)]
pub struct Codecs {
    /// With clients, and with engines about requests.
    pub request: Arc<dyn RequestCodec>,
    /// With engines about what they hold.
    pub engine: Arc<dyn EngineCodec>,
    /// With the platform's store.
    pub store: Arc<dyn StoreCodec>,
}
