//! A stand-in for the platform's store: two keyed topics and one group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use reelreel_stand_ins::connection::{ServedConnection, ServedRequest, serve};
use serde_json::{Value, json};

use crate::dialect::{COOLDOWN, ERA};

const PARTITIONS: u32 = 4;

#[derive(Clone, Default)]
struct Topic {
    records: Vec<(String, String)>,
}

impl Topic {
    fn newest(&self) -> Vec<Value> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        newest
            .into_iter()
            .map(|(key, (offset, value))| json!({ "key": key, "value": value, "offset": offset }))
            .collect()
    }

    fn since(&self, from: usize) -> Vec<Value> {
        let records = self.records.iter().enumerate().skip(from);
        records
            .map(|(offset, (key, value))| json!({ "key": key, "value": value, "offset": offset }))
            .collect()
    }
}

/// A topic whose newest records come in pages of one record.
struct PagedTopic {
    topic: &'static str,
    /// What happens as soon as the first page was made.
    page_change: Option<PageChange>,
}

/// What happens to a topic between two pages.
enum PageChange {
    /// A record is put.
    Put((String, String)),
    /// The store comes back from an older copy, in which the topic lacks so many records, and this one is put.
    RollBack(usize, (String, String)),
}

/// A copy of everything that the store keeps.
#[derive(Clone)]
pub(crate) struct StoreSnapshot {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// What the store tells of the partitions' holders: what they were a while ago.
struct OwnersLag {
    lag: Duration,
    history: Vec<(Instant, BTreeMap<u32, String>)>,
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    refuses: bool,
    /// What it says of a cooldown when it refuses a call. Unit: seconds.
    cooldown: Option<&'static str>,
    hangs: bool,
    calls: u64,
    joins: Vec<Instant>,
    /// Set where the newest records of a topic come in pages of one record.
    paged: Option<PagedTopic>,
    /// Set where what the store tells of the partitions' holders lies behind.
    owners_lag: Option<OwnersLag>,
    /// How many reads of each topic were held, from the moment they began to be.
    long_polls: BTreeMap<String, u64>,
    /// Counts how often the store came back from an older copy of itself.
    era: u64,
    /// Counts how often all connections went silent; those of an earlier count say nothing any more.
    silences: u64,
}

impl StoreState {
    /// Returns who holds each partition as the store tells it, with its lag.
    fn reported_owners(&mut self) -> BTreeMap<u32, String> {
        let owners = self.owners();
        let Some(OwnersLag { lag, history }) = &mut self.owners_lag else { return owners };
        let now = Instant::now();
        if history.last().is_none_or(|(_, last)| *last != owners) {
            history.push((now, owners));
        }
        let reported = history.iter().rev().find(|(at, _)| now.duration_since(*at) >= *lag);
        reported.map(|(_, owners)| owners.clone()).unwrap_or_default()
    }

    fn owners(&self) -> BTreeMap<u32, String> {
        let members: Vec<&String> = self.members.keys().collect();
        let mut owners = BTreeMap::new();
        for part in 0..PARTITIONS {
            if let Some(index) = (part as usize).checked_rem(members.len()) {
                owners.insert(part, members[index].clone());
            }
        }
        owners
    }
}

/// Another address of the store, at which calls that concern one topic may go without an answer.
pub(crate) struct StoreEndpoint {
    pub(crate) address: SocketAddr,
    hangs: Arc<AtomicBool>,
}

impl StoreEndpoint {
    /// Makes calls that concern the topic hang here; those that hung are never answered.
    pub(crate) fn hang(&self) {
        self.hangs.store(true, Ordering::Relaxed);
    }
}

/// How long a call hangs that is never answered.
const HANG_TIME: Duration = Duration::from_secs(30);

/// A stand-in for the platform's store.
#[derive(Clone)]
pub(crate) struct StandInStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub(crate) address: SocketAddr,
}

impl StandInStore {
    pub(crate) fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let served = Arc::clone(&state);
        let address = serve(move |connection| serve_store(&served, connection, |_| false));
        Self { state, address }
    }

    /// Opens another address, at which calls that concern `topic` can be made to hang.
    pub(crate) fn open_endpoint(&self, topic: &'static str) -> StoreEndpoint {
        let hangs: Arc<AtomicBool> = Arc::default();
        let (served, hung) = (Arc::clone(&self.state), Arc::clone(&hangs));
        let address = serve(move |connection| {
            serve_store(&served, connection, |request| {
                hung.load(Ordering::Relaxed) && request.head.target.contains(topic)
            });
        });
        StoreEndpoint { address, hangs }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_owned()));
        drop(state);
        self.state.1.notify_all();
    }

    /// Makes the store refuse every call, or serve again.
    pub(crate) fn refuse(&self, refuses: bool) {
        self.lock().refuses = refuses;
        self.state.1.notify_all();
    }

    /// Makes the store refuse every call, and say this of a cooldown.
    pub(crate) fn refuse_with(&self, cooldown: &'static str) {
        self.lock().cooldown = Some(cooldown);
        self.refuse(true);
    }

    /// Makes the store take calls and answer none, or answer again; calls that hung are never answered.
    pub(crate) fn hang(&self, hangs: bool) {
        self.lock().hangs = hangs;
        self.state.1.notify_all();
    }

    /// Makes pages of a topic's newest records hold one record, and puts a record after the first of them.
    pub(crate) fn put_between_pages(&self, topic: &'static str, key: &str, value: &str) {
        let page_change = Some(PageChange::Put((key.to_owned(), value.to_owned())));
        self.lock().paged = Some(PagedTopic { topic, page_change });
    }

    /// Makes pages of a topic's newest records hold one record, and brings the store back from an older copy after the first of
    /// them: the topic lacks its last `lost` records, and another one is put.
    pub(crate) fn roll_back_between_pages(
        &self,
        topic: &'static str,
        lost: usize,
        put: (&str, &str),
    ) {
        let put = (put.0.to_owned(), put.1.to_owned());
        let page_change = Some(PageChange::RollBack(lost, put));
        self.lock().paged = Some(PagedTopic { topic, page_change });
    }

    /// Copies everything that the store keeps.
    pub(crate) fn snapshot(&self) -> StoreSnapshot {
        let state = self.lock();
        let (topics, members) = (state.topics.clone(), state.members.clone());
        StoreSnapshot { topics, members, generation: state.generation }
    }

    /// Brings the store back from a copy: what was written since is gone, and its offsets and generations are given out again.
    pub(crate) fn restore(&self, snapshot: &StoreSnapshot) {
        let mut state = self.lock();
        let StoreSnapshot { topics, members, generation } = snapshot.clone();
        (state.topics, state.members, state.generation) = (topics, members, generation);
        state.era += 1;
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns how many records a topic has.
    pub(crate) fn end(&self, topic: &str) -> usize {
        self.lock().topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Makes what the store tells of the partitions' holders lie behind: a partition passes on only when the member that had
    /// it has joined again, which moves no generation.
    pub(crate) fn delay_owners(&self, lag: Duration) {
        self.lock().owners_lag = Some(OwnersLag { lag, history: Vec::new() });
    }

    /// Makes all connections that are open now go silent for good; new ones are served.
    pub(crate) fn silence_connections(&self) {
        self.lock().silences += 1;
        self.state.1.notify_all();
    }

    /// Brings the store back from an older copy: the last `lost` records of a topic are gone, and their offsets are given out
    /// again. Returns what was lost, for whoever writes it again.
    pub(crate) fn roll_back(&self, topic: &str, lost: usize) -> Vec<(String, String)> {
        let mut state = self.lock();
        state.era += 1;
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        let gone = records.split_off(records.len().saturating_sub(lost));
        drop(state);
        self.state.1.notify_all();
        gone
    }

    /// Waits until the store holds a read of a topic that has just begun.
    pub(crate) fn await_long_poll(&self, topic: &str) {
        let long_polls_of =
            |state: &StoreState| state.long_polls.get(topic).copied().unwrap_or_default();
        let before = long_polls_of(&self.lock());
        let began = Instant::now();
        while long_polls_of(&self.lock()) == before {
            assert!(began.elapsed() < HANG_TIME, "nobody reads {topic}");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Makes a host a member of the group for good.
    pub(crate) fn add_member(&self, member: &str) {
        let expires = Instant::now() + Duration::from_hours(1);
        let mut state = self.lock();
        state.members.insert(member.to_owned(), expires);
        state.generation += 1;
    }

    /// Returns when members joined since a moment.
    pub(crate) fn joins_since(&self, moment: Instant) -> Vec<Instant> {
        self.lock().joins.iter().copied().filter(|join| *join >= moment).collect()
    }

    pub(crate) fn calls(&self) -> u64 {
        self.lock().calls
    }
}

/// Serves one connection; a request for which `should_hang` holds by the time of its answer gets none.
fn serve_store(
    state: &(Mutex<StoreState>, Condvar),
    connection: &mut ServedConnection,
    should_hang: impl Fn(&ServedRequest) -> bool,
) {
    let lock = || state.0.lock().unwrap_or_else(PoisonError::into_inner);
    let silences = lock().silences;
    while let Some(request) = connection.next_request() {
        let (era, (status, body)) = respond(state, &request);
        let hangs = {
            let state = lock();
            state.hangs || state.silences > silences
        };
        if hangs || should_hang(&request) {
            thread::sleep(HANG_TIME);
            return;
        }
        let cooldown = state.0.lock().unwrap_or_else(PoisonError::into_inner).cooldown;
        let cooldown = cooldown.filter(|_| status == 503);
        let cooldown = cooldown.map(|seconds| format!("{COOLDOWN}: {seconds}\r\n"));
        let fields = format!("{ERA}: {era}\r\n{}", cooldown.unwrap_or_default());
        if connection.answer(status, &fields, &body.to_string()).is_none() {
            return;
        }
    }
}

/// Makes an answer, and tells in which era.
fn respond(state: &(Mutex<StoreState>, Condvar), request: &ServedRequest) -> (u64, (u16, Value)) {
    let mut locked = state.0.lock().unwrap_or_else(PoisonError::into_inner);
    let mut era = locked.era;
    locked.calls += 1;
    let answer = respond_to_call(locked, &state.1, request, &mut era);
    (era, answer)
}

fn respond_to_call(
    mut locked: MutexGuard<'_, StoreState>,
    changes: &Condvar,
    request: &ServedRequest,
    era: &mut u64,
) -> (u16, Value) {
    if locked.refuses {
        return (503, Value::Null);
    }
    let parts: Vec<&str> = request.head.target.split('/').skip(1).collect();
    match parts.as_slice() {
        ["newest", name, after] => {
            let paged = locked.paged.as_mut().filter(|paged| paged.topic == *name);
            let limit = if paged.is_some() { 1 } else { usize::MAX };
            let page_change = paged.and_then(|paged| paged.page_change.take());
            let topic = locked.topics.entry((*name).to_owned()).or_default();
            let mut records = topic.newest();
            records.retain(|record| record["key"].as_str() > Some(*after));
            let more = records.len() > limit;
            records.truncate(limit);
            let end = topic.records.len();
            match page_change {
                Some(PageChange::Put(record)) => topic.records.push(record),
                Some(PageChange::RollBack(lost, record)) => {
                    topic.records.truncate(end.saturating_sub(lost));
                    topic.records.push(record);
                    locked.era += 1;
                }
                None => {}
            }
            (200, json!({ "records": records, "end": end, "more": more }))
        }
        ["read", topic, from, wait] => {
            let from: usize = from.parse().unwrap_or_default();
            let wait = Duration::from_millis(wait.parse().unwrap_or_default());
            let known = locked.topics.get(*topic).map_or(0, |topic| topic.records.len());
            if known <= from && !wait.is_zero() {
                *locked.long_polls.entry((*topic).to_owned()).or_default() += 1;
            }
            let (locked, _) = changes
                .wait_timeout_while(locked, wait, |state| {
                    let end = state.topics.get(*topic).map_or(0, |topic| topic.records.len());
                    !state.refuses && end == from
                })
                .unwrap_or_else(PoisonError::into_inner);
            *era = locked.era;
            if locked.refuses {
                return (503, Value::Null);
            }
            let Some(topic) = locked.topics.get(*topic) else {
                return (200, json!({ "records": [], "end": 0 }));
            };
            if topic.records.len() < from {
                return (410, Value::Null);
            }
            (200, json!({ "records": topic.since(from), "end": topic.records.len() }))
        }
        ["join"] => {
            locked.joins.push(Instant::now());
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let member = body["member"].as_str().unwrap_or_default().to_owned();
            let millis = body["millis"].as_u64().unwrap_or_default();
            let now = Instant::now();
            let before = locked.members.len();
            locked.members.retain(|_, until| *until > now);
            let gone = locked.members.len() != before;
            let until = now + Duration::from_millis(millis);
            let new = locked.members.insert(member.clone(), until).is_none();
            if new || gone {
                locked.generation += 1;
            }
            let owned = locked.owners().into_iter().filter(|(_, owner)| *owner == member);
            let partitions: Vec<u32> = owned.map(|(part, _)| part).collect();
            (200, json!({ "generation": locked.generation, "partitions": partitions }))
        }
        ["leave"] => {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            locked.members.remove(body["member"].as_str().unwrap_or_default());
            locked.generation += 1;
            (200, Value::Null)
        }
        ["owners"] => {
            let owners = locked.reported_owners();
            let owners = owners.into_iter().map(|(part, member)| (part.to_string(), json!(member)));
            (200, Value::Object(owners.collect()))
        }
        _ => (404, Value::Null),
    }
}
