//! Frames about the software versions that began streams.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::fleet::{
    SoftwareVersion,
    stream_origins::{StreamId, StreamOrigin},
};

/// Streams of which a host tells their keeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamOriginsFrame {
    /// The streams, by software version.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionOriginsMessage>,
}

/// Streams that one software version began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionOriginsMessage {
    /// The software version.
    #[prost(string, tag = "1")]
    pub software: String,
    /// Identities of the streams.
    #[prost(fixed64, repeated, tag = "2")]
    pub streams: Vec<StreamId>,
}

/// Asks a keeper which software version began a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginRequestFrame {
    /// Identity of the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: StreamId,
}

/// The response to an [`OriginRequestFrame`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginResponseFrame {
    /// The software version; absent if the keeper does not know it.
    #[prost(string, optional, tag = "1")]
    pub software: Option<String>,
}

impl StreamOriginsFrame {
    /// Encodes streams.
    pub fn new(origins: &[StreamOrigin]) -> Self {
        let mut streams: BTreeMap<&SoftwareVersion, Vec<StreamId>> = BTreeMap::new();
        for (stream, software) in origins {
            streams.entry(software).or_default().push(*stream);
        }
        let message = |(software, streams): (&SoftwareVersion, Vec<StreamId>)| {
            VersionOriginsMessage { software: software.to_string(), streams }
        };
        Self { versions: streams.into_iter().map(message).collect() }
    }

    /// Iterates over the streams.
    pub fn origins(&self) -> impl Iterator<Item = StreamOrigin> {
        self.versions.iter().flat_map(|message| {
            let software = SoftwareVersion::from(message.software.as_str());
            message.streams.iter().map(move |stream| (*stream, Arc::clone(&software)))
        })
    }
}
