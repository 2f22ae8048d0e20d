//! The hosts' records of the software versions that began streams, for hosts that start after all others
//! have been killed.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::fleet::{
    SoftwareVersion,
    stream_origins::{StreamId, StreamOrigin},
};

use crate::{
    codec::{CodecError, KeyedTopic},
    store::{
        StoreClient, StoreError,
        follow::{CALL_TIMEOUT, read_snapshot},
    },
};

/// Identifies a record: each host has its own, and does not overwrite those of its earlier starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamRecordKey {
    /// The host's name.
    pub host: String,
    /// Number of the host's starts before this one, as far as records show.
    pub start: u64,
    /// Number of the record among those of one start.
    pub slot: u64,
}

impl StreamRecordKey {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, '/');
        let slot = parts.next()?.parse().ok()?;
        let start = parts.next()?.parse().ok()?;
        Some(Self { host: parts.next()?.to_owned(), start, slot })
    }

    fn format(&self) -> String {
        format!("{}/{}/{}", self.host, self.start, self.slot)
    }
}

/// Reads the records of all hosts.
///
/// # Errors
/// Returns that a call failed.
pub async fn read_stream_records(
    client: &mut StoreClient,
) -> Result<Vec<(StreamRecordKey, Vec<StreamOrigin>)>, StoreError> {
    let records = match read_snapshot(client, KeyedTopic::Streams).await {
        Ok((records, _)) => records,
        // No host has written a record.
        Err(StoreError::Response(CodecError::Refused(404))) => Vec::new(),
        Err(error) => return Err(error),
    };
    let parsed = records.iter().filter_map(|record| {
        let key = StreamRecordKey::parse(&record.key)?;
        Some((key, decode_origins(&record.value)?))
    });
    Ok(parsed.collect())
}

/// Writes a record; one without streams is removed.
///
/// # Errors
/// Returns that the call failed; the record may have been written.
pub async fn write_stream_record(
    client: &mut StoreClient,
    key: &StreamRecordKey,
    origins: &[StreamOrigin],
) -> Result<(), StoreError> {
    let codec = client.codec();
    let value = encode_origins(origins);
    let call = codec.encode_append(KeyedTopic::Streams, &key.format(), &value);
    let response = client.call(&call, CALL_TIMEOUT).await?;
    Ok(client.codec().check_append(&response)?)
}

/// Encodes streams as a JSON object of lists, by software version; no streams as nothing.
fn encode_origins(origins: &[StreamOrigin]) -> Vec<u8> {
    if origins.is_empty() {
        return Vec::new();
    }
    let mut streams: BTreeMap<&str, Vec<StreamId>> = BTreeMap::new();
    for (stream, software) in origins {
        streams.entry(software).or_default().push(*stream);
    }
    // Serializing strings and numbers cannot fail.
    serde_json::to_vec(&streams).unwrap_or_default()
}

fn decode_origins(value: &[u8]) -> Option<Vec<StreamOrigin>> {
    let versions: BTreeMap<String, Vec<StreamId>> = serde_json::from_slice(value).ok()?;
    let origins = versions.into_iter().flat_map(|(software, streams)| {
        let software = SoftwareVersion::from(software);
        streams.into_iter().map(move |stream| (stream, Arc::clone(&software)))
    });
    Some(origins.collect())
}
