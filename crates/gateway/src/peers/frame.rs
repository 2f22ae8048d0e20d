//! The frames between hosts of the system.
//!
//! Field numbers are never used again; a frame kind that a host does not know is passed over.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    fleet::{EngineName, LoadedModel, ModelKey, work::EngineWork},
    placement::{AbsentEntry, DemandEntry, HostWork, OpenRequestsEntry, StoreThroughput},
};

use prost::Message as _;

use crate::peers::{
    aggregate_frames::{AggregateFrame, HostReportFrame},
    state_frames::{FollowFrame, StateFrame, StateRequestFrame},
};

/// One frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// What it says.
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<FrameBody>,
}

/// A frame as it goes over a connection: encoded once, however many hosts get it.
///
/// A queue for each of hundreds of listeners holds references to the same bytes.
#[derive(Debug, Clone)]
pub struct EncodedFrame {
    /// What kind of frame it is, for metrics.
    pub kind: &'static str,
    /// Its bytes, without their length.
    pub bytes: bytes::Bytes,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameBody {
    /// What a host is asked for.
    #[prost(message, tag = "1")]
    Demand(DemandFrame),
    /// What the placer has decided.
    #[prost(message, tag = "2")]
    Plan(PlanFrame),
    /// Asks for what the peer has read from the store.
    #[prost(message, tag = "3")]
    StateRequest(StateRequestFrame),
    /// What a host has read from the store.
    #[prost(message, tag = "4")]
    State(StateFrame),
    /// Asks for what the peer reads from the store from now on.
    #[prost(message, tag = "5")]
    Follow(FollowFrame),
    /// What a host counts, for the host that adds up.
    #[prost(message, tag = "6")]
    HostReport(HostReportFrame),
    /// What all hosts counted together.
    #[prost(message, tag = "7")]
    Aggregate(AggregateFrame),
}

/// What a host is asked for in one placement domain. Tags 8 and 9 are used up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandFrame {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The domain's service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// What changed since the last frame.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<DemandMessage>,
    /// The host's work at engines where it changed.
    #[prost(message, repeated, tag = "4")]
    pub work: Vec<EngineWorkMessage>,
    /// The host's requests at engines by model or adapter where they changed.
    #[prost(message, repeated, tag = "5")]
    pub open_requests: Vec<OpenRequestsMessage>,
    /// What engines said that they do not hold.
    #[prost(message, repeated, tag = "6")]
    pub absent: Vec<AbsentModelMessage>,
    /// Engines that the host can't use now: no connection came about, or they want no requests from it.
    #[prost(string, repeated, tag = "7")]
    pub unreachable: Vec<String>,
}

/// What an engine has to do.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineWorkMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Requests that are open there.
    #[prost(uint32, tag = "2")]
    pub open: u32,
    /// Prompts that it has not read yet. Unit: tokens.
    #[prost(uint64, tag = "3")]
    pub pending_prefill_tokens: u64,
}

/// A host's requests at an engine for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenRequestsMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model or adapter.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Requests that are open; none ends an earlier word.
    #[prost(uint32, tag = "3")]
    pub open: u32,
}

/// An engine's word to a host that it does not hold something.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AbsentModelMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model or adapter.
    #[prost(string, tag = "2")]
    pub key: String,
    /// How long ago it said so. Unit: milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Demand for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandMessage {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Requests since the last frame.
    #[prost(uint32, tag = "2")]
    pub new_requests: u32,
    /// Requests that wait now.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Their worth; the mean request is worth one.
    #[prost(float, tag = "4")]
    pub waiting_value: f32,
    /// The prompts of the requests since the last frame. Unit: tokens.
    #[prost(uint64, tag = "5")]
    pub new_prompt_tokens: u64,
    /// The prompts of the requests that wait. Unit: tokens.
    #[prost(uint64, tag = "6")]
    pub waiting_prompt_tokens: u64,
    /// Whether every copy is at an engine that takes no requests from the host now.
    #[prost(bool, tag = "7")]
    pub copies_unavailable: bool,
}

/// What the placer of one domain has decided. Tags 6, 8 and 12 are used up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlanFrame {
    /// The domain's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The placer's token; a frame of an earlier one is passed over.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// What engines hold whose holdings changed.
    #[prost(message, repeated, tag = "3")]
    pub engines: Vec<EngineModelsMessage>,
    /// In what time queued adapters are expected.
    #[prost(message, repeated, tag = "4")]
    pub estimates: Vec<LoadEstimateMessage>,
    /// How many hosts listen to the placer, itself included.
    #[prost(uint32, tag = "5")]
    pub hosts: u32,
    /// The weight store's pace as the placer has learnt it, for who comes after it.
    #[prost(message, optional, tag = "7")]
    pub store_throughput: Option<StoreThroughputMessage>,
    /// What engines hold that they did not before, and the other way round.
    #[prost(message, repeated, tag = "9")]
    pub changes: Vec<EngineChangeMessage>,
    /// The numbers of engines in `work`, each told before it is first used.
    #[prost(message, repeated, tag = "10")]
    pub engine_numbers: Vec<EngineNumberMessage>,
    /// The work of all hosts at engines where it changed: an engine's number, the requests that are open
    /// there and the tokens that it has not read yet, again and again.
    #[prost(uint64, repeated, packed = "true", tag = "11")]
    pub work: Vec<u64>,
}

/// How an engine's holdings changed since the last frame that named it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineChangeMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// What it holds since then, or in another version.
    #[prost(message, repeated, tag = "2")]
    pub added: Vec<LoadedModelMessage>,
    /// What it holds no more.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
}

/// The number by which a placer's frames name an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineNumberMessage {
    /// The number.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// How fast the weight store serves adapters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreThroughputMessage {
    /// How many come at a time without slowing one another down.
    #[prost(float, tag = "1")]
    pub parallel_loads: f32,
    /// How long one of these takes. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub load_time_ms: u32,
}

/// What one engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineModelsMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Everything that it holds.
    #[prost(message, repeated, tag = "2")]
    pub loaded_models: Vec<LoadedModelMessage>,
    /// The life of the engine that holds it; zero where it does not say. Unit: milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Something that an engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadedModelMessage {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// When an adapter is expected.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadEstimateMessage {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// In what time it is expected. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub expected_in_ms: u32,
}

impl PeerFrame {
    /// Wraps what a frame says.
    pub const fn new(body: FrameBody) -> Self {
        Self { body: Some(body) }
    }

    /// Encodes the frame.
    pub fn encoded(&self) -> EncodedFrame {
        EncodedFrame { kind: self.kind(), bytes: self.encode_to_vec().into() }
    }

    const fn kind(&self) -> &'static str {
        match &self.body {
            Some(FrameBody::Demand(_)) => "demand",
            Some(FrameBody::Plan(_)) => "plan",
            Some(FrameBody::StateRequest(_)) => "ask",
            Some(FrameBody::State(_)) => "state",
            Some(FrameBody::Follow(_)) => "follow",
            Some(FrameBody::HostReport(_)) => "count",
            Some(FrameBody::Aggregate(_)) => "sums",
            None => "none",
        }
    }
}

impl FrameBody {
    /// Encodes a frame that says this.
    pub fn encoded(self) -> EncodedFrame {
        PeerFrame::new(self).encoded()
    }
}

impl From<&DemandEntry> for DemandMessage {
    fn from(entry: &DemandEntry) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a worth needs few digits")]
        let waiting_value = entry.waiting_value as f32;
        Self {
            key: entry.key.to_string(),
            new_requests: entry.new_requests,
            waiting: entry.waiting,
            waiting_value,
            new_prompt_tokens: entry.new_prompt_tokens,
            waiting_prompt_tokens: entry.waiting_prompt_tokens,
            copies_unavailable: entry.copies_unavailable,
        }
    }
}

impl From<&DemandMessage> for DemandEntry {
    fn from(message: &DemandMessage) -> Self {
        Self {
            key: Arc::from(message.key.as_str()),
            new_requests: message.new_requests,
            new_prompt_tokens: message.new_prompt_tokens,
            waiting: message.waiting,
            waiting_prompt_tokens: message.waiting_prompt_tokens,
            waiting_value: f64::from(message.waiting_value),
            copies_unavailable: message.copies_unavailable,
        }
    }
}

impl DemandFrame {
    /// Returns what the host has at engines.
    pub fn work(&self) -> HostWork {
        HostWork {
            engines: self.work.iter().map(Into::into).collect(),
            open_requests: self.open_requests.iter().map(Into::into).collect(),
            absent: self.absent.iter().map(Into::into).collect(),
            unreachable: self.unreachable.iter().map(|engine| Arc::from(engine.as_str())).collect(),
        }
    }
}

impl From<&AbsentEntry> for AbsentModelMessage {
    fn from(entry: &AbsentEntry) -> Self {
        let age_ms = u32::try_from(entry.age.as_millis()).unwrap_or(u32::MAX);
        Self { engine: entry.engine.to_string(), key: entry.key.to_string(), age_ms }
    }
}

impl From<&AbsentModelMessage> for AbsentEntry {
    fn from(message: &AbsentModelMessage) -> Self {
        let (engine, key) = (Arc::from(message.engine.as_str()), Arc::from(message.key.as_str()));
        Self { engine, key, age: Duration::from_millis(u64::from(message.age_ms)) }
    }
}

impl From<StoreThroughput> for StoreThroughputMessage {
    fn from(throughput: StoreThroughput) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a pace needs few digits")]
        let parallel_loads = throughput.parallel_loads as f32;
        let load_time_ms = u32::try_from(throughput.load_time.as_millis()).unwrap_or(u32::MAX);
        Self { parallel_loads, load_time_ms }
    }
}

impl From<&StoreThroughputMessage> for StoreThroughput {
    fn from(message: &StoreThroughputMessage) -> Self {
        let load_time = Duration::from_millis(u64::from(message.load_time_ms));
        Self { parallel_loads: f64::from(message.parallel_loads), load_time }.clamped()
    }
}

impl From<&(EngineName, EngineWork)> for EngineWorkMessage {
    fn from((engine, work): &(EngineName, EngineWork)) -> Self {
        Self {
            engine: engine.to_string(),
            open: work.open,
            pending_prefill_tokens: work.pending_prefill_tokens,
        }
    }
}

impl From<&EngineWorkMessage> for (EngineName, EngineWork) {
    fn from(message: &EngineWorkMessage) -> Self {
        let work = EngineWork {
            open: message.open,
            pending_prefill_tokens: message.pending_prefill_tokens,
        };
        (Arc::from(message.engine.as_str()), work)
    }
}

impl From<&OpenRequestsEntry> for OpenRequestsMessage {
    fn from(entry: &OpenRequestsEntry) -> Self {
        Self { engine: entry.engine.to_string(), key: entry.key.to_string(), open: entry.open }
    }
}

impl From<&OpenRequestsMessage> for OpenRequestsEntry {
    fn from(message: &OpenRequestsMessage) -> Self {
        let engine = Arc::from(message.engine.as_str());
        Self { engine, key: Arc::from(message.key.as_str()), open: message.open }
    }
}

impl From<&LoadedModel> for LoadedModelMessage {
    fn from(model: &LoadedModel) -> Self {
        Self { key: model.key.to_string(), version: model.version }
    }
}

impl From<&LoadedModelMessage> for LoadedModel {
    fn from(message: &LoadedModelMessage) -> Self {
        Self { key: Arc::from(message.key.as_str()), version: message.version }
    }
}

impl LoadEstimateMessage {
    /// Writes an estimate.
    pub fn new(key: &ModelKey, time: Duration) -> Self {
        Self {
            key: key.to_string(),
            expected_in_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
