//! A stand-in for an engine that admits requests by itself, and does wrong when told to.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use reelreel_stand_ins::connection::{ServedConnection, ServedRequest, StoppableServer, serve};
use serde_json::{Value, json};

use crate::dialect::{
    AFTER, COOLDOWN, DEADLINE, ENGINE, ENTERED, LEAVING, LIMIT, MODEL, NOT_RUN, REQUEST, RUN_BY,
    VERSION,
};

/// How an engine treats the next requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineMood {
    /// It answers with the request's body.
    Well,
    /// It answers with so many events, a while apart.
    Stream(u32),
    /// It breaks the stream off after so many events, in the middle of one.
    StreamCut(u32),
    /// It says that it did not run the request.
    NotRun,
    /// It answers with an error of its own.
    Error,
    /// It closes the connection without an answer.
    Silent,
    /// It gives no answer and keeps the connection.
    Hangs,
    /// It resets the answer in the middle of its body.
    CutBody,
    /// It answers twice.
    Twice,
    /// It first sends the answer to another request.
    StrayFirst,
    /// Its answer has no length and ends with the connection.
    Unframed,
    /// It sends bytes that are no answer.
    Garbage,
    /// It refuses with a status that would promise what it does not know.
    FalsePromise,
}

#[derive(Default)]
struct EngineState {
    moods: Vec<EngineMood>,
    runs: Vec<ServedRequest>,
    heads: Vec<ServedRequest>,
    held: BTreeSet<String>,
    orders: Vec<Value>,
    sequence: u64,
    clients_gone: u32,
    /// When the present life began; zero where it does not say.
    born: u64,
    /// The highest token of an order that it has taken.
    highest_token: u64,
    /// Bodies under which it ends.
    deadly: Vec<Vec<u8>>,
    /// What it says of the requests that it takes, and in every how many answers.
    limit: Option<(String, usize)>,
    /// The version of the weights that it says it ran requests on.
    version: Option<u64>,
    /// What it says of its departure.
    leaving: Option<String>,
    /// What it says of a cooldown while it rejects requests. Unit: seconds.
    cooldown: Option<String>,
    /// When each host was first told that it leaves.
    told_leaving: BTreeMap<String, Instant>,
    /// The cooldowns that each host was asked for: from when on, and until when.
    cooldowns: Vec<(String, Instant, Instant)>,
    /// When requests reached it, and by which host.
    requests: Vec<(String, Instant)>,
    /// When anything reached it: requests, orders, questions for its state.
    calls: Vec<Instant>,
    /// What ends with it, where it can end.
    server: StoppableServer,
}

/// When the first life of each engine began.
pub(crate) const FIRST_BIRTH: u64 = 1;

/// How long an engine runs a request under which it ends.
const DEADLY_RUN: Duration = Duration::from_millis(20);

/// A stand-in for an engine.
#[derive(Clone)]
pub(crate) struct StandInEngine {
    state: Arc<Mutex<EngineState>>,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

impl StandInEngine {
    pub(crate) fn start(name: &str, held: &[&str]) -> Self {
        let state: Arc<Mutex<EngineState>> = Arc::default();
        let mut locked = state.lock().unwrap_or_else(PoisonError::into_inner);
        locked.held = held.iter().map(|key| (*key).to_owned()).collect();
        locked.born = FIRST_BIRTH;
        drop(locked);
        let served = Arc::clone(&state);
        let own = name.to_owned();
        let address = serve(move |connection| serve_engine(&served, &own, connection));
        Self { state, name: name.to_owned(), address }
    }

    /// Starts one life of an engine that ends, with all that it runs, under a request with one of the `deadly` bodies.
    pub(crate) fn start_mortal(
        name: &str,
        held: &[&str],
        address: SocketAddr,
        deadly: &[&str],
    ) -> Self {
        let state: Arc<Mutex<EngineState>> = Arc::default();
        let engine = Self { state: Arc::clone(&state), name: name.to_owned(), address };
        let mut locked = engine.lock();
        locked.held = held.iter().map(|key| (*key).to_owned()).collect();
        locked.born = FIRST_BIRTH;
        locked.deadly = deadly.iter().map(|body| body.as_bytes().to_vec()).collect();
        let server = locked.server.clone();
        drop(locked);
        let own = name.to_owned();
        server.start(address, move |connection| serve_engine(&state, &own, connection));
        engine
    }

    /// Ends the life of an engine that can end.
    pub(crate) fn end(&self) {
        let server = self.lock().server.clone();
        server.stop();
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.lock().server.has_stopped()
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the next requests are treated; the last mood stays.
    pub(crate) fn treat(&self, moods: &[EngineMood]) {
        self.lock().moods = moods.iter().rev().copied().collect();
    }

    /// Returns the requests that it ran.
    pub(crate) fn runs(&self) -> Vec<ServedRequest> {
        self.lock().runs.clone()
    }

    /// Returns the requests that reached it, run or not.
    pub(crate) fn arrivals(&self) -> Vec<ServedRequest> {
        self.lock().heads.clone()
    }

    pub(crate) fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Names a limit in each answer from now on, or none.
    pub(crate) fn name_limit(&self, limit: Option<&str>) {
        self.name_limit_in_every(limit, 1);
    }

    /// Names a limit in one of so many answers from now on, or none.
    pub(crate) fn name_limit_in_every(&self, limit: Option<&str>, every: usize) {
        self.lock().limit = limit.map(|limit| (limit.to_owned(), every));
    }

    /// Returns the most calls of any kind that reached it within a time, of those after `from`.
    pub(crate) fn most_calls_within(&self, time: Duration, from: Instant) -> usize {
        let calls = self.lock().calls.clone();
        let calls: Vec<Instant> = calls.into_iter().filter(|call| *call >= from).collect();
        let until = |first: &Instant| calls.partition_point(|call| *call < *first + time);
        let counts = calls.iter().enumerate().map(|(place, first)| until(first) - place);
        counts.max().unwrap_or_default()
    }

    /// Returns how many calls of any kind reached it after `from`.
    pub(crate) fn calls_since(&self, from: Instant) -> usize {
        self.lock().calls.iter().filter(|call| **call >= from).count()
    }

    /// Says in each response from now on that it leaves, or what else stands there.
    pub(crate) fn announce_departure(&self, value: &str) {
        self.lock().leaving = Some(value.to_owned());
    }

    /// Says in each response from now on that it ran the request on this version of the weights.
    pub(crate) fn run_on_version(&self, version: u64) {
        self.lock().version = Some(version);
    }

    /// Says nothing of its departure any more.
    pub(crate) fn withdraw_announcements(&self) {
        self.lock().leaving = None;
    }

    /// Rejects requests from now on and asks for a cooldown each time, or accepts them again.
    pub(crate) fn reject_for(&self, cooldown: Option<Duration>) {
        let text = cooldown.map(|cooldown| cooldown.as_secs_f64().to_string());
        self.lock().cooldown = text;
    }

    /// Rejects requests from now on and says this of a cooldown.
    pub(crate) fn reject_with(&self, cooldown: &str) {
        self.lock().cooldown = Some(cooldown.to_owned());
    }

    /// Returns how many requests of a host reached it later than `bound` after that host was told that it leaves.
    pub(crate) fn requests_after_departure(&self, bound: Duration) -> usize {
        let state = self.lock();
        let late = state.requests.iter().filter(|(host, arrived)| {
            state.told_leaving.get(host).is_some_and(|told| *arrived > *told + bound)
        });
        late.count()
    }

    /// Returns when the first host was told that it leaves.
    pub(crate) fn departure_told(&self) -> Option<Instant> {
        self.lock().told_leaving.values().min().copied()
    }

    /// Returns the most requests of one host that reached it within a cooldown, from `grace` after its beginning.
    pub(crate) fn most_requests_in_a_cooldown(&self, grace: Duration) -> usize {
        let state = self.lock();
        let within = |(host, from, until): &(String, Instant, Instant)| {
            let requests = state
                .requests
                .iter()
                .filter(|(by, arrived)| by == host && *arrived > *from + grace && arrived < until);
            requests.count()
        };
        state.cooldowns.iter().map(within).max().unwrap_or_default()
    }

    /// Returns how many requests it has rejected with a cooldown.
    pub(crate) fn rejections(&self) -> usize {
        self.lock().cooldowns.len()
    }

    /// Returns when its last cooldown ends.
    pub(crate) fn cooldowns_end(&self) -> Option<Instant> {
        self.lock().cooldowns.iter().map(|(_, _, until)| *until).max()
    }

    /// Returns the most requests that reached it within a time.
    pub(crate) fn most_requests_within(&self, time: Duration) -> usize {
        let requests = self.lock().requests.clone();
        let within = |(_, first): &(String, Instant)| {
            requests.iter().filter(|(_, at)| at >= first && *at < *first + time).count()
        };
        requests.iter().map(within).max().unwrap_or_default()
    }

    /// Returns how many requests reached it from `from` on.
    pub(crate) fn requests_since(&self, from: Instant) -> usize {
        self.lock().requests.iter().filter(|(_, arrived)| *arrived >= from).count()
    }

    /// Returns how many clients left while it worked for them.
    pub(crate) fn clients_gone(&self) -> u32 {
        self.lock().clients_gone
    }

    pub(crate) fn entry(&self, service: &str, leaving: bool) -> String {
        let state = self.lock();
        let (held, born) = (state.held.clone(), state.born);
        drop(state);
        let address = self.address.to_string();
        json!({
            "service": service, "address": address, "leaving": leaving, "held": held, "born": born,
        })
        .to_string()
    }

    /// Sets when the present life began.
    pub(crate) fn begin_life(&self, born: u64) {
        self.lock().born = born;
    }

    /// Begins a life under the same name, which holds this and nothing of before.
    pub(crate) fn restart(&self, held: &[&str], born: u64) {
        let mut state = self.lock();
        state.held = held.iter().map(|key| (*key).to_owned()).collect();
        state.born = born;
        state.sequence = 0;
        state.highest_token = 0;
        state.orders.clear();
        state.heads.clear();
        state.runs.clear();
    }
}

fn serve_engine(state: &Mutex<EngineState>, name: &str, connection: &mut ServedConnection) {
    while let Some(request) = connection.next_request() {
        let locked = || state.lock().unwrap_or_else(PoisonError::into_inner);
        locked().calls.push(Instant::now());
        let limit = locked().announced_fields();
        let served = match request.head.target.as_str() {
            "/orders" => {
                let answer = take_order(&mut locked(), &request);
                connection.answer(answer, &limit, "null")
            }
            "/state" => {
                let state = locked();
                let report = json!({ "sequence": state.sequence, "held": state.held, "pending": [], "born": state.born });
                drop(state);
                connection.answer(200, &limit, &report.to_string())
            }
            _ => run(state, name, &request, connection),
        };
        if served.is_none() {
            return;
        }
    }
}

impl EngineState {
    /// Returns the fields by which the next answer names a limit and says that it leaves, if it does.
    fn announced_fields(&self) -> String {
        let named =
            self.limit.as_ref().filter(|(_, every)| self.calls.len().is_multiple_of(*every));
        let limit = named.map_or_else(String::new, |(limit, _)| format!("{LIMIT}: {limit}\r\n"));
        let leaving = self.leaving.as_ref().map(|value| format!("{LEAVING}: {value}\r\n"));
        let version = self.version.map(|version| format!("{VERSION}: {version}\r\n"));
        limit + &leaving.unwrap_or_default() + &version.unwrap_or_default()
    }

    /// Counts a request, and what its host is told with the answer.
    fn count_request(&mut self, request: &ServedRequest) {
        let (host, now) = (request.head.fields.text(ENTERED).unwrap_or_default(), Instant::now());
        self.requests.push((host.to_owned(), now));
        if self.leaving.is_some() {
            self.told_leaving.entry(host.to_owned()).or_insert(now);
        }
        let cooldown = self.cooldown.as_ref().and_then(|seconds| seconds.parse().ok());
        if let Some(cooldown) = cooldown.map(Duration::from_secs_f64) {
            self.cooldowns.push((host.to_owned(), now, now + cooldown));
        }
    }
}

fn take_order(state: &mut EngineState, request: &ServedRequest) -> u16 {
    let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    if order["sequence"].as_u64() != Some(state.sequence) {
        return 409;
    }
    let token = order["token"].as_u64().unwrap_or_default();
    if token < state.highest_token {
        return 412;
    }
    state.highest_token = token;
    let key = order["key"].as_str().unwrap_or_default().to_owned();
    state.sequence += 1;
    let load = order["load"].as_bool().unwrap_or_default();
    state.orders.push(order);
    if load {
        state.held.insert(key);
        202
    } else {
        state.held.remove(&key);
        200
    }
}

fn run(
    state: &Mutex<EngineState>,
    name: &str,
    request: &ServedRequest,
    connection: &mut ServedConnection,
) -> Option<()> {
    let id = request.head.fields.text(REQUEST).unwrap_or_default().to_owned();
    let mut locked = state.lock().unwrap_or_else(PoisonError::into_inner);
    locked.heads.push(request.clone());
    locked.count_request(request);
    let limit = locked.announced_fields();
    let expected = request.head.fields.text(ENGINE);
    let key = request.head.fields.text(MODEL);
    let absent = key.is_some_and(|key| !locked.held.contains(key));
    if expected != Some(name) || absent {
        drop(locked);
        return connection.answer(421, &format!("{REQUEST}: {id}\r\n{limit}"), "");
    }
    if let Some(seconds) = locked.cooldown.clone() {
        drop(locked);
        let head = format!("{REQUEST}: {id}\r\n{NOT_RUN}: 1\r\n{COOLDOWN}: {seconds}\r\n{limit}");
        return connection.answer(503, &head, "");
    }
    if locked.deadly.contains(&request.body) {
        locked.runs.push(request.clone());
        let server = locked.server.clone();
        drop(locked);
        thread::sleep(DEADLY_RUN);
        server.stop();
        return None;
    }
    let mood = match locked.moods.len() {
        0 => EngineMood::Well,
        1 => locked.moods[0],
        _ => locked.moods.pop().unwrap_or(EngineMood::Well),
    };
    if mood != EngineMood::NotRun {
        locked.runs.push(request.clone());
    }
    drop(locked);
    let head = format!("{REQUEST}: {id}\r\n{RUN_BY}: {name}\r\n{limit}");
    let body = String::from_utf8_lossy(&request.body).into_owned();
    match mood {
        EngineMood::Well => connection.answer(200, &head, &body),
        EngineMood::Error => connection.answer(500, &head, "an error of the engine"),
        EngineMood::FalsePromise => connection.answer(503, &head, "busy"),
        EngineMood::NotRun => {
            connection.answer(503, &format!("{REQUEST}: {id}\r\n{NOT_RUN}: 1\r\n{limit}"), "")
        }
        EngineMood::Silent => None,
        EngineMood::Hangs => {
            connection.closes_within(Duration::from_secs(5));
            None
        }
        EngineMood::Garbage => {
            connection.write("these bytes are no answer\r\n\r\n")?;
            None
        }
        EngineMood::CutBody => {
            connection
                .write(&format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 900\r\n\r\nshort"))?;
            None
        }
        EngineMood::Twice => {
            connection.answer(200, &head, &body)?;
            connection.answer(200, &head, "a second answer")
        }
        EngineMood::StrayFirst => {
            let stray = format!("{REQUEST}: another\r\n{RUN_BY}: {name}\r\n{limit}");
            connection.answer(200, &stray, "somebody else's")?;
            connection.answer(200, &head, &body)
        }
        EngineMood::Unframed => {
            connection.write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}"))?;
            None
        }
        EngineMood::Stream(count) => stream(state, request, connection, &head, count, None),
        EngineMood::StreamCut(count) => {
            stream(state, request, connection, &head, count, Some("id: 99\nda"))
        }
    }
}

fn stream(
    state: &Mutex<EngineState>,
    request: &ServedRequest,
    connection: &mut ServedConnection,
    head: &str,
    count: u32,
    cut: Option<&str>,
) -> Option<()> {
    let first = request.head.fields.text(AFTER).and_then(|after| after.parse().ok());
    connection.write(&format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"))?;
    for number in first.map_or(0, |after: u32| after + 1)..count {
        let event = format!("id: {number}\ndata: {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.write(&chunk).is_none() || connection.closes_within(Duration::from_millis(15))
        {
            state.lock().unwrap_or_else(PoisonError::into_inner).clients_gone += 1;
            return None;
        }
    }
    if let Some(partial) = cut {
        connection.write(&format!("{:x}\r\n{partial}\r\n", partial.len()))?;
        thread::sleep(Duration::from_millis(5));
        return None;
    }
    connection.write("0\r\n\r\n")
}

/// Returns what an engine was told about the time that is left.
pub(crate) fn told_deadline(request: &ServedRequest) -> Option<u64> {
    request.head.fields.text(DEADLINE)?.parse().ok()
}
