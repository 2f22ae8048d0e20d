//! The frames between hosts of the system.
//!
//! Field numbers are never used again; a frame kind that a host does not know is passed over.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    fleet::{EngineName, LoadedModel, ModelKey, work::EngineWork},
    placement::{AbsentEntry, DemandEntry, HostWork, RunEntry, StorePace},
};

use prost::Message as _;

use crate::peers::{
    state_frames::{AskFrame, FollowFrame, StateFrame},
    sum_frames::{CountFrame, SumFrame},
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
    Ask(AskFrame),
    /// What a host has read from the store.
    #[prost(message, tag = "4")]
    State(StateFrame),
    /// Asks for what the peer reads from the store from now on.
    #[prost(message, tag = "5")]
    Follow(FollowFrame),
    /// What a host counts, for the host that adds up.
    #[prost(message, tag = "6")]
    Count(CountFrame),
    /// What all hosts counted together.
    #[prost(message, tag = "7")]
    Sums(SumFrame),
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
    pub entries: Vec<DemandLine>,
    /// The host's work at engines where it changed.
    #[prost(message, repeated, tag = "4")]
    pub work: Vec<WorkLine>,
    /// The host's requests at engines by model or adapter where they changed.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<RunLine>,
    /// What engines said that they do not hold.
    #[prost(message, repeated, tag = "6")]
    pub absent: Vec<AbsentLine>,
    /// Engines that the host can't use now: no connection came about, or they want no requests from it.
    #[prost(string, repeated, tag = "7")]
    pub unreached: Vec<String>,
}

/// What an engine has to do.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Requests that are open there.
    #[prost(uint32, tag = "2")]
    pub open: u32,
    /// Prompts that it has not read yet. Unit: tokens.
    #[prost(uint64, tag = "3")]
    pub unread: u64,
}

/// A host's requests at an engine for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RunLine {
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
pub struct AbsentLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model or adapter.
    #[prost(string, tag = "2")]
    pub key: String,
    /// How long ago it said so. Unit: milliseconds.
    #[prost(uint32, tag = "3")]
    pub millis: u32,
}

/// Demand for one model or adapter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandLine {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Requests since the last frame.
    #[prost(uint32, tag = "2")]
    pub asked: u32,
    /// Requests that wait now.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Their worth; the mean request is worth one.
    #[prost(float, tag = "4")]
    pub waiting_worth: f32,
    /// The prompts of the requests since the last frame. Unit: tokens.
    #[prost(uint64, tag = "5")]
    pub asked_tokens: u64,
    /// The prompts of the requests that wait. Unit: tokens.
    #[prost(uint64, tag = "6")]
    pub waiting_tokens: u64,
    /// Whether every copy is at an engine that takes no requests from the host now.
    #[prost(bool, tag = "7")]
    pub copies_closed: bool,
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
    pub engines: Vec<EngineLine>,
    /// In what time queued adapters are expected.
    #[prost(message, repeated, tag = "4")]
    pub estimates: Vec<EstimateLine>,
    /// How many hosts listen to the placer, itself included.
    #[prost(uint32, tag = "5")]
    pub hosts: u32,
    /// The weight store's pace as the placer has learnt it, for who comes after it.
    #[prost(message, optional, tag = "7")]
    pub pace: Option<PaceLine>,
    /// What engines hold that they did not before, and the other way round.
    #[prost(message, repeated, tag = "9")]
    pub changes: Vec<ChangeLine>,
    /// The numbers of engines in `work`, each told before it is first used.
    #[prost(message, repeated, tag = "10")]
    pub numbers: Vec<NumberLine>,
    /// The work of all hosts at engines where it changed: an engine's number, the requests that are open
    /// there and the tokens that it has not read yet, again and again.
    #[prost(uint64, repeated, packed = "true", tag = "11")]
    pub work: Vec<u64>,
}

/// How an engine's holdings changed since the last frame that named it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// What it holds since then, or in another version.
    #[prost(message, repeated, tag = "2")]
    pub gained: Vec<HeldLine>,
    /// What it holds no more.
    #[prost(string, repeated, tag = "3")]
    pub lost: Vec<String>,
}

/// The number by which a placer's frames name an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NumberLine {
    /// The number.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// How fast the weight store serves adapters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PaceLine {
    /// How many come at a time without slowing one another down.
    #[prost(float, tag = "1")]
    pub full_speed: f32,
    /// How long one of these takes. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub load_millis: u32,
}

/// What one engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Everything that it holds.
    #[prost(message, repeated, tag = "2")]
    pub held: Vec<HeldLine>,
    /// The life of the engine that holds it; zero where it does not say. Unit: milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub born: u64,
}

/// Something that an engine holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldLine {
    /// The model or adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// When an adapter is expected.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EstimateLine {
    /// The adapter.
    #[prost(string, tag = "1")]
    pub key: String,
    /// In what time it is expected. Unit: milliseconds.
    #[prost(uint32, tag = "2")]
    pub millis: u32,
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
            Some(FrameBody::Ask(_)) => "ask",
            Some(FrameBody::State(_)) => "state",
            Some(FrameBody::Follow(_)) => "follow",
            Some(FrameBody::Count(_)) => "count",
            Some(FrameBody::Sums(_)) => "sums",
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

impl From<&DemandEntry> for DemandLine {
    fn from(entry: &DemandEntry) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a worth needs few digits")]
        let waiting_worth = entry.waiting_worth as f32;
        Self {
            key: entry.key.to_string(),
            asked: entry.asked,
            waiting: entry.waiting,
            waiting_worth,
            asked_tokens: entry.asked_tokens,
            waiting_tokens: entry.waiting_tokens,
            copies_closed: entry.copies_closed,
        }
    }
}

impl From<&DemandLine> for DemandEntry {
    fn from(line: &DemandLine) -> Self {
        Self {
            key: Arc::from(line.key.as_str()),
            asked: line.asked,
            asked_tokens: line.asked_tokens,
            waiting: line.waiting,
            waiting_tokens: line.waiting_tokens,
            waiting_worth: f64::from(line.waiting_worth),
            copies_closed: line.copies_closed,
        }
    }
}

impl DemandFrame {
    /// Returns what the host has at engines.
    pub fn work(&self) -> HostWork {
        HostWork {
            engines: self.work.iter().map(Into::into).collect(),
            runs: self.runs.iter().map(Into::into).collect(),
            absent: self.absent.iter().map(Into::into).collect(),
            unreached: self.unreached.iter().map(|engine| Arc::from(engine.as_str())).collect(),
        }
    }
}

impl From<&AbsentEntry> for AbsentLine {
    fn from(entry: &AbsentEntry) -> Self {
        let millis = u32::try_from(entry.age.as_millis()).unwrap_or(u32::MAX);
        Self { engine: entry.engine.to_string(), key: entry.key.to_string(), millis }
    }
}

impl From<&AbsentLine> for AbsentEntry {
    fn from(line: &AbsentLine) -> Self {
        let (engine, key) = (Arc::from(line.engine.as_str()), Arc::from(line.key.as_str()));
        Self { engine, key, age: Duration::from_millis(u64::from(line.millis)) }
    }
}

impl From<StorePace> for PaceLine {
    fn from(pace: StorePace) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "a pace needs few digits")]
        let full_speed = pace.full_speed as f32;
        let load_millis = u32::try_from(pace.load_time.as_millis()).unwrap_or(u32::MAX);
        Self { full_speed, load_millis }
    }
}

impl From<&PaceLine> for StorePace {
    fn from(line: &PaceLine) -> Self {
        let load_time = Duration::from_millis(u64::from(line.load_millis));
        Self { full_speed: f64::from(line.full_speed), load_time }.checked()
    }
}

impl From<&(EngineName, EngineWork)> for WorkLine {
    fn from((engine, work): &(EngineName, EngineWork)) -> Self {
        Self { engine: engine.to_string(), open: work.open, unread: work.pending_prefill_tokens }
    }
}

impl From<&WorkLine> for (EngineName, EngineWork) {
    fn from(line: &WorkLine) -> Self {
        let work = EngineWork { open: line.open, pending_prefill_tokens: line.unread };
        (Arc::from(line.engine.as_str()), work)
    }
}

impl From<&RunEntry> for RunLine {
    fn from(run: &RunEntry) -> Self {
        Self { engine: run.engine.to_string(), key: run.key.to_string(), open: run.open }
    }
}

impl From<&RunLine> for RunEntry {
    fn from(line: &RunLine) -> Self {
        let engine = Arc::from(line.engine.as_str());
        Self { engine, key: Arc::from(line.key.as_str()), open: line.open }
    }
}

impl From<&LoadedModel> for HeldLine {
    fn from(held: &LoadedModel) -> Self {
        Self { key: held.key.to_string(), version: held.version }
    }
}

impl From<&HeldLine> for LoadedModel {
    fn from(line: &HeldLine) -> Self {
        Self { key: Arc::from(line.key.as_str()), version: line.version }
    }
}

impl EstimateLine {
    /// Writes an estimate.
    pub fn new(key: &ModelKey, time: Duration) -> Self {
        Self { key: key.to_string(), millis: u32::try_from(time.as_millis()).unwrap_or(u32::MAX) }
    }
}
