//! Stand-in for the platform's store: the topics of operator and engines, and one group.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, json_value};

/// The topic that the operator writes to.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// The topic of the engines' entries.
const ENGINES_TOPIC: &str = "keyed.servers";

/// The number of partitions of a group's topic, as in the hosts' settings.
pub const PARTITIONS: u32 = 24;

/// The interval in which an engine writes its entry again.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

struct Member {
    expires_at: Instant,
    known_generation: u64,
}

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Member>,
    generation: u64,
    holders: BTreeMap<u32, String>,
}

impl Group {
    fn target(&self, partition: u32) -> Option<String> {
        let index = (partition as usize).checked_rem(self.members.len())?;
        self.members.keys().nth(index).cloned()
    }

    /// Removes members that were silent for too long, and passes on what may be passed on.
    fn settle(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        self.generation += u64::from(self.members.len() != before);
        for partition in 0..PARTITIONS {
            let Some(target) = self.target(partition) else {
                self.holders.clear();
                return;
            };
            let holder = self.holders.get(&partition).and_then(|name| self.members.get(name));
            if holder.is_none_or(|holder| holder.known_generation >= self.generation) {
                self.holders.insert(partition, target);
            }
        }
    }

    fn join(&mut self, name: &str, ttl: Duration, known_generation: u64) -> Vec<u32> {
        let now = Instant::now();
        self.settle(now);
        self.generation += u64::from(!self.members.contains_key(name));
        let member = Member { expires_at: now + ttl, known_generation };
        self.members.insert(name.to_owned(), member);
        self.settle(now);
        let is_own = |partition: &u32| {
            let target = self.target(*partition);
            self.holders.get(partition).is_some_and(|holder| holder == name)
                && target.is_some_and(|target| target == name)
        };
        (0..PARTITIONS).filter(is_own).collect()
    }

    fn leave(&mut self, name: &str) {
        self.generation += u64::from(self.members.remove(name).is_some());
        self.settle(Instant::now());
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    /// When each engine last wrote its entry.
    heard: BTreeMap<String, Instant>,
    group: Group,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { address, state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(socket)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT / 4);
                expiring.expire_engines();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = (key.to_owned(), value.as_bytes().to_vec());
        self.lock().topics.entry(topic.to_owned()).or_default().push(record);
        self.state.1.notify_all();
    }

    /// Removes the entries of engines that have not written for three heartbeats.
    fn expire_engines(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let silent = state.heard.iter().filter(|(_, at)| now.duration_since(**at) > HEARTBEAT * 3);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        state.heard.retain(|name, _| !silent.contains(name));
        drop(state);
        for name in silent {
            self.put(ENGINES_TOPIC, &name, "");
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let (status, body) = self.handle(&request);
            if connection.respond(status, "", &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |key: &str| json_value(&body, key).unwrap_or_default().to_owned();
        match request.path() {
            "/log-read" => self.read(request),
            "/log-newest" => (200, self.newest(request.query("topic"), request.query("after"))),
            "/log-join" => {
                let ttl = Duration::from_millis(text("ttl_ms").parse().unwrap_or(2000));
                let known = text("generation").parse().unwrap_or_default();
                let mut state = self.lock();
                let parts = state.group.join(&text("member"), ttl, known);
                let rows = parts.iter().map(|part| format!("[\"reelreel.placement\",{part},0]"));
                let rows: Vec<String> = rows.collect();
                let generation = state.group.generation;
                (200, format!("{{\"generation\":{generation},\"parts\":[{}]}}", rows.join(",")).into())
            }
            "/log-leave" => {
                self.lock().group.leave(&text("member"));
                (200, b"{}".to_vec())
            }
            "/log-owners" => {
                let mut state = self.lock();
                state.group.settle(Instant::now());
                let rows = state.group.holders.iter().map(|(part, holder)| {
                    format!("[\"reelreel.placement\",{part},\"{holder}\",0]")
                });
                let rows: Vec<String> = rows.collect();
                (200, format!("{{\"parts\":[{}]}}", rows.join(",")).into())
            }
            // How engines write their entries is not the system's matter.
            "/stand-in/entry" => {
                let name = request.query("id").to_owned();
                self.lock().heard.insert(name.clone(), Instant::now());
                self.put(ENGINES_TOPIC, &name, &body);
                (200, Vec::new())
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let state = self.lock();
        let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.into_iter().filter(|(key, (_, value))| {
            !value.is_empty() && key.as_str() > after
        });
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(",")).into()
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").to_owned();
        let from: usize = request.query("from_rev").parse().unwrap_or_default();
        let wait: u64 = request.query("wait_ms").parse().unwrap_or_default();
        let end = |state: &State| state.topics.get(&topic).map_or(0, Vec::len);
        let wait = Duration::from_millis(wait.min(30_000));
        let waited = self.state.1.wait_timeout_while(self.lock(), wait, |state| end(state) <= from);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let records = state.topics.get(&topic).map(Vec::as_slice).unwrap_or_default();
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX);
            bytes.extend(length.to_be_bytes());
            bytes.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        (200, bytes)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= group.len() { char::from(DIGITS[value]) } else { '=' });
        }
    }
    text
}
