//! Frames with which hosts relay store data, and request it.

use reelreel_core::{ClockMillis, StorePosition, fleet::freshness::PeerClock};

use crate::{codec::KeyedRecord, peers::engine_messages::EngineEntryMessage};

/// Requests the peer's store data.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRequestFrame {
    /// The requesting host's clock. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
    /// Whether to send just whether the data is verified.
    #[prost(bool, tag = "2")]
    pub verification_only: bool,
}

/// Subscribes to the peer's store data, or, on an active feed, requests just its clock.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowFrame {
    /// The requesting host's clock. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
    /// The requesting host's address for peers, if its own store data can verify that of others.
    #[prost(string, tag = "2")]
    pub verified_address: String,
}

/// The clock of the responding host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClockMessage {
    /// The requesting host's clock at the time of the request. Unit: milliseconds.
    #[prost(uint64, tag = "1")]
    pub requested_at: u64,
    /// The responding host's clock. Unit: milliseconds.
    #[prost(uint64, tag = "2")]
    pub now: u64,
}

/// A host's store data: all of it, or the changes since the last frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateFrame {
    /// Latest records of the configuration topic.
    #[prost(message, repeated, tag = "1")]
    pub configuration: Vec<KeyedRecordMessage>,
    /// Owners of the group's partitions; empty when unchanged.
    #[prost(message, repeated, tag = "4")]
    pub owners: Vec<PartitionOwnerMessage>,
    /// Whether the frame has all store data.
    #[prost(bool, tag = "5")]
    pub complete: bool,
    /// Offset up to which the engines' topic was read, in a complete frame.
    #[prost(uint64, tag = "6")]
    pub engines_end: u64,
    /// Time, by the sender's clock, at which the relayed configuration was confirmed as the latest; zero if
    /// unknown. Unit: milliseconds.
    #[prost(uint64, tag = "7")]
    pub confirmed_at: u64,
    /// The sender's clock, in a response.
    #[prost(message, optional, tag = "8")]
    pub clock: Option<ClockMessage>,
    /// The names that `engines` refers to by index.
    #[prost(string, repeated, tag = "9")]
    pub names: Vec<String>,
    /// Engine entries.
    #[prost(message, repeated, tag = "10")]
    pub engines: Vec<EngineEntryMessage>,
    /// The latest era of the store that the sender knows.
    #[prost(uint64, tag = "11")]
    pub era: u64,
    /// The era of `engines_end`.
    #[prost(uint64, tag = "12")]
    pub engines_era: u64,
    /// Whether the sender's data is known to include everything that the store had before its last
    /// restore, so that it can verify the receiver's.
    #[prost(bool, tag = "13")]
    pub verified: bool,
}

impl StateFrame {
    /// Returns the position up to which the engines' topic was read, in a complete frame.
    pub const fn engines_read_to(&self) -> StorePosition {
        StorePosition { era: self.engines_era, offset: self.engines_end }
    }
}

impl From<&ClockMessage> for PeerClock {
    fn from(message: &ClockMessage) -> Self {
        let (local, peer) =
            (ClockMillis::from_millis(message.requested_at), ClockMillis::from_millis(message.now));
        Self { local, peer }
    }
}

/// The owner of a partition of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartitionOwnerMessage {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The name of the member that owns it.
    #[prost(string, tag = "2")]
    pub member: String,
}

/// A record of a keyed topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyedRecordMessage {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The encoded value, as in the store.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Offset in the topic.
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
