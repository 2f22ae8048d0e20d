//! A stand-in for an engine with its own admission and configurable faults.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use reelreel_core::fleet::prompt::PromptPartId;
use reelreel_stand_ins::connection::{ServedConnection, ServedRequest, StoppableServer, serve};
use serde_json::{Value, json};

use crate::codec::{
    BRITTLE, COOLDOWN, DEADLINE, ENGINE, ENTRY_HOST, LEAVING, LIMIT, MODEL, NOT_RUN, REQUEST,
    RESUME_AFTER, RUN_BY, VERSION, prompt_metadata,
};
use crate::cut_response::{
    ConnectionEnd, CutResponse, is_first_run, write_cut_response, write_paused_stream,
};
use crate::endless_response::{EndlessResponse, EndlessWrite, write_without_end};

/// How an engine handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineBehaviour {
    /// Responds with the request's body.
    Echo,
    /// Responds with this many events, with a delay between them.
    Stream(u32),
    /// Sends large events until the peer has read nothing for this long, then aborts.
    StreamUntilUnread(Duration),
    /// Responds with a body of this many bytes.
    LargeBody(usize),
    /// Cuts the response to the first run of a request, at any engine; further ones are whole.
    Cut(CutResponse),
    /// Sends half of the events of a stream that its connection delimits, and the rest after this
    /// time.
    PauseOpenStream(Duration),
    /// Sends this many events, then closes the connection within the next one.
    TruncateStream(u32),
    /// Responds that the request did not run.
    NotRun,
    /// The same, and sends a copy in the place of the next response on the connection.
    NotRunTwice(DuplicateId),
    /// Sends bytes without end until the peer closes the connection.
    WithoutEnd(EndlessResponse),
    /// Responds with status 500.
    Error,
    /// Closes the connection without a response.
    CloseConnection,
    /// Keeps the connection open without a response.
    Hang,
    /// Closes the connection in the middle of the body.
    TruncateBody,
    /// Responds twice.
    DuplicateResponse,
    /// Sends the response to another request first.
    MismatchedResponseFirst,
    /// Sends a response without a length, which ends with the connection.
    OmitLength,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// Begins the response to the first run of a request, at any engine, with these lines; further
    /// ones are whole.
    MalformedHead(&'static str),
    /// Responds with 503 although the request ran, without the field that says it did not run.
    UnmarkedRefusal,
}

/// The ids in a copy of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DuplicateId {
    /// The id of the request.
    Own,
    /// None.
    Missing,
    /// The id of the next request on the connection, and then that of another one.
    Ambiguous(&'static str),
}

#[derive(Default)]
struct EngineState {
    behaviours: Vec<EngineBehaviour>,
    runs: Vec<ServedRequest>,
    arrivals: Vec<ServedRequest>,
    loaded_models: BTreeSet<String>,
    orders: Vec<Value>,
    sequence: u64,
    client_disconnects: u32,
    /// Number of large events that the system took.
    large_events: usize,
    /// Number of unlimited streams that ended.
    aborts: usize,
    /// Responses without end, once the peer has closed their connection.
    endless_writes: Vec<EndlessWrite>,
    /// Whether it sends each response to an order or report request once more, in the place of the next
    /// one.
    repeats_calls: bool,
    /// How it responds to orders and report requests, if without end.
    endless_calls: Option<EndlessResponse>,
    /// Start of the current incarnation; zero if not reported.
    incarnation: u64,
    /// The highest fence token among the orders it accepted.
    highest_token: u64,
    /// The announced brittleness, if it is brittle.
    brittle: Option<Brittleness>,
    /// Number of requests that it runs.
    running: usize,
    /// When it rejected requests for lack of room, in the last second.
    rejected_at: Vec<Instant>,
    /// Request bodies that crash it.
    crashing_bodies: Vec<Vec<u8>>,
    /// The prompt part that crashes it when it begins to answer.
    crashing_part: Option<PromptPartId>,
    /// When requests with that part reached it.
    crashing_part_arrivals: Vec<Instant>,
    /// Time until the first event of a stream.
    prefill_time: Duration,
    /// The announced request limit, and the interval of responses that carry it.
    limit: Option<(String, usize)>,
    /// The version of the weights that it reports for the requests it ran.
    version: Option<u64>,
    /// It closes the connection after one in this many responses; zero for never.
    close_interval: usize,
    /// The announced departure.
    leaving: Option<String>,
    /// The cooldown that its rejections announce. Unit: seconds.
    cooldown: Option<String>,
    /// When a response first announced the departure: to a request, an order or a state report.
    departure_announced_at: Option<Instant>,
    /// The cooldowns announced to each host, with start and end.
    cooldowns: Vec<(String, Instant, Instant)>,
    /// The host and arrival time of each request.
    requests: Vec<(String, Instant)>,
    /// Arrival times of all calls: requests, orders and state reports.
    calls: Vec<Instant>,
    /// The server of a crashable engine.
    server: StoppableServer,
}

/// Start of the first incarnation of each engine.
pub(crate) const FIRST_INCARNATION: u64 = 1;

/// Size of the events of [`EngineBehaviour::StreamUntilUnread`]. Unit: bytes.
const LARGE_EVENT_BYTES: usize = 64 * 1024;

/// How long an engine runs a request that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// An engine that crashes when it rejects too many requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Brittleness {
    /// Number of requests that it runs or lets wait.
    pub(crate) room: usize,
    /// Number of rejections within a second that it survives.
    pub(crate) bound: usize,
}

/// Time over which a brittle engine counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// A stand-in for an engine.
#[derive(Clone)]
pub(crate) struct StandInEngine {
    state: Arc<Mutex<EngineState>>,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

impl StandInEngine {
    pub(crate) fn start(name: &str, loaded_models: &[&str]) -> Self {
        let state: Arc<Mutex<EngineState>> = Arc::default();
        let mut locked = state.lock().unwrap_or_else(PoisonError::into_inner);
        locked.loaded_models = loaded_models.iter().map(|key| (*key).to_owned()).collect();
        locked.incarnation = FIRST_INCARNATION;
        drop(locked);
        let served = Arc::clone(&state);
        let own_name = name.to_owned();
        let address = serve(move |connection| serve_engine(&served, &own_name, connection));
        Self { state, name: name.to_owned(), address }
    }

    /// Starts an engine at `address` that crashes, with everything it runs, when it gets one of the
    /// `crashing_bodies`.
    pub(crate) fn start_crashable(
        name: &str,
        loaded_models: &[&str],
        address: SocketAddr,
        crashing_bodies: &[&str],
    ) -> Self {
        let state: Arc<Mutex<EngineState>> = Arc::default();
        let engine = Self { state: Arc::clone(&state), name: name.to_owned(), address };
        let mut locked = engine.lock();
        locked.loaded_models = loaded_models.iter().map(|key| (*key).to_owned()).collect();
        locked.incarnation = FIRST_INCARNATION;
        locked.crashing_bodies =
            crashing_bodies.iter().map(|body| body.as_bytes().to_vec()).collect();
        let server = locked.server.clone();
        drop(locked);
        let own_name = name.to_owned();
        server.start(address, move |connection| serve_engine(&state, &own_name, connection));
        engine
    }

    /// Makes a crashable engine crash when it begins to answer a request with a prompt part, unless
    /// that is the prompt's last one; each stream begins after `prefill_time`.
    pub(crate) fn crash_on_part(&self, part: PromptPartId, prefill_time: Duration) {
        let mut state = self.lock();
        state.crashing_part = Some(part);
        state.prefill_time = prefill_time;
    }

    /// Returns when requests with the part that crashes it reached it.
    pub(crate) fn crashing_part_arrivals(&self) -> Vec<Instant> {
        self.lock().crashing_part_arrivals.clone()
    }

    /// Makes a crashable engine brittle; it announces that in all responses.
    pub(crate) fn make_brittle(&self, brittleness: Brittleness) {
        self.lock().brittle = Some(brittleness);
    }

    /// Ends the brittleness.
    pub(crate) fn make_sound(&self) {
        self.lock().brittle = None;
    }

    /// Crashes a crashable engine.
    pub(crate) fn crash(&self) {
        let server = self.lock().server.clone();
        server.stop();
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.lock().server.has_stopped()
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the next requests are handled, in order; the last behaviour stays.
    pub(crate) fn set_behaviours(&self, behaviours: &[EngineBehaviour]) {
        self.lock().behaviours = behaviours.iter().rev().copied().collect();
    }

    /// Returns the requests that it ran.
    pub(crate) fn runs(&self) -> Vec<ServedRequest> {
        self.lock().runs.clone()
    }

    /// Returns the requests that reached it, run or not.
    pub(crate) fn arrivals(&self) -> Vec<ServedRequest> {
        self.lock().arrivals.clone()
    }

    pub(crate) fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Announces a limit in each response from now on, or none.
    pub(crate) fn announce_limit(&self, limit: Option<&str>) {
        self.announce_limit_every(limit, 1);
    }

    /// Announces a limit in one of `every` responses from now on, or none.
    pub(crate) fn announce_limit_every(&self, limit: Option<&str>, every: usize) {
        self.lock().limit = limit.map(|limit| (limit.to_owned(), every));
    }

    /// Returns the maximum number of calls of any kind within `time`, counting calls from `from`
    /// on.
    pub(crate) fn max_calls_within(&self, time: Duration, from: Instant) -> usize {
        let calls = self.lock().calls.clone();
        let calls: Vec<Instant> = calls.into_iter().filter(|call| *call >= from).collect();
        let calls_before_end =
            |first: &Instant| calls.partition_point(|call| *call < *first + time);
        let counts = calls.iter().enumerate().map(|(index, first)| calls_before_end(first) - index);
        counts.max().unwrap_or_default()
    }

    /// Returns the number of calls of any kind that reached it from `from` on.
    pub(crate) fn calls_since(&self, from: Instant) -> usize {
        self.lock().calls.iter().filter(|call| **call >= from).count()
    }

    /// Sends `value` as departure announcement in each response from now on.
    pub(crate) fn announce_departure(&self, value: &str) {
        self.lock().leaving = Some(value.to_owned());
    }

    /// Reports in each response from now on that the request ran on this version of the weights.
    pub(crate) fn announce_version(&self, version: u64) {
        self.lock().version = Some(version);
    }

    /// Closes the connection after one in `interval` responses from now on.
    pub(crate) fn close_connection_every(&self, interval: usize) {
        self.lock().close_interval = interval;
    }

    /// Stops announcing a departure.
    pub(crate) fn withdraw_departure(&self) {
        self.lock().leaving = None;
    }

    /// Rejects requests with a cooldown from now on, or accepts them again.
    pub(crate) fn reject_with_cooldown(&self, cooldown: Option<Duration>) {
        let text = cooldown.map(|cooldown| cooldown.as_secs_f64().to_string());
        self.lock().cooldown = text;
    }

    /// Rejects requests from now on with this text as cooldown.
    pub(crate) fn reject_with_cooldown_text(&self, cooldown: &str) {
        self.lock().cooldown = Some(cooldown.to_owned());
    }

    /// Returns the number of requests that arrived later than `bound` after the departure was first
    /// announced.
    pub(crate) fn requests_after_departure(&self, bound: Duration) -> usize {
        let state = self.lock();
        let Some(announced) = state.departure_announced_at else { return 0 };
        state.requests.iter().filter(|(_, arrived)| *arrived > announced + bound).count()
    }

    /// Returns when a response first announced the departure.
    pub(crate) fn first_departure_announcement(&self) -> Option<Instant> {
        self.lock().departure_announced_at
    }

    /// Returns the maximum number of requests of one host within a cooldown, not counting the first
    /// `grace` of it.
    pub(crate) fn max_requests_in_cooldown(&self, grace: Duration) -> usize {
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

    /// Returns the number of requests rejected with a cooldown.
    pub(crate) fn rejections(&self) -> usize {
        self.lock().cooldowns.len()
    }

    /// Returns when its last cooldown ends.
    pub(crate) fn last_cooldown_end(&self) -> Option<Instant> {
        self.lock().cooldowns.iter().map(|(_, _, until)| *until).max()
    }

    /// Returns the maximum number of requests within `time`.
    pub(crate) fn max_requests_within(&self, time: Duration) -> usize {
        let requests = self.lock().requests.clone();
        let within = |(_, first): &(String, Instant)| {
            requests.iter().filter(|(_, at)| at >= first && *at < *first + time).count()
        };
        requests.iter().map(within).max().unwrap_or_default()
    }

    /// Returns the number of requests that reached it from `from` on.
    pub(crate) fn requests_since(&self, from: Instant) -> usize {
        self.lock().requests.iter().filter(|(_, arrived)| *arrived >= from).count()
    }

    /// Returns the number of bytes of large events that the system took, and of such streams that
    /// ended.
    pub(crate) fn large_event_bytes_and_ends(&self) -> (usize, usize) {
        let state = self.lock();
        (state.large_events * LARGE_EVENT_BYTES, state.aborts)
    }

    /// Returns the number of clients that disconnected during a response.
    /// Returns the responses without end whose connections the peer has closed.
    pub(crate) fn endless_writes(&self) -> Vec<EndlessWrite> {
        self.lock().endless_writes.clone()
    }

    /// Sends each response to an order or report request once more from now on, later.
    pub(crate) fn repeat_responses_to_calls(&self) {
        self.lock().repeats_calls = true;
    }

    /// Responds to orders and report requests without end from now on.
    pub(crate) fn respond_to_calls_without_end(&self, endless: EndlessResponse) {
        self.lock().endless_calls = Some(endless);
    }

    pub(crate) fn client_disconnects(&self) -> u32 {
        self.lock().client_disconnects
    }

    pub(crate) fn entry(&self, service: &str, leaving: bool) -> String {
        let state = self.lock();
        let (loaded_models, incarnation) = (state.loaded_models.clone(), state.incarnation);
        drop(state);
        let address = self.address.to_string();
        json!({
            "service": service, "address": address, "leaving": leaving, "held": loaded_models, "born": incarnation,
        })
        .to_string()
    }

    /// Returns its entry with the number of requests that it runs at a time.
    pub(crate) fn entry_with_slots(&self, service: &str, slots: u32) -> String {
        let mut entry: Value =
            serde_json::from_str(&self.entry(service, false)).expect("a JSON entry");
        entry["slots"] = json!(slots);
        entry.to_string()
    }

    /// Returns its entry with the version of its software.
    pub(crate) fn entry_with_software(&self, service: &str, software: &str) -> String {
        let mut entry: Value =
            serde_json::from_str(&self.entry(service, false)).expect("a JSON entry");
        entry["software"] = json!(software);
        entry.to_string()
    }

    /// Returns its entry in a data hall.
    pub(crate) fn entry_in_hall(&self, service: &str, hall: &str) -> String {
        let mut entry: Value =
            serde_json::from_str(&self.entry(service, false)).expect("a JSON entry");
        entry["hall"] = json!(hall);
        entry.to_string()
    }

    /// Sets the start of the current incarnation.
    pub(crate) fn set_incarnation(&self, incarnation: u64) {
        self.lock().incarnation = incarnation;
    }

    /// Starts a new incarnation under the same name with these models and no other state.
    pub(crate) fn restart(&self, loaded_models: &[&str], incarnation: u64) {
        let mut state = self.lock();
        state.loaded_models = loaded_models.iter().map(|key| (*key).to_owned()).collect();
        state.incarnation = incarnation;
        state.sequence = 0;
        state.highest_token = 0;
        state.orders.clear();
        state.arrivals.clear();
        state.runs.clear();
    }
}

fn serve_engine(state: &Mutex<EngineState>, name: &str, connection: &mut ServedConnection) {
    while let Some(request) = connection.next_request() {
        if connection.send_late_copy().is_none() {
            return;
        }
        let locked = || state.lock().unwrap_or_else(PoisonError::into_inner);
        locked().calls.push(Instant::now());
        let announcements = locked().announcement_fields();
        let closes = locked().closes_connection();
        let endless = locked()
            .endless_calls
            .filter(|_| matches!(request.head.target.as_str(), "/orders" | "/state"));
        let served = match request.head.target.as_str() {
            _ if endless.is_some() => {
                let written = endless.map(|endless| write_without_end(connection, "", endless));
                locked().endless_writes.extend(written);
                None
            }
            "/orders" => {
                let status = apply_order(&mut locked(), &request);
                if locked().repeats_calls {
                    connection.keep_late_copy(status, &announcements, "null");
                }
                connection.answer(status, &announcements, "null")
            }
            "/state" => {
                let state = locked();
                let report = json!({ "sequence": state.sequence, "held": state.loaded_models, "pending": [], "born": state.incarnation });
                let repeats = state.repeats_calls;
                drop(state);
                if repeats {
                    connection.keep_late_copy(200, &announcements, &report.to_string());
                }
                connection.answer(200, &announcements, &report.to_string())
            }
            _ => run(state, name, &request, connection),
        };
        if served.is_none() || closes {
            return;
        }
    }
}

impl EngineState {
    /// Returns the header fields of the next response that announce limit, departure and version.
    fn announcement_fields(&mut self) -> String {
        if self.leaving.is_some() {
            self.departure_announced_at.get_or_insert_with(Instant::now);
        }
        let announced =
            self.limit.as_ref().filter(|(_, every)| self.calls.len().is_multiple_of(*every));
        let limit =
            announced.map_or_else(String::new, |(limit, _)| format!("{LIMIT}: {limit}\r\n"));
        let leaving = self.leaving.as_ref().map(|value| format!("{LEAVING}: {value}\r\n"));
        let version = self.version.map(|version| format!("{VERSION}: {version}\r\n"));
        let brittle = self.brittle.map(|brittle| format!("{BRITTLE}: {}\r\n", brittle.bound));
        let closing = if self.closes_connection() { "Connection: close\r\n" } else { "" };
        limit
            + &leaving.unwrap_or_default()
            + &version.unwrap_or_default()
            + &brittle.unwrap_or_default()
            + closing
    }

    /// Returns whether a brittle engine has no room for a request; it counts the rejection, and
    /// crashes after too many.
    fn rejects_for_room(&mut self) -> bool {
        let full = self.brittle.filter(|brittle| self.running >= brittle.room);
        let Some(Brittleness { bound, .. }) = full else { return false };
        self.rejected_at.retain(|rejected_at| rejected_at.elapsed() < REJECTION_WINDOW);
        self.rejected_at.push(Instant::now());
        if self.rejected_at.len() > bound {
            self.server.stop();
        }
        true
    }

    /// Returns whether beginning to answer a request crashes it.
    fn crashes_on_part(&self, request: &ServedRequest) -> bool {
        let prompt = prompt_metadata(&request.head.fields);
        prompt.shared_parts().iter().any(|part| Some(part.id) == self.crashing_part)
    }

    /// Returns whether it closes the connection after the present response.
    fn closes_connection(&self) -> bool {
        self.close_interval > 0 && self.calls.len().is_multiple_of(self.close_interval)
    }

    /// Records a request and the cooldown that its response announces.
    fn record_request(&mut self, request: &ServedRequest) {
        let (host, now) =
            (request.head.fields.text(ENTRY_HOST).unwrap_or_default(), Instant::now());
        self.requests.push((host.to_owned(), now));
        let cooldown = self.cooldown.as_ref().and_then(|seconds| seconds.parse().ok());
        if let Some(cooldown) = cooldown.map(Duration::from_secs_f64) {
            self.cooldowns.push((host.to_owned(), now, now + cooldown));
        }
    }
}

fn apply_order(state: &mut EngineState, request: &ServedRequest) -> u16 {
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
        state.loaded_models.insert(key);
        202
    } else {
        state.loaded_models.remove(&key);
        200
    }
}

/// Counts a request as running while it exists.
struct RunGuard<'engine>(&'engine Mutex<EngineState>);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).running -= 1;
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
    locked.arrivals.push(request.clone());
    locked.record_request(request);
    let announcements = locked.announcement_fields();
    let expected_engine = request.head.fields.text(ENGINE);
    let key = request.head.fields.text(MODEL);
    let model_missing = key.is_some_and(|key| !locked.loaded_models.contains(key));
    if expected_engine != Some(name) || model_missing {
        drop(locked);
        return connection.answer(421, &format!("{REQUEST}: {id}\r\n{announcements}"), "");
    }
    if let Some(seconds) = locked.cooldown.clone() {
        drop(locked);
        let head =
            format!("{REQUEST}: {id}\r\n{NOT_RUN}: 1\r\n{COOLDOWN}: {seconds}\r\n{announcements}");
        return connection.answer(503, &head, "");
    }
    if locked.rejects_for_room() {
        drop(locked);
        return reject(connection, &id, &announcements);
    }
    if locked.crashing_bodies.contains(&request.body) {
        locked.runs.push(request.clone());
        let server = locked.server.clone();
        drop(locked);
        thread::sleep(CRASH_DELAY);
        server.stop();
        return None;
    }
    if locked.crashes_on_part(request) {
        drop(locked);
        return crash_on_answer(state, name, request, connection);
    }
    let behaviour = match locked.behaviours.len() {
        0 => EngineBehaviour::Echo,
        1 => locked.behaviours[0],
        _ => locked.behaviours.pop().unwrap_or(EngineBehaviour::Echo),
    };
    if !matches!(behaviour, EngineBehaviour::NotRun | EngineBehaviour::NotRunTwice(_)) {
        locked.runs.push(request.clone());
    }
    locked.running += 1;
    drop(locked);
    let _running = RunGuard(state);
    let head = format!("{REQUEST}: {id}\r\n{RUN_BY}: {name}\r\n{announcements}");
    let body = String::from_utf8_lossy(&request.body).into_owned();
    match behaviour {
        EngineBehaviour::Echo => connection.answer(200, &head, &body),
        EngineBehaviour::LargeBody(bytes) => connection.answer(200, &head, &"x".repeat(bytes)),
        EngineBehaviour::StreamUntilUnread(max_wait) => {
            stream_until_unread(state, connection, &head, max_wait)
        }
        EngineBehaviour::Error => connection.answer(500, &head, "engine error"),
        EngineBehaviour::UnmarkedRefusal => connection.answer(503, &head, "busy"),
        EngineBehaviour::NotRun => reject(connection, &id, &announcements),
        EngineBehaviour::NotRunTwice(duplicate) => {
            reject_twice(connection, &id, &announcements, duplicate)
        }
        EngineBehaviour::CloseConnection => None,
        EngineBehaviour::WithoutEnd(endless) => {
            let written = write_without_end(connection, &head, endless);
            state.lock().unwrap_or_else(PoisonError::into_inner).endless_writes.push(written);
            None
        }
        EngineBehaviour::Hang => {
            connection.closes_within(Duration::from_secs(5));
            None
        }
        EngineBehaviour::Garbage => {
            connection.write("not an HTTP response\r\n\r\n")?;
            None
        }
        EngineBehaviour::MalformedHead(lines) => malform(connection, &id, lines, &head, &body),
        EngineBehaviour::TruncateBody => {
            connection
                .write(&format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 900\r\n\r\nshort"))?;
            None
        }
        EngineBehaviour::DuplicateResponse => {
            connection.answer(200, &head, &body)?;
            connection.answer(200, &head, "surplus response")
        }
        EngineBehaviour::MismatchedResponseFirst => {
            let mismatched = format!("{REQUEST}: another\r\n{RUN_BY}: {name}\r\n{announcements}");
            connection.answer(200, &mismatched, "another response")?;
            connection.answer(200, &head, &body)
        }
        EngineBehaviour::OmitLength => {
            connection.write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}"))?;
            None
        }
        EngineBehaviour::Cut(cut) => cut_response(state, request, connection, &head, cut),
        EngineBehaviour::PauseOpenStream(pause) => write_paused_stream(connection, &head, pause),
        EngineBehaviour::Stream(count) => stream(state, request, connection, &head, count, None),
        EngineBehaviour::TruncateStream(count) => {
            stream(state, request, connection, &head, count, Some("id: 99\nda"))
        }
    }
}

/// Begins the response to the first run of a request with these lines.
fn malform(
    connection: &mut ServedConnection,
    id: &str,
    lines: &str,
    fields: &str,
    body: &str,
) -> Option<()> {
    if !is_first_run(id) {
        return connection.answer(200, fields, body);
    }
    let length = body.len();
    connection.write(&format!("{lines}\r\n{fields}Content-Length: {length}\r\n\r\n{body}"))
}

/// Begins to answer a request with the part that crashes the engine: it sends the head of a
/// response, and no event.
fn crash_on_answer(
    state: &Mutex<EngineState>,
    name: &str,
    request: &ServedRequest,
    connection: &mut ServedConnection,
) -> Option<()> {
    let mut locked = state.lock().unwrap_or_else(PoisonError::into_inner);
    locked.crashing_part_arrivals.push(Instant::now());
    locked.runs.push(request.clone());
    let (server, prefill_time) = (locked.server.clone(), locked.prefill_time);
    drop(locked);
    // A run whose client disconnects is dropped.
    if connection.closes_within(prefill_time) {
        return None;
    }
    let id = request.head.fields.text(REQUEST).unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\n{REQUEST}: {id}\r\n{RUN_BY}: {name}\r\n");
    let written = connection.write(&format!("{head}Transfer-Encoding: chunked\r\n\r\n"));
    server.stop();
    written
}

/// Cuts the response to the first run of a request, and ends the engine's process if it is to end.
fn cut_response(
    state: &Mutex<EngineState>,
    request: &ServedRequest,
    connection: &mut ServedConnection,
    head: &str,
    cut: CutResponse,
) -> Option<()> {
    let fields = &request.head.fields;
    let resume_after = fields.text(RESUME_AFTER).and_then(|after| after.parse::<u32>().ok());
    let first = resume_after.map_or(0, |after| after + 1);
    if !is_first_run(fields.text(REQUEST).unwrap_or_default()) {
        return write_cut_response(connection, head, first, cut.further_response());
    }
    let written = write_cut_response(connection, head, first, cut);
    if cut.end == ConnectionEnd::ProcessEnd {
        let server = state.lock().unwrap_or_else(PoisonError::into_inner).server.clone();
        server.stop();
    }
    written
}

/// Responds that a request did not run.
fn reject(connection: &mut ServedConnection, id: &str, announcements: &str) -> Option<()> {
    let head = format!("{REQUEST}: {id}\r\n{NOT_RUN}: 1\r\n{announcements}");
    connection.answer(503, &head, "")
}

/// The same, and keeps a copy for the place of the next response on the connection.
fn reject_twice(
    connection: &mut ServedConnection,
    id: &str,
    announcements: &str,
    duplicate: DuplicateId,
) -> Option<()> {
    reject(connection, id, announcements)?;
    let ids = match duplicate {
        DuplicateId::Own => format!("{REQUEST}: {id}\r\n"),
        DuplicateId::Missing => String::new(),
        DuplicateId::Ambiguous(next) => format!("{REQUEST}: {next}\r\n{REQUEST}: another\r\n"),
    };
    connection.keep_late_copy(503, &format!("{ids}{NOT_RUN}: 1\r\n"), "");
    Some(())
}

/// Sends large events until the peer has read nothing for `max_wait`.
fn stream_until_unread(
    state: &Mutex<EngineState>,
    connection: &mut ServedConnection,
    head: &str,
    max_wait: Duration,
) -> Option<()> {
    connection.write(&format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"))?;
    let _ = connection.socket.set_write_timeout(Some(max_wait));
    let event = format!("data: {}\n\n", "x".repeat(LARGE_EVENT_BYTES));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    while connection.write(&chunk).is_some() {
        state.lock().unwrap_or_else(PoisonError::into_inner).large_events += 1;
    }
    state.lock().unwrap_or_else(PoisonError::into_inner).aborts += 1;
    None
}

fn stream(
    state: &Mutex<EngineState>,
    request: &ServedRequest,
    connection: &mut ServedConnection,
    head: &str,
    count: u32,
    partial_event: Option<&str>,
) -> Option<()> {
    let resume_after = request.head.fields.text(RESUME_AFTER).and_then(|after| after.parse().ok());
    let prefill_time = state.lock().unwrap_or_else(PoisonError::into_inner).prefill_time;
    thread::sleep(prefill_time);
    connection.write(&format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n"))?;
    for number in resume_after.map_or(0, |after: u32| after + 1)..count {
        let event = format!("id: {number}\ndata: {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.write(&chunk).is_none() || connection.closes_within(Duration::from_millis(15))
        {
            state.lock().unwrap_or_else(PoisonError::into_inner).client_disconnects += 1;
            return None;
        }
    }
    if let Some(partial) = partial_event {
        connection.write(&format!("{:x}\r\n{partial}\r\n", partial.len()))?;
        thread::sleep(Duration::from_millis(5));
        return None;
    }
    connection.write("0\r\n\r\n")
}

/// Returns the remaining deadline that a request carried. Unit: milliseconds.
pub(crate) fn received_deadline(request: &ServedRequest) -> Option<u64> {
    request.head.fields.text(DEADLINE)?.parse().ok()
}
