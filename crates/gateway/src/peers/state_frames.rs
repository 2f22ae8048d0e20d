//! Frames in which hosts pass on what they have read from the store, and ask for it.

use reelreel_core::{ClockMillis, StorePosition, fleet::freshness::PeerClock};

use crate::{codec::KeyedRecord, peers::engine_messages::EngineEntryMessage};

/// Asks for what the peer has read from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRequestFrame {
    /// What the asking host's clock shows. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
}

/// Asks for what the peer reads from the store from now on, or, later on, for its clock alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowFrame {
    /// What the asking host's clock shows. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
}

/// What a host's clock shows, as an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClockMessage {
    /// What the asking host's clock showed when it asked. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
    /// What the answering host's clock shows. Unit: milliseconds.
    #[prost(uint64, tag = "2")]
    pub now: u64,
}

/// What a host has read from the store: everything, or what has changed since the last frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateFrame {
    /// Newest records of the configuration topic.
    #[prost(message, repeated, tag = "1")]
    pub configuration: Vec<KeyedRecordMessage>,
    /// Who holds which partition of the group; empty when that did not change.
    #[prost(message, repeated, tag = "4")]
    pub owners: Vec<PartitionOwnerMessage>,
    /// Whether this is everything.
    #[prost(bool, tag = "5")]
    pub complete: bool,
    /// How far the engines' topic was read, where this is everything.
    #[prost(uint64, tag = "6")]
    pub engines_end: u64,
    /// At which moment of the sender's clock all that it has passed on was the newest configuration; zero
    /// where it does not know. Unit: milliseconds.
    #[prost(uint64, tag = "7")]
    pub confirmed_at: u64,
    /// The sender's clock, in an answer.
    #[prost(message, optional, tag = "8")]
    pub clock: Option<ClockMessage>,
    /// The names that the lines of `engines` refer to.
    #[prost(string, repeated, tag = "9")]
    pub names: Vec<String>,
    /// The engines' entries.
    #[prost(message, repeated, tag = "10")]
    pub engines: Vec<EngineEntryMessage>,
    /// The newest era of the store that the sender has heard of.
    #[prost(uint64, tag = "11")]
    pub era: u64,
    /// The era of the store to which `engines_end` belongs.
    #[prost(uint64, tag = "12")]
    pub engines_era: u64,
}

impl StateFrame {
    /// Returns how far the engines' topic was read, where this is everything.
    pub const fn engines_read_to(&self) -> StorePosition {
        StorePosition { era: self.engines_era, offset: self.engines_end }
    }
}

impl From<&ClockMessage> for PeerClock {
    fn from(message: &ClockMessage) -> Self {
        let (local, peer) =
            (ClockMillis::from_millis(message.requested_at), ClockMillis::from_millis(message.now));
        Self { local: local, peer }
    }
}

/// Who holds a partition of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionOwnerMessage {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The name of the member that holds it.
    #[prost(string, tag = "2")]
    pub member: String,
}

/// A record of a keyed topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyedRecordMessage {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value as the store gave it.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Its place in the topic.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// The era of the store in which it was read.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

impl From<&KeyedRecordMessage> for KeyedRecord {
    fn from(message: &KeyedRecordMessage) -> Self {
        let (key, value) = (message.key.clone(), message.value.clone());
        let position = StorePosition { era: message.era, offset: message.offset };
        Self { key, value, position }
    }
}

impl From<&KeyedRecord> for KeyedRecordMessage {
    fn from(record: &KeyedRecord) -> Self {
        let (key, value) = (record.key.clone(), record.value.clone());
        let StorePosition { era, offset } = record.position;
        Self { key, value, offset, era }
    }
}
