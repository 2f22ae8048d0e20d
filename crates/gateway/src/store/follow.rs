//! Keeps up with a keyed topic: read whole at the start, then followed record by record.

use std::{sync::Arc, time::Duration};

use reelreel_core::{ClockMillis, ClockSource, StorePosition};
use tokio::sync::watch;

use crate::{
    border::{BorderError, KeyedRecord, KeyedTopic, RecordBatch},
    store::{StoreClient, StoreError, StorePause},
};

/// How long a call that is not held may take.
const CALL_PATIENCE: Duration = Duration::from_millis(1500);

/// How long a call may take that finds out whether the store is back: a call that the store does not answer must not
/// hide that it answers others.
const PROBE_PATIENCE: Duration = Duration::from_millis(400);

/// How long the store holds a call for which there is no record yet, where nobody asks for less.
pub const READ_WAIT: Duration = Duration::from_secs(2);

/// How long a held call may take beyond its wait: twice what a store takes whose answers take fifty times as long as
/// usual (4 ms).
const READ_PATIENCE: Duration = Duration::from_millis(400);

/// What was learned of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TopicUpdate {
    /// The newest record of every key, up to an end of the topic.
    Whole {
        /// The records.
        records: Vec<KeyedRecord>,
        /// The end of the topic.
        end: StorePosition,
        /// When the store was asked: whatever it had taken by then is among the records.
        asked: ClockMillis,
    },
    /// Records that followed.
    Records {
        /// The records.
        records: Vec<KeyedRecord>,
        /// When the store was asked, where the records are all that it had taken by then.
        asked: Option<ClockMillis>,
    },
    /// The store gave no useful answer.
    Away,
}

/// How a topic is followed.
pub struct FollowTerms {
    /// The topic.
    pub topic: KeyedTopic,
    /// The least time between two calls, so that a busy topic is read in batches.
    pub rest: Duration,
    /// How long the store holds a call for which there is no record yet.
    pub wait: Duration,
    /// Tells when the store was asked.
    pub clock: Arc<dyn ClockSource>,
    /// The longest pause between calls that fail, at the moment.
    pub longest_pause: Box<dyn Fn() -> Duration>,
}

/// Follows a topic for ever and hands every update to `sink`.
///
/// While `gate` holds true another host reads the topic for this one.
pub async fn follow_topic(
    mut client: StoreClient,
    terms: FollowTerms,
    mut pause: StorePause,
    mut gate: watch::Receiver<bool>,
    sink: impl Fn(TopicUpdate),
) {
    loop {
        // Waiting fails only when the control state is gone, and with it this task.
        if gate.wait_for(|follows| !*follows).await.is_err() {
            return;
        }
        let (topic, asked) = (terms.topic, terms.clock.now());
        let from = match read_whole(&mut client, topic).await {
            Ok((records, end)) => {
                pause.succeeded();
                sink(TopicUpdate::Whole { records, end, asked });
                end
            }
            Err(error) => {
                log::debug!("{topic:?}: {error}");
                sink(TopicUpdate::Away);
                pause.after_failure((terms.longest_pause)()).await;
                continue;
            }
        };
        let eras = client.eras().clone();
        let reading = follow_records(&mut client, &terms, &mut pause, from, &sink);
        tokio::select! {
            () = reading => {}
            follows = gate.wait_for(|follows| *follows) => drop(follows),
            // What was read belongs to a store that is gone; a call that it holds may never be answered.
            () = eras.later_than(from.era) => {}
        }
    }
}

/// Follows records from a position on, until they are gone or the store tells of another era: then the topic must be read whole
/// again.
async fn follow_records(
    client: &mut StoreClient,
    terms: &FollowTerms,
    pause: &mut StorePause,
    mut from: StorePosition,
    sink: &impl Fn(TopicUpdate),
) {
    let topic = terms.topic;
    let mut away = false;
    loop {
        if !away {
            tokio::time::sleep(terms.rest).await;
        }
        let asked = terms.clock.now();
        let read = if away {
            read_on(client, topic, from, Duration::ZERO, PROBE_PATIENCE).await
        } else {
            read_on(client, topic, from, terms.wait, terms.wait + READ_PATIENCE).await
        };
        match read {
            Ok(batch) => {
                pause.succeeded();
                // The records between the end of the copy and this position were never read.
                if batch.next.era != from.era {
                    return;
                }
                away = false;
                from = batch.next;
                // A batch may be cut at the most that one read returns.
                let asked = (from >= batch.end).then_some(asked);
                sink(TopicUpdate::Records { records: batch.records, asked });
            }
            Err(StoreError::Answer(BorderError::Gone)) => return,
            Err(error) => {
                log::debug!("{topic:?} from {from:?}: {error}");
                away = true;
                sink(TopicUpdate::Away);
                pause.after_failure((terms.longest_pause)()).await;
            }
        }
    }
}

/// Reads the newest record of every key; returns them with the end of the topic from which to read on.
///
/// That is the end as the first page tells it: records that came while later pages were made may belong to keys of
/// earlier ones, and would be missed for good from the last page's end on. Pages of two eras do not go together: the first
/// pages are read again.
async fn read_whole(
    client: &mut StoreClient,
    topic: KeyedTopic,
) -> Result<(Vec<KeyedRecord>, StorePosition), StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut first_end: Option<StorePosition> = None;
    loop {
        let after = records.last().map(|record| record.key.as_str());
        let call = client.dialect().newest(topic, after);
        let answer = client.call(&call, CALL_PATIENCE).await?;
        let page = client.dialect().newest_answer(&answer)?;
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

async fn read_on(
    client: &mut StoreClient,
    topic: KeyedTopic,
    from: StorePosition,
    wait: Duration,
    patience: Duration,
) -> Result<RecordBatch, StoreError> {
    let call = client.dialect().read(topic, from, wait);
    let answer = client.call(&call, patience).await?;
    Ok(client.dialect().read_answer(from, &answer)?)
}
