//! The platform's log and host list over HTTP: paths, field names and status codes.

use std::time::Duration;

use reelreel_core::{
    engine::EngineInfo,
    id::{LogOffset, StoreEra},
    node::{AppendResult, HostEntry, HostKind, HostListChange, LogStream, ServerInfo},
    settings::fold::LogRecord,
};
use serde::{Deserialize, de::DeserializeOwned};

use super::{ClientError, HostListClient, LogClient, ReadBatch, failed_before_sending, new_agent};

/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a call, in addition to the requested wait for records.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum response size; it must have room for a snapshot record with all adapters.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// The status of a read beyond a stream's end; the response body still gives the end.
const BEYOND_END: u16 = 410;

/// The status by which the platform confirms that nothing was written.
const NOT_WRITTEN: u16 = 429;

/// The HTTP client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformHttpClient {
    address: String,
    agent: ureq::Agent,
}

#[derive(Deserialize)]
struct RecordsResponse {
    #[serde(default)]
    era: StoreEra,
    first: LogOffset,
    end: LogOffset,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: LogOffset,
    written_millis: u64,
    payload: String,
}

#[derive(Deserialize)]
struct HostListResponse {
    version: u64,
    entries: Vec<HostBody>,
    removed: Vec<(String, u32)>,
}

#[derive(Deserialize)]
struct HostBody {
    role: String,
    id: u32,
    hall: u16,
    address: String,
    state: String,
    incarnation: u64,
    #[serde(default)]
    service: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    streams: u32,
    #[serde(default)]
    checks_fence: bool,
}

impl PlatformHttpClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        // Reads extend this timeout by their wait.
        Self { address: address.into(), agent: new_agent(CONNECT_TIMEOUT, RESPONSE_TIMEOUT) }
    }

    fn error(&self, reason: &impl std::fmt::Display) -> ClientError {
        let (system, address) = ("platform", self.address.clone());
        ClientError { system, address, reason: reason.to_string() }
    }

    fn fetch<T: DeserializeOwned>(
        &self,
        path: &str,
        total_timeout: Duration,
    ) -> Result<T, ClientError> {
        let url = format!("http://{}{path}", self.address);
        let call = self.agent.get(url).config().timeout_global(Some(total_timeout)).build().call();
        let mut response = call.map_err(|error| self.error(&error))?;
        let status = response.status().as_u16();
        if status != 200 && status != BEYOND_END {
            return Err(self.error(&format!("status {}", response.status())));
        }
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|error| self.error(&error))?;
        serde_json::from_slice(&body).map_err(|error| self.error(&error))
    }
}

impl LogClient for PlatformHttpClient {
    fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, ClientError> {
        let name = stream.name();
        let path = format!("/streams/{name}/records?from={from}&wait_ms={}", wait.as_millis());
        let mut response: RecordsResponse = self.fetch(&path, wait + RESPONSE_TIMEOUT)?;
        let record = |record: RecordBody| LogRecord {
            offset: record.offset,
            written_millis: record.written_millis,
            payload: record.payload.into_bytes(),
        };
        let records = std::mem::take(&mut response.records).into_iter().map(record).collect();
        let RecordsResponse { era, first, end, .. } = response;
        Ok(ReadBatch { era, first, records, end })
    }

    fn append(&self, stream: LogStream, payload: &[u8]) -> AppendResult {
        let url = format!("http://{}/streams/{}/records", self.address, stream.name());
        match self.agent.post(url).send(payload) {
            Ok(response) if response.status().as_u16() == 201 => AppendResult::Written,
            Ok(response) if response.status().as_u16() == NOT_WRITTEN => AppendResult::Refused,
            Ok(_) => AppendResult::NoAnswer,
            Err(error) if failed_before_sending(&error) => AppendResult::Refused,
            Err(_) => AppendResult::NoAnswer,
        }
    }
}

impl HostListClient for PlatformHttpClient {
    fn changes(&self, since: u64) -> Result<(HostListChange, u64), ClientError> {
        let response: HostListResponse =
            self.fetch(&format!("/hosts?since={since}"), RESPONSE_TIMEOUT)?;
        let mut change = HostListChange {
            entries: response.entries.into_iter().map(host_entry).collect(),
            ..HostListChange::default()
        };
        for (role, id) in response.removed {
            match role.as_str() {
                "entry" => change.removed_hosts.push(id),
                "engine" => change.removed_engines.push(id),
                _ => change.removed_servers.push(id),
            }
        }
        Ok((change, response.version))
    }
}

fn host_entry(host: HostBody) -> HostEntry {
    let HostBody { role, id, hall, address, state, incarnation, service, .. } = host;
    let kind = match role.as_str() {
        "entry" => HostKind::Entry { host: id, hall, address },
        "engine" => HostKind::Engine(EngineInfo {
            engine: id,
            hall,
            service,
            address,
            slots: host.slots,
            streams: host.streams,
            checks_fence: host.checks_fence,
            incarnation,
        }),
        _ => HostKind::Server(ServerInfo { server: id, hall, service, address, incarnation }),
    };
    HostEntry { kind, leaving: state == "leaving" }
}
