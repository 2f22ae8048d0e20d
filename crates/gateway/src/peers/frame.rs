//! The frames between hosts.
//!
//! Field numbers are never reused; a host ignores frames of an unknown kind.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineName, LoadedModel, ModelKey, work::EngineWork},
    placement::{
        AbsentEntry, DemandEntry, HostWork, LoadSchedule, OpenRequestsEntry, StoreThroughput,
    },
};

use prost::Message as _;

use crate::control::host_count::HostReport;
use crate::peers::{
    aggregate_frames::{AggregateFrame, HostReportFrame},
    origin_messages::{OriginRequestFrame, OriginResponseFrame, StreamOriginsFrame},
    state_frames::{FollowFrame, StateFrame, StateRequestFrame},
    tunnel_messages::{TunnelRequestFrame, TunnelResponseFrame},
};

/// A frame between hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// The content.
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<FrameBody>,
}

/// An encoded frame.
///
/// The send queues of hundreds of subscribers share the same bytes.
#[derive(Debug, Clone)]
pub struct EncodedFrame {
    /// The kind of frame, for metrics.
    pub kind: &'static str,
    /// The bytes, without the length prefix.
    pub bytes: bytes::Bytes,
}

/// The content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameBody {
    /// A host's demand in one placement domain.
    #[prost(message, tag = "1")]
    Demand(DemandFrame),
    /// The placer's plan for one placement domain.
    #[prost(message, tag = "2")]
    Plan(PlanFrame),
    /// Requests the peer's store data.
    #[prost(message, tag = "3")]
    StateRequest(StateRequestFrame),
    /// A host's store data.
    #[prost(message, tag = "4")]
    State(StateFrame),
    /// Subscribes to the peer's store data.
    #[prost(message, tag = "5")]
    Follow(FollowFrame),
    /// A host's values for the aggregating host.
    #[prost(message, tag = "6")]
    HostReport(HostReportFrame),
    /// The aggregate of all hosts' values.
    #[prost(message, tag = "7")]
    Aggregate(AggregateFrame),
    /// Asks for a tunnel to an engine.
    #[prost(message, tag = "8")]
    TunnelRequest(TunnelRequestFrame),
    /// Whether the tunnel was opened.
    #[prost(message, tag = "9")]
    TunnelResponse(TunnelResponseFrame),
    /// Tells a keeper which software versions began streams.
    #[prost(message, tag = "10")]
    StreamOrigins(StreamOriginsFrame),
    /// Asks a keeper which software version began a stream.
    #[prost(message, tag = "11")]
    OriginRequest(OriginRequestFrame),
    /// The software version, if the keeper knows it.
    #[prost(message, tag = "12")]
    OriginResponse(OriginResponseFrame),
}

/// A host's demand in one placement domain. Tags 8 and 9 are retired.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandFrame {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The domain's service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Demand for models and adapters that changed since the last frame.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<DemandMessage>,
    /// The host's work at engines, where it changed.
    #[prost(message, repeated, tag = "4")]
    pub work: Vec<EngineWorkMessage>,
    /// The host's open requests by engine and model or adapter, where they changed.
    #[prost(message, repeated, tag = "5")]
    pub open_requests: Vec<OpenRequestsMessage>,
    /// Models and adapters that engines reported as not loaded.
    #[prost(message, repeated, tag = "6")]
    pub absent: Vec<AbsentModelMessage>,
    /// Engines that the host can't use now: connecting failed, or they are in a cooldown for this host.
    #[prost(string, repeated, tag = "7")]
    pub unreachable: Vec<String>,
    /// The weight store's throughput as measured by earlier placers, for a new placer.
    #[prost(message, optional, tag = "10")]
    pub store_throughput: Option<StoreThroughputMessage>,
}

/// A host's work at an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineWorkMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of open requests.
    #[prost(uint32, tag = "2")]
    pub open: u32,
    /// Prompt tokens that are not yet prefilled.
    #[prost(uint64, tag = "3")]
    pub pending_prefill_tokens: u64,
}

/// A host's open requests at an engine for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenRequestsMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model or adapter.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Number of open requests; zero clears an earlier value.
    #[prost(uint32, tag = "3")]
    pub open: u32,
}

/// An engine's report that a model or adapter is not loaded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AbsentModelMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model or adapter.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Time since the report. Unit: milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Demand for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandMessage {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Number of new requests since the last frame.
    #[prost(uint32, tag = "2")]
    pub new_requests: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Total value of the waiting requests; an average request has the value one.
    #[prost(float, tag = "4")]
    pub waiting_value: f32,
    /// Prompt tokens of the new requests.
    #[prost(uint64, tag = "5")]
    pub new_prompt_tokens: u64,
    /// Prompt tokens of the waiting requests.
    #[prost(uint64, tag = "6")]
    pub waiting_prompt_tokens: u64,
    /// Whether every copy is at an engine that currently accepts no requests from the host.
    #[prost(bool, tag = "7")]
    pub copies_unavailable: bool,
    /// The software version of the engine that a waiting request needs, if any does.
    #[prost(string, optional, tag = "8")]
    pub needed_software: Option<String>,
}

/// The placer's plan for one placement domain. Tags 6, 8 and 12 are retired.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlanFrame {
    /// The domain's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The placer's fencing token; receivers ignore frames with an earlier one.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// The complete set of loaded models of engines where it changed.
    #[prost(message, repeated, tag = "3")]
    pub engines: Vec<EngineModelsMessage>,
    /// Estimated load times of queued adapters.
    #[prost(message, repeated, tag = "4")]
    pub estimates: Vec<LoadEstimateMessage>,
    /// Number of hosts, as counted by the placer.
    #[prost(uint32, tag = "5")]
    pub hosts: u32,
    /// Whether that count is complete.
    #[prost(bool, tag = "13")]
    pub hosts_complete: bool,
    /// The weight store's throughput as estimated by the placer, for the next placer.
    #[prost(message, optional, tag = "7")]
    pub store_throughput: Option<StoreThroughputMessage>,
    /// Models that engines have loaded or unloaded.
    #[prost(message, repeated, tag = "9")]
    pub changes: Vec<EngineChangeMessage>,
    /// Numbers of the engines in `work`, each sent before its first use.
    #[prost(message, repeated, tag = "10")]
    pub engine_numbers: Vec<EngineNumberMessage>,
    /// The work of all hosts at engines, where it changed, as triples: the engine's number, the number of
    /// open requests and the pending prefill tokens.
    #[prost(uint64, repeated, packed = "true", tag = "11")]
    pub work: Vec<u64>,
}

impl PlanFrame {
    /// Returns the placer's report of the number of hosts.
    pub const fn host_report(&self) -> HostReport {
        HostReport { hosts: self.hosts, complete: self.hosts_complete }
    }
}

/// The change of an engine's loaded models since the last frame with this engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineChangeMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Models that were loaded, or whose version changed.
    #[prost(message, repeated, tag = "2")]
    pub added: Vec<LoadedModelMessage>,
    /// Keys of models that were unloaded.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
}

/// The number that stands for an engine in a placer's frames.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineNumberMessage {
    /// The number.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// The throughput of the weight store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreThroughputMessage {
    /// Number of parallel loads that do not slow each other down.
    #[prost(float, tag = "1")]
    pub parallel_loads: f32,
    /// Duration of one such load. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub load_time_ms: u32,
}

/// The loaded models of one engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineModelsMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// All loaded models and adapters.
    #[prost(message, repeated, tag = "2")]
    pub loaded_models: Vec<LoadedModelMessage>,
    /// The engine's incarnation; zero if unknown. Unit: milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// A loaded model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadedModelMessage {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The estimated load time of an adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadEstimateMessage {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Time until the adapter is expected to be loaded. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub expected_in_ms: u32,
    /// Whether the load is not ordered yet.
    #[prost(bool, tag = "3")]
    pub queued: bool,
}

impl PeerFrame {
    /// Creates a frame.
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
            Some(FrameBody::TunnelRequest(_) | FrameBody::TunnelResponse(_)) => "tunnel",
            Some(
                FrameBody::StreamOrigins(_)
                | FrameBody::OriginRequest(_)
                | FrameBody::OriginResponse(_),
            ) => "origin",
            None => "none",
        }
    }
}

impl FrameBody {
    /// Encodes a frame with this content.
    pub fn encoded(self) -> EncodedFrame {
        PeerFrame::new(self).encoded()
    }
}

impl From<&DemandEntry> for DemandMessage {
    fn from(entry: &DemandEntry) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "f32 is precise enough for a value")]
        let waiting_value = entry.waiting_value as f32;
        Self {
            key: entry.key.to_string(),
            new_requests: entry.new_requests,
            waiting: entry.waiting,
            waiting_value,
            new_prompt_tokens: entry.new_prompt_tokens,
            waiting_prompt_tokens: entry.waiting_prompt_tokens,
            copies_unavailable: entry.copies_unavailable,
            needed_software: entry.needed_software.as_ref().map(ToString::to_string),
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
            needed_software: message.needed_software.as_deref().map(Arc::from),
        }
    }
}

impl DemandFrame {
    /// Returns the host's work at engines.
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
        #[expect(
            clippy::cast_possible_truncation,
            reason = "f32 is precise enough for an estimate"
        )]
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
    /// Creates a message from a schedule, unless no load is known.
    pub fn new(key: &ModelKey, schedule: LoadSchedule, now: ClockMillis) -> Option<Self> {
        let expected_in = schedule.due()?.since(now);
        Some(Self {
            key: key.to_string(),
            expected_in_ms: u32::try_from(expected_in.as_millis()).unwrap_or(u32::MAX),
            queued: matches!(schedule, LoadSchedule::Queued { .. }),
        })
    }

    /// Returns the schedule, for a message received at `now`.
    pub fn schedule(&self, now: ClockMillis) -> LoadSchedule {
        let due = now + Duration::from_millis(u64::from(self.expected_in_ms));
        if self.queued { LoadSchedule::Queued { due } } else { LoadSchedule::Loading { due } }
    }
}
