//! Following a keyed topic: a snapshot first, then its records by long polling.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource, StorePosition};
use tokio::sync::watch;

use crate::{
    codec::{CodecError, KeyedRecord, KeyedTopic, RecordBatch},
    store::{StoreBackoff, StoreClient, StoreError},
};

/// Timeout of a call that is not a long poll.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of a call that probes whether the store has recovered. It is short, because one lost call must not hide that
/// the store responds to others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Default duration for which the store holds a long poll without new records.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(2);

/// Timeout of a long poll beyond its wait: twice the response time of a store that is 50 times slower than the usual
/// 4 ms.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(400);

/// An update of a followed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopicUpdate {
    /// The latest record of every key, up to the end of the topic.
    Snapshot {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The end of the topic.
        end: StorePosition,
        /// When the snapshot was requested; it has everything that the store had accepted by then.
        requested_at: ClockMillis,
    },
    /// Records after the last update.
    Records {
        /// The records.
        records: Vec<KeyedRecord>,
        /// When the records were requested; absent when the store may have accepted more by then.
        requested_at: Option<ClockMillis>,
    },
    /// A call to the store failed.
    Unavailable,
}

/// Options for following a topic.
pub struct FollowOptions {
    /// The topic.
    pub topic: KeyedTopic,
    /// Delay before each long poll, so that a busy topic is read in batches.
    pub min_interval: Duration,
    /// Returns how long the store holds a long poll without new records.
    pub poll_wait: Box<dyn Fn() -> Duration>,
    /// The clock for the times of requests.
    pub clock: Arc<dyn ClockSource>,
    /// Returns the current maximum delay between failing calls.
    pub max_backoff: Box<dyn Fn() -> Duration>,
}

/// Follows a topic and passes every update to `sink`, until the sender of `following` is dropped.
///
/// While `following` is true, another host reads the topic for this one.
pub async fn follow_topic(
    mut client: StoreClient,
    options: FollowOptions,
    mut backoff: StoreBackoff,
    mut following: watch::Receiver<bool>,
    sink: impl Fn(TopicUpdate),
) {
    loop {
        // Waiting fails only when the control state is dropped.
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
            // The records read are of an earlier era, and the pending long poll may never get a response.
            () = eras.wait_until_later(from.era) => {}
        }
    }
}

/// Follows records from a position on, until they no longer exist or the store's era changes. The topic then needs a new
/// snapshot.
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
            let wait = (options.poll_wait)();
            read_records(client, topic, from, wait, wait + LONG_POLL_MARGIN).await
        };
        match read {
            Ok(batch) => {
                backoff.reset();
                // Records between the end of the restored copy and this position were never read.
                if batch.next.era != from.era {
                    return;
                }
                unavailable = false;
                from = batch.next;
                // The store limits the size of a batch, so it may not reach the end of the topic.
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

/// Reads a snapshot; returns the latest record of every key and the position from which to follow the topic.
///
/// The position is the end of the topic as of the first page: records written during later pages may belong to keys of
/// earlier pages, and following from the last page's end would miss them. If the era changes between pages, the snapshot
/// is restarted.
///
/// # Errors
/// Returns that a call failed.
pub async fn read_snapshot(
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
