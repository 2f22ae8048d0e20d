//! Orders to engines and their reports over HTTP: paths, field names and codes.

use std::time::Duration;

use reelreel_core::{
    engine::OrderResult,
    id::{FenceToken, Incarnation},
};
use serde::{Deserialize, Serialize};

use super::{ClientError, EngineClient, NamedAction, NamedReport, http_agent, never_connected};

/// How long an engine may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// How long a load may take, with a slow store; other orders take milliseconds.
const LONGEST_LOAD: Duration = Duration::from_mins(2);

/// How long a raise, an unload or a report may take.
const LONGEST_SHORT: Duration = Duration::from_secs(3);

/// Engines over HTTP.
#[derive(Debug, Clone)]
pub struct EngineHttpClient {
    loads: ureq::Agent,
    others: ureq::Agent,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    token: FenceToken,
    action: &'static str,
    adapter: &'a str,
}

#[derive(Deserialize)]
struct DoneBody {
    incarnation: Incarnation,
    sequence: u64,
}

#[derive(Deserialize)]
struct ProblemBody {
    token: FenceToken,
}

#[derive(Deserialize)]
struct ReportBody {
    incarnation: Incarnation,
    sequence: u64,
    token: FenceToken,
    leaving: bool,
    adapters: Vec<AdapterBody>,
    loading: Vec<String>,
}

#[derive(Deserialize)]
struct AdapterBody {
    name: String,
    running: u32,
}

impl EngineHttpClient {
    /// Makes a client for all engines.
    pub fn new() -> Self {
        let loads = http_agent(CONNECT, LONGEST_LOAD);
        Self { loads, others: http_agent(CONNECT, LONGEST_SHORT) }
    }
}

impl Default for EngineHttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient for EngineHttpClient {
    fn order(&self, address: &str, token: FenceToken, action: &NamedAction) -> OrderResult {
        let (agent, name, adapter) = match action {
            NamedAction::Raise => (&self.others, "raise", ""),
            NamedAction::Load(adapter) => (&self.loads, "load", adapter.as_str()),
            NamedAction::Unload(adapter) => (&self.others, "unload", adapter.as_str()),
        };
        let body = serde_json::to_vec(&OrderBody { token, action: name, adapter });
        let body = body.unwrap_or_default();
        match agent.post(format!("http://{address}/orders")).send(&body[..]) {
            Ok(answer) => read_answer(answer),
            Err(error) if never_connected(&error) => OrderResult::NotSent,
            Err(_) => OrderResult::NoAnswer,
        }
    }

    fn report(&self, address: &str) -> Result<NamedReport, ClientError> {
        let failed = |reason: String| {
            let (system, address) = ("engine", address.to_owned());
            ClientError { system, address, reason }
        };
        let answer = self.others.get(format!("http://{address}/report")).call();
        let mut answer = answer.map_err(|error| failed(error.to_string()))?;
        let body = answer.body_mut().read_to_vec().map_err(|error| failed(error.to_string()))?;
        let body: ReportBody =
            serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))?;
        Ok(NamedReport {
            incarnation: body.incarnation,
            sequence: body.sequence,
            token: body.token,
            leaving: body.leaving,
            adapters: body
                .adapters
                .into_iter()
                .map(|adapter| (adapter.name, adapter.running))
                .collect(),
            loading: body.loading,
        })
    }
}

fn read_answer(mut answer: ureq::http::Response<ureq::Body>) -> OrderResult {
    let status = answer.status().as_u16();
    let Ok(body) = answer.body_mut().read_to_vec() else { return OrderResult::NoAnswer };
    match status {
        200 => match serde_json::from_slice::<DoneBody>(&body) {
            Ok(DoneBody { incarnation, sequence }) => OrderResult::Done { incarnation, sequence },
            Err(_) => OrderResult::NoAnswer,
        },
        409 => match serde_json::from_slice::<ProblemBody>(&body) {
            Ok(problem) => OrderResult::Fenced { token: problem.token },
            Err(_) => OrderResult::NoAnswer,
        },
        422 => OrderResult::Failed,
        _ => OrderResult::NoAnswer,
    }
}
