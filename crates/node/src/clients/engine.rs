//! Engine orders and reports over HTTP: paths, field names and status codes.

use std::time::Duration;

use reelreel_core::{
    engine::OrderResult,
    id::{FenceToken, Incarnation},
};
use serde::{Deserialize, Serialize};

use super::{
    ClientError, EngineClient, NamedOrderAction, NamedReport, failed_before_sending, new_agent,
};

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a load order, including the download from a slow store.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);

/// Timeout for raising the fence, an unload or a report.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The HTTP client of all engines.
#[derive(Debug, Clone)]
pub struct EngineHttpClient {
    load_agent: ureq::Agent,
    short_call_agent: ureq::Agent,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    token: FenceToken,
    action: &'static str,
    adapter: &'a str,
}

#[derive(Deserialize)]
struct OrderDoneBody {
    incarnation: Incarnation,
    sequence: u64,
}

#[derive(Deserialize)]
struct FencedBody {
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
    /// Creates a client for all engines.
    pub fn new() -> Self {
        let load_agent = new_agent(CONNECT_TIMEOUT, LOAD_TIMEOUT);
        Self { load_agent, short_call_agent: new_agent(CONNECT_TIMEOUT, SHORT_CALL_TIMEOUT) }
    }
}

impl Default for EngineHttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient for EngineHttpClient {
    fn send_order(
        &self,
        address: &str,
        token: FenceToken,
        action: &NamedOrderAction,
    ) -> OrderResult {
        let (agent, name, adapter) = match action {
            NamedOrderAction::Raise => (&self.short_call_agent, "raise", ""),
            NamedOrderAction::Load(adapter) => (&self.load_agent, "load", adapter.as_str()),
            NamedOrderAction::Unload(adapter) => {
                (&self.short_call_agent, "unload", adapter.as_str())
            }
        };
        let body = serde_json::to_vec(&OrderBody { token, action: name, adapter });
        let body = body.unwrap_or_default();
        match agent.post(format!("http://{address}/orders")).send(&body[..]) {
            Ok(response) => parse_order_response(response),
            Err(error) if failed_before_sending(&error) => OrderResult::NotSent,
            Err(_) => OrderResult::NoAnswer,
        }
    }

    fn report(&self, address: &str) -> Result<NamedReport, ClientError> {
        let client_error = |reason: String| {
            let (system, address) = ("engine", address.to_owned());
            ClientError { system, address, reason }
        };
        let response = self.short_call_agent.get(format!("http://{address}/report")).call();
        let mut response = response.map_err(|error| client_error(error.to_string()))?;
        let body =
            response.body_mut().read_to_vec().map_err(|error| client_error(error.to_string()))?;
        let body: ReportBody =
            serde_json::from_slice(&body).map_err(|error| client_error(error.to_string()))?;
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

fn parse_order_response(mut response: ureq::http::Response<ureq::Body>) -> OrderResult {
    let status = response.status().as_u16();
    let Ok(body) = response.body_mut().read_to_vec() else { return OrderResult::NoAnswer };
    match status {
        200 => match serde_json::from_slice::<OrderDoneBody>(&body) {
            Ok(OrderDoneBody { incarnation, sequence }) => {
                OrderResult::Done { incarnation, sequence }
            }
            Err(_) => OrderResult::NoAnswer,
        },
        409 => match serde_json::from_slice::<FencedBody>(&body) {
            Ok(fenced) => OrderResult::Fenced { token: fenced.token },
            Err(_) => OrderResult::NoAnswer,
        },
        422 => OrderResult::Failed,
        _ => OrderResult::NoAnswer,
    }
}
