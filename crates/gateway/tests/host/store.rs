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

use crate::codec::{COOLDOWN, ERA};

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
    /// The change to make once the first page is built.
    page_change: Option<PageChange>,
}

/// A change to a topic between two pages.
enum PageChange {
    /// Appends a record.
    Put((String, String)),
    /// Rolls the topic back by this many records in a new era, and appends a record.
    RollBack(usize, (String, String)),
}

/// A copy of the store's contents.
#[derive(Clone)]
pub(crate) struct StoreSnapshot {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// A lag with which the store reports the owners of partitions, and the history it needs.
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
    /// The cooldown that refusals announce. Unit: seconds.
    cooldown: Option<&'static str>,
    hangs: bool,
    calls: u64,
    joins: Vec<Instant>,
    /// Set if the newest records of a topic come in pages of one record.
    paged: Option<PagedTopic>,
    /// Set if the owners of partitions are reported with a lag.
    owners_lag: Option<OwnersLag>,
    /// Number of long polls of each topic, counted when they start to wait.
    long_polls: BTreeMap<String, u64>,
    /// Number of rollbacks of the store.
    era: u64,
    /// Number of times all connections were silenced; connections opened at a lower count never
    /// respond.
    silences: u64,
}

impl StoreState {
    /// Returns the owner of each partition as the store reports it, with its lag.
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

/// Another address of the store, at which calls that concern one topic can be made to hang.
pub(crate) struct StoreEndpoint {
    pub(crate) address: SocketAddr,
    hangs: Arc<AtomicBool>,
}

impl StoreEndpoint {
    /// Makes calls that concern the topic hang here; hanging calls never get a response.
    pub(crate) fn hang(&self) {
        self.hangs.store(true, Ordering::Relaxed);
    }
}

/// How long a hanging call is kept open.
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

    /// Makes the store refuse every call with this cooldown.
    pub(crate) fn refuse_with(&self, cooldown: &'static str) {
        self.lock().cooldown = Some(cooldown);
        self.refuse(true);
    }

    /// Makes calls hang, or get responses again; calls that hung never get one.
    pub(crate) fn hang(&self, hangs: bool) {
        self.lock().hangs = hangs;
        self.state.1.notify_all();
    }

    /// Pages the newest records of a topic by one record, and appends a record after the first
    /// page.
    pub(crate) fn put_between_pages(&self, topic: &'static str, key: &str, value: &str) {
        let page_change = Some(PageChange::Put((key.to_owned(), value.to_owned())));
        self.lock().paged = Some(PagedTopic { topic, page_change });
    }

    /// Pages the newest records of a topic by one record; after the first page the topic loses its
    /// last `lost` records in a new era, and `put` is appended.
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

    /// Returns a snapshot of the store.
    pub(crate) fn snapshot(&self) -> StoreSnapshot {
        let state = self.lock();
        let (topics, members) = (state.topics.clone(), state.members.clone());
        StoreSnapshot { topics, members, generation: state.generation }
    }

    /// Restores a snapshot in a new era: later writes are lost, and their offsets and generations
    /// are assigned again.
    pub(crate) fn restore(&self, snapshot: &StoreSnapshot) {
        let mut state = self.lock();
        let StoreSnapshot { topics, members, generation } = snapshot.clone();
        (state.topics, state.members, state.generation) = (topics, members, generation);
        state.era += 1;
        drop(state);
        self.state.1.notify_all();
    }

    /// Restores a snapshot whose group members have expired: they have ended.
    pub(crate) fn restore_without_members(&self, snapshot: &StoreSnapshot) {
        self.restore(&StoreSnapshot { members: BTreeMap::new(), ..snapshot.clone() });
    }

    /// Returns the number of records of a topic.
    pub(crate) fn end(&self, topic: &str) -> usize {
        self.lock().topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Returns the names of the members of the group.
    pub(crate) fn members(&self) -> Vec<String> {
        self.lock().members.keys().cloned().collect()
    }

    /// Reports the owners of partitions with a lag: a partition moves only when its previous owner
    /// has rejoined, which does not change the generation.
    pub(crate) fn delay_owners(&self, lag: Duration) {
        self.lock().owners_lag = Some(OwnersLag { lag, history: Vec::new() });
    }

    /// Silences all connections that are open now; new ones are served.
    pub(crate) fn silence_connections(&self) {
        self.lock().silences += 1;
        self.state.1.notify_all();
    }

    /// Rolls a topic back in a new era: its last `lost` records are gone, and their offsets are
    /// assigned again. Returns the lost records.
    pub(crate) fn roll_back(&self, topic: &str, lost: usize) -> Vec<(String, String)> {
        let mut state = self.lock();
        state.era += 1;
        let records = &mut state.topics.entry(topic.to_owned()).or_default().records;
        let lost_records = records.split_off(records.len().saturating_sub(lost));
        drop(state);
        self.state.1.notify_all();
        lost_records
    }

    /// Waits until a new long poll of a topic begins.
    pub(crate) fn await_long_poll(&self, topic: &str) {
        let long_polls_of =
            |state: &StoreState| state.long_polls.get(topic).copied().unwrap_or_default();
        let before = long_polls_of(&self.lock());
        let began = Instant::now();
        while long_polls_of(&self.lock()) == before {
            assert!(began.elapsed() < HANG_TIME, "no long poll of {topic} began");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Adds a member to the group that does not expire during a test.
    pub(crate) fn add_member(&self, member: &str) {
        let expires = Instant::now() + Duration::from_hours(1);
        let mut state = self.lock();
        state.members.insert(member.to_owned(), expires);
        state.generation += 1;
    }

    /// Returns when members joined from `moment` on.
    pub(crate) fn joins_since(&self, moment: Instant) -> Vec<Instant> {
        self.lock().joins.iter().copied().filter(|join| *join >= moment).collect()
    }

    pub(crate) fn calls(&self) -> u64 {
        self.lock().calls
    }
}

/// Serves one connection; a request gets no response if `should_hang` holds when its response is
/// due.
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

/// Returns the response to a call with its era.
fn respond(state: &(Mutex<StoreState>, Condvar), request: &ServedRequest) -> (u64, (u16, Value)) {
    let mut locked = state.0.lock().unwrap_or_else(PoisonError::into_inner);
    let mut era = locked.era;
    locked.calls += 1;
    let response = respond_to_call(locked, &state.1, request, &mut era);
    (era, response)
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
            let count = locked.topics.get(*topic).map_or(0, |topic| topic.records.len());
            if count <= from && !wait.is_zero() {
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
        ["append", name] => {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
            let topic = locked.topics.entry((*name).to_owned()).or_default();
            topic.records.push((text("key"), text("value")));
            drop(locked);
            changes.notify_all();
            (200, Value::Null)
        }
        ["join"] => {
            locked.joins.push(Instant::now());
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let member = body["member"].as_str().unwrap_or_default().to_owned();
            let millis = body["millis"].as_u64().unwrap_or_default();
            let now = Instant::now();
            let before = locked.members.len();
            locked.members.retain(|_, until| *until > now);
            let expired = locked.members.len() != before;
            let until = now + Duration::from_millis(millis);
            let is_new = locked.members.insert(member.clone(), until).is_none();
            if is_new || expired {
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
