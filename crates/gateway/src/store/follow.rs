//! Keeps up with a keyed topic: read whole at the start, then followed record by record.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource, StorePosition};
use tokio::sync::watch;

use crate::{
    codec::{CodecError, KeyedRecord, KeyedTopic, RecordBatch},
    store::{StoreBackoff, StoreClient, StoreError},
};

/// How long a call that is not held may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a call may take that finds out whether the store is back: a call that the store does not answer must not
/// hide that it answers others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the store holds a call for which there is no record yet, where nobody asks for less.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(2);

/// How long a held call may take beyond its wait: twice what a store takes whose answers take fifty times as long as
/// usual (4 ms).
const LONG_POLL_MARGIN: Duration = Duration::from_millis(400);

/// What was learned of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopicUpdate {
    /// The newest record of every key, up to an end of the topic.
    Snapshot {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The end of the topic.
        end: StorePosition,
        /// When the store was asked: whatever it had taken by then is among the records.
        requested_at: ClockMillis,
    },
    /// Records that followed.
    Records {
        /// The records.
        records: Vec<KeyedRecord>,
        /// When the store was asked, where the records are all that it had taken by then.
        requested_at: Option<ClockMillis>,
    },
    /// The store gave no useful answer.
    Unavailable,
}

/// How a topic is followed.
pub struct FollowOptions {
    /// The topic.
    pub topic: KeyedTopic,
    /// The least time between two calls, so that a busy topic is read in batches.
    pub min_interval: Duration,
    /// How long the store holds a call for which there is no record yet.
    pub poll_wait: Duration,
    /// Tells when the store was asked.
    pub clock: Arc<dyn ClockSource>,
    /// The longest pause between calls that fail, at the moment.
    pub max_backoff: Box<dyn Fn() -> Duration>,
}

/// Follows a topic for ever and hands every update to `sink`.
///
/// While `following` holds true another host reads the topic for this one.
pub async fn follow_topic(
    mut client: StoreClient,
    options: FollowOptions,
    mut backoff: StoreBackoff,
    mut following: watch::Receiver<bool>,
    sink: impl Fn(TopicUpdate),
) {
    loop {
        // Waiting fails only when the control state is gone, and with it this task.
        if following.wait_for(|is_following| !*is_following).await.is_err() {
            return;
        }
        let (topic, requested_at) = (options.topic, options.clock.now());
        let from = match read_snapshot(&mut client, topic).await {
            Ok((records, end)) => {
                backoff.reset();
                sink(TopicUpdate::Snapshot { records, end, requested_at });
                end
            }
            Err(error) => {
                log::debug!("{topic:?}: {error}");
                sink(TopicUpdate::Unavailable);
                backoff.wait_after_failure((options.max_backoff)()).await;
                continue;
            }
        };
        let eras = client.eras().clone();
        let reading = follow_records(&mut client, &options, &mut backoff, from, &sink);
        tokio::select! {
            () = reading => {}
            is_following = following.wait_for(|is_following| *is_following) => drop(is_following),
            // What was read belongs to a store that is gone; a call that it holds may never be answered.
            () = eras.wait_until_later(from.era) => {}
        }
    }
}

/// Follows records from a position on, until they are gone or the store tells of another era: then the topic must be read whole
/// again.
async fn follow_records(
    client: &mut StoreClient,
    options: &FollowOptions,
    backoff: &mut StoreBackoff,
    mut from: StorePosition,
    sink: &impl Fn(TopicUpdate),
) {
    let topic = options.topic;
    let mut unavailable = false;
    loop {
        if !unavailable {
            tokio::time::sleep(options.min_interval).await;
        }
        let requested_at = options.clock.now();
        let read = if unavailable {
            read_records(client, topic, from, Duration::ZERO, PROBE_TIMEOUT).await
        } else {
            read_records(
                client,
                topic,
                from,
                options.poll_wait,
                options.poll_wait + LONG_POLL_MARGIN,
            )
            .await
        };
        match read {
            Ok(batch) => {
                backoff.reset();
                // The records between the end of the copy and this position were never read.
                if batch.next.era != from.era {
                    return;
                }
                unavailable = false;
                from = batch.next;
                // A batch may be cut at the most that one read returns.
                let requested_at = (from >= batch.end).then_some(requested_at);
                sink(TopicUpdate::Records { records: batch.records, requested_at });
            }
            Err(StoreError::Response(CodecError::Gone)) => return,
            Err(error) => {
                log::debug!("{topic:?} from {from:?}: {error}");
                unavailable = true;
                sink(TopicUpdate::Unavailable);
                backoff.wait_after_failure((options.max_backoff)()).await;
            }
        }
    }
}

/// Reads the newest record of every key; returns them with the end of the topic from which to read on.
///
/// That is the end as the first page tells it: records that came while later pages were made may belong to keys of
/// earlier ones, and would be missed for good from the last page's end on. Pages of two eras do not go together: the first
/// pages are read again.
async fn read_snapshot(
    client: &mut StoreClient,
    topic: KeyedTopic,
) -> Result<(Vec<KeyedRecord>, StorePosition), StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut first_end: Option<StorePosition> = None;
    loop {
        let after = records.last().map(|record| record.key.as_str());
        let call = client.codec().encode_snapshot_request(topic, after);
        let response = client.call(&call, CALL_TIMEOUT).await?;
        let page = client.codec().decode_snapshot_page(&response)?;
        let end = *first_end.get_or_insert(page.end);
        if end.era != page.end.era {
            records.clear();
            first_end = None;
            continue;
        }
        let empty = page.records.is_empty();
        records.extend(page.records);
        if !page.more || empty {
            return Ok((records, end));
        }
    }
}

async fn read_records(
    client: &mut StoreClient,
    topic: KeyedTopic,
    from: StorePosition,
    wait: Duration,
    timeout: Duration,
) -> Result<RecordBatch, StoreError> {
    let call = client.codec().encode_read_request(topic, from, wait);
    let response = client.call(&call, timeout).await?;
    Ok(client.codec().decode_records(from, &response)?)
}
