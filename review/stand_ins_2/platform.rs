//! A stand-in for the platform's store: keyed topics and one group, as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, json_value, query};

/// The number of partitions of the group's topic, as in the settings.
pub const PARTS: u64 = 24;

#[derive(Default)]
struct State {
    /// Counts the restores from older copies.
    era: u64,
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    members: BTreeMap<String, (Instant, u64)>,
    generation: u64,
    /// The holder of each partition.
    holders: BTreeMap<u64, String>,
}

/// The store.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Platform {
    /// Starts the store on a free port of `ip`.
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let platform = Self { address, state: Arc::default() };
        let served = platform.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let platform = served.clone();
                thread::spawn(move || platform.serve(socket));
            }
        });
        Ok(platform)
    }

    /// Writes a record for the operator or an engine.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.state.1.notify_all();
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> BTreeMap<String, Vec<(String, Vec<u8>)>> {
        self.state.0.lock().unwrap().topics.clone()
    }

    /// Comes back from an older copy: what was written since is gone, and the era rises.
    pub fn restore(&self, copy: BTreeMap<String, Vec<(String, Vec<u8>)>>) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy;
        state.era += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, socket: TcpStream) {
        let mut connection = Connection::new(socket);
        while let Ok(request) = connection.read_message() {
            let (status, body) = self.answer(&request);
            let era = format!("Store-Era: {}\r\n", self.state.0.lock().unwrap().era);
            if connection.respond(status, &era, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (_, target) = request.target();
        let target = target.to_owned();
        match target.split('?').next().unwrap_or_default() {
            "/log-newest" => ("200 OK", self.newest(&target)),
            "/log-read" => self.read(&target),
            "/log-join" => ("200 OK", self.join(&request.body)),
            "/log-leave" => {
                let mut state = self.state.0.lock().unwrap();
                if state.members.remove(&json_value(&request.body, "member")).is_some() {
                    state.generation += 1;
                    state.deal();
                }
                ("200 OK", b"{}".to_vec())
            }
            "/log-owners" => {
                let mut state = self.state.0.lock().unwrap();
                state.expire();
                let rows = state.holders.iter().map(|(part, member)| {
                    format!("[\"reelreel.placement\",{part},\"{member}\",0]")
                });
                let rows: Vec<String> = rows.collect();
                ("200 OK", format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes())
            }
            // Not of the platform's protocol: how the engine stand-ins write their entries.
            "/put" => {
                self.write(query(&target, "topic"), query(&target, "key"), &request.body);
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, target: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let none = Vec::new();
        let records = state.topics.get(query(target, "topic")).unwrap_or(&none);
        let after = query(target, "after");
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value));
        }
        let items = newest.iter().filter(|(key, (_, value))| **key > after && !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(",")).into_bytes()
    }

    fn read(&self, target: &str) -> (&'static str, Vec<u8>) {
        let from: usize = query(target, "from_rev").parse().unwrap_or(0);
        let wait: u64 = query(target, "wait_ms").parse().unwrap_or(0);
        let topic = query(target, "topic");
        let state = self.state.0.lock().unwrap();
        let wait = Duration::from_millis(wait.min(30_000));
        let era = state.era;
        let is_idle = |state: &mut State| {
            state.era == era && state.topics.get(topic).map_or(0, Vec::len) == from
        };
        let (state, _) = self.state.1.wait_timeout_while(state, wait, is_idle).unwrap();
        let none = Vec::new();
        let records = state.topics.get(topic).unwrap_or(&none);
        if from > records.len() {
            return ("410 Gone", b"{\"first\":0}".to_vec());
        }
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in &records[from..] {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        ("200 OK", bytes)
    }

    fn join(&self, body: &[u8]) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let member = json_value(body, "member");
        let ttl = Duration::from_millis(json_value(body, "ttl_ms").parse().unwrap_or(3000));
        let known: u64 = json_value(body, "generation").parse().unwrap_or(0);
        let is_new = !state.members.contains_key(&member);
        if is_new {
            state.generation += 1;
        }
        let known = if is_new { 0 } else { known };
        state.members.insert(member.clone(), (Instant::now() + ttl, known));
        state.deal();
        // A partition that is to pass on is listed for nobody until its holder has joined anew.
        let rows = state.holders.iter().filter(|(part, holder)| {
            **holder == member && state.target(**part) == Some(&member)
        });
        let rows: Vec<String> =
            rows.map(|(part, _)| format!("[\"reelreel.placement\",{part},0]")).collect();
        let generation = state.generation;
        format!("{{\"generation\":{generation},\"parts\":[{}]}}", rows.join(",")).into_bytes()
    }
}

impl State {
    fn target(&self, part: u64) -> Option<&String> {
        let index = (part as usize).checked_rem(self.members.len())?;
        self.members.keys().nth(index)
    }

    fn expire(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, (until, _)| *until > now);
        if self.members.len() != before {
            self.generation += 1;
            self.deal();
        }
    }

    fn deal(&mut self) {
        for part in 0..PARTS {
            let Some(target) = self.target(part).cloned() else {
                self.holders.clear();
                return;
            };
            let passes_on = match self.holders.get(&part) {
                Some(holder) if *holder == target => false,
                Some(holder) => {
                    self.members.get(holder).is_none_or(|(_, known)| *known >= self.generation)
                }
                None => true,
            };
            if passes_on {
                self.holders.insert(part, target);
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
