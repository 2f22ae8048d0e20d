//! Reading, routing and authorization of a request before an engine is chosen.

use std::sync::Arc;

use reelreel_core::{
    clock::duration_millis,
    fleet::{
        ServiceName,
        quarantine::{RequestIdentity, RequestTraits},
        routes::{ConfigRevision, RouteEntry},
    },
    organisation::{OrganisationEntry, OrganisationName, share::QuotaContext},
};
use reelreel_http::HttpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    codec::RequestMetadata,
    events::{HostEvent, RequestEvent},
    metrics::RequestLabels,
    traffic::{
        TrafficState,
        connection::write_local_response,
        exchange::{ClientRequest, ConnectionAction},
        local_response::{
            INVALID_FIELDS, KEY_VALIDITY_UNKNOWN, LocalResponse, NO_REVISION, NO_ROUTE, NOT_READY,
            STOPPING, UNKNOWN_KEY,
        },
    },
};

/// A request with its route and organisation.
#[derive(Debug)]
pub struct PreparedRequest {
    /// Values read from its header fields.
    pub metadata: RequestMetadata,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that runs it.
    pub service: ServiceName,
    /// The requesting organisation; `None` if the route requires no key.
    pub organisation: Option<Arc<OrganisationEntry>>,
    /// The request's identity and the parts of its prompt, by which it may be quarantined.
    pub traits: RequestTraits,
    /// What was charged to the organisation's quota; zero if it has none.
    pub quota_cost: u64,
    /// The configuration revision that determined the route.
    pub revision: ConfigRevision,
}

/// Refusal of a request before an engine is chosen.
#[derive(Debug, Clone)]
pub struct EarlyRefusal {
    /// The response to the client.
    pub response: LocalResponse,
    /// The outcome in logs and metrics.
    pub outcome: &'static str,
    /// The requesting organisation, if known.
    pub organisation: Option<OrganisationName>,
}

impl EarlyRefusal {
    const fn new(response: LocalResponse, outcome: &'static str) -> Self {
        Self { response, outcome, organisation: None }
    }
}

impl From<LocalResponse> for EarlyRefusal {
    fn from(response: LocalResponse) -> Self {
        Self::new(response, "refused_early")
    }
}

/// Reads a request, finds its route and service, and charges the organisation's quota.
///
/// # Errors
/// Returns the refusal to send to the client.
pub fn prepare(
    traffic: &TrafficState,
    request: &ClientRequest,
) -> Result<PreparedRequest, EarlyRefusal> {
    let serves_keys = traffic.shared.serves_keys(request.arrived);
    let table = traffic.table();
    let metadata = traffic.shared.codecs.request.decode_request(&request.head);
    let metadata = metadata.map_err(|_| INVALID_FIELDS)?;
    let Some(routes) = table.routes.as_ref().filter(|_| table.engines_known) else {
        return Err(NOT_READY.into());
    };
    let host = request.head.fields.text("host").unwrap_or_default();
    let Some(route) = routes.route(host, &request.head.target) else {
        return Err(NO_ROUTE.into());
    };
    if routes.requires_key(route) && !serves_keys {
        return Err(EarlyRefusal::new(KEY_VALIDITY_UNKNOWN, "keys_in_doubt"));
    }
    let identified = routes.identify(route, &metadata.key);
    let organisation = identified.map_err(|_| EarlyRefusal::new(UNKNOWN_KEY, "key_refused"))?;
    let max_duration = (!route.kind.is_stream()).then_some(route.timeout);
    if traffic.shared.is_too_late_for(max_duration) {
        return Err(STOPPING.into());
    }
    let Some(service) = route.service(xxh3_64(metadata.id.as_bytes())) else {
        return Err(NO_ROUTE.into());
    };
    let quota_cost = match &organisation {
        Some(organisation) => charge_quota(traffic, organisation, metadata.tokens, table.hosts)?,
        None => 0,
    };
    let (route, service) = (Arc::clone(route), Arc::clone(service));
    let revision = routes.revision();
    let mark = marked_request(request, &metadata, organisation.as_deref()).mark();
    let traits = RequestTraits::new(mark, &service, &metadata.prompt);
    Ok(PreparedRequest { metadata, route, service, organisation, traits, quota_cost, revision })
}

/// Returns the parts of a request that identify it when it is repeated.
fn marked_request<'request>(
    request: &'request ClientRequest,
    metadata: &'request RequestMetadata,
    organisation: Option<&'request OrganisationEntry>,
) -> RequestIdentity<'request> {
    RequestIdentity {
        organisation: organisation.map(|organisation| &*organisation.name),
        method: &request.head.method,
        host: request.head.fields.text("host").unwrap_or_default(),
        target: &request.head.target,
        model: metadata.model.as_deref(),
        body: &request.body,
    }
}

/// Charges a request to its organisation's quota; returns the cost.
fn charge_quota(
    traffic: &TrafficState,
    organisation: &OrganisationEntry,
    tokens: Option<u64>,
    hosts: u32,
) -> Result<u64, EarlyRefusal> {
    let Some(limit) = &organisation.quota else { return Ok(0) };
    let cost = limit.cost(tokens);
    let context =
        QuotaContext { limit, tolerance: &traffic.shared.profile.bounds.quota_tolerance, hosts };
    let spent = traffic.shared.quotas().take(&organisation.name, cost, &context, traffic.now());
    match spent {
        Ok(()) => Ok(cost),
        Err(wait) => Err(EarlyRefusal {
            response: LocalResponse::over_quota(wait),
            outcome: "quota_used_up",
            organisation: Some(Arc::clone(&organisation.name)),
        }),
    }
}

/// Responds to a request that is refused before an engine is chosen.
pub async fn refuse_early(
    traffic: &TrafficState,
    client: &mut HttpStream,
    request: &ClientRequest,
    refusal: EarlyRefusal,
) -> ConnectionAction {
    let EarlyRefusal { response, outcome, organisation } = refusal;
    // Closing the connection lets a retry reach a host that can validate keys.
    let retry_elsewhere = response == KEY_VALIDITY_UNKNOWN;
    let keep = request.head.keeps_connection() && !traffic.shared.is_stopping() && !retry_elsewhere;
    let codec = &traffic.shared.codecs.request;
    let metadata = codec.decode_request(&request.head).ok();
    let fingerprint = metadata.as_ref().and_then(|metadata| metadata.key.fingerprint());
    let id = metadata.map(|metadata| metadata.id);
    let bytes = response.write(&**codec, id.as_deref(), !keep);
    let written = write_local_response(traffic, client, &bytes).await;
    let labels =
        RequestLabels { route: String::from("none"), outcome: response.status.to_string() };
    traffic.shared.metrics.requests.get_or_create(&labels).inc();
    if let Some(organisation) = &organisation {
        traffic.shared.metrics.count_organisation(organisation, outcome);
    }
    traffic.shared.events.write(HostEvent::Request(Box::new(RequestEvent {
        id: id.unwrap_or_default(),
        route: request.head.target.clone(),
        outcome: outcome.into(),
        status: response.status,
        retry_after: response.retry_after.map(duration_millis),
        organisation: organisation.map(|name| name.to_string()),
        fingerprint: fingerprint.filter(|_| response.status == UNKNOWN_KEY.status),
        revision: NO_REVISION,
        ..RequestEvent::default()
    })));
    if keep && written { ConnectionAction::Keep } else { ConnectionAction::Close }
}
