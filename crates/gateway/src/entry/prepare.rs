//! What is found out about a request before it goes anywhere.

use std::sync::Arc;

use reelreel_core::{
    fleet::{
        ServiceName,
        quarantine::{RequestIdentity, RequestMark},
        routes::{ConfigRevision, RouteEntry},
    },
    organisation::{OrganisationEntry, OrganisationName, share::QuotaContext},
};
use reelreel_http::HttpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    codec::RequestMetadata,
    entry::{
        TrafficState,
        answer::{
            BAD_FIELDS, KEYS_IN_DOUBT, NO_ORGANISATION, NO_REVISION, NO_ROUTE, NOT_READY,
            OwnAnswer, STOPPING,
        },
        exchange::{ClientRequest, ExchangeEnd},
    },
    events::{HostEvent, RequestEvent},
    metrics::RequestLabels,
};

/// What a request says and where its route leads.
#[derive(Debug)]
pub struct PreparedRequest {
    /// What it says.
    pub facts: RequestMetadata,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that runs it.
    pub service: ServiceName,
    /// Who asks; absent where its route asks for no key.
    pub organisation: Option<Arc<OrganisationEntry>>,
    /// By what it is known again when it comes back.
    pub mark: RequestMark,
    /// What was taken of the organisation's quota for it; zero where it has none.
    pub quota_cost: u64,
    /// The configuration that decided its route.
    pub revision: ConfigRevision,
}

/// A request that goes nowhere.
#[derive(Debug, Clone)]
pub struct EarlyRefusal {
    /// What its client is told.
    pub answer: OwnAnswer,
    /// What logs and metrics call it.
    pub outcome: &'static str,
    /// Who asked, where that is known.
    pub organisation: Option<OrganisationName>,
}

impl EarlyRefusal {
    const fn new(answer: OwnAnswer, outcome: &'static str) -> Self {
        Self { answer, outcome, organisation: None }
    }
}

impl From<OwnAnswer> for EarlyRefusal {
    fn from(answer: OwnAnswer) -> Self {
        Self::new(answer, "refused_early")
    }
}

/// Finds what a request says and where its route leads.
///
/// # Errors
/// Returns the answer that refuses it at once.
pub fn prepare(
    traffic: &TrafficState,
    request: &ClientRequest,
) -> Result<PreparedRequest, EarlyRefusal> {
    let serves_keys = traffic.shared.serves_keys(request.arrived);
    let table = traffic.table();
    let facts = traffic.shared.codecs.request.decode_request(&request.head);
    let facts = facts.map_err(|_| BAD_FIELDS)?;
    let Some(routes) = table.routes.as_ref().filter(|_| table.engines_known) else {
        return Err(NOT_READY.into());
    };
    let host = request.head.fields.text("host").unwrap_or_default();
    let Some(route) = routes.route(host, &request.head.target) else {
        return Err(NO_ROUTE.into());
    };
    if routes.requires_key(route) && !serves_keys {
        return Err(EarlyRefusal::new(KEYS_IN_DOUBT, "keys_in_doubt"));
    }
    let identified = routes.identify(route, &facts.key);
    let organisation = identified.map_err(|_| EarlyRefusal::new(NO_ORGANISATION, "key_refused"))?;
    let longest = (!route.kind.is_stream()).then_some(route.timeout);
    if traffic.shared.is_too_late_for(longest) {
        return Err(STOPPING.into());
    }
    let Some(service) = route.service(xxh3_64(facts.id.as_bytes())) else {
        return Err(NO_ROUTE.into());
    };
    let quota_cost = match &organisation {
        Some(organisation) => take_quota(traffic, organisation, facts.tokens, table.hosts)?,
        None => 0,
    };
    let (route, service) = (Arc::clone(route), Arc::clone(service));
    let revision = routes.revision();
    let mark = marked(request, &facts, organisation.as_deref()).mark();
    Ok(PreparedRequest { facts, route, service, organisation, mark, quota_cost, revision })
}

/// Returns what a request is known again by.
fn marked<'request>(
    request: &'request ClientRequest,
    facts: &'request RequestMetadata,
    organisation: Option<&'request OrganisationEntry>,
) -> RequestIdentity<'request> {
    RequestIdentity {
        organisation: organisation.map(|organisation| &*organisation.name),
        method: &request.head.method,
        host: request.head.fields.text("host").unwrap_or_default(),
        target: &request.head.target,
        model: facts.model.as_deref(),
        body: &request.body,
    }
}

/// Takes what a request counts from its organisation's quota; returns how much.
fn take_quota(
    traffic: &TrafficState,
    organisation: &OrganisationEntry,
    tokens: Option<u64>,
    hosts: u32,
) -> Result<u64, EarlyRefusal> {
    let Some(limit) = &organisation.quota else { return Ok(0) };
    let cost = limit.cost(tokens);
    let terms =
        QuotaContext { limit, tolerance: &traffic.shared.profile.bounds.quota_tolerance, hosts };
    let taken = traffic.shared.quotas().take(&organisation.name, cost, &terms, traffic.now());
    match taken {
        Ok(()) => Ok(cost),
        Err(wait) => Err(EarlyRefusal {
            answer: OwnAnswer::over_quota(wait),
            outcome: "quota_used_up",
            organisation: Some(Arc::clone(&organisation.name)),
        }),
    }
}

/// Answers a request that goes nowhere.
pub async fn refuse_early(
    traffic: &TrafficState,
    client: &mut HttpStream,
    request: &ClientRequest,
    refusal: EarlyRefusal,
) -> ExchangeEnd {
    let EarlyRefusal { answer, outcome, organisation } = refusal;
    // Who comes back is to reach a host that can tell.
    let sent_elsewhere = answer == KEYS_IN_DOUBT;
    let keep = request.head.keeps_connection() && !traffic.shared.is_stopping() && !sent_elsewhere;
    let dialect = &traffic.shared.codecs.request;
    let facts = dialect.decode_request(&request.head).ok();
    let fingerprint = facts.as_ref().and_then(|facts| facts.key.fingerprint());
    let id = facts.map(|facts| facts.id);
    let bytes = answer.write(&**dialect, id.as_deref(), !keep);
    let sent = client.write(&bytes).await.is_ok();
    let labels = RequestLabels { route: String::from("none"), outcome: answer.status.to_string() };
    traffic.shared.metrics.requests.get_or_create(&labels).inc();
    if let Some(organisation) = &organisation {
        traffic.shared.metrics.count_organisation(organisation, outcome);
    }
    traffic.shared.events.write(HostEvent::Request(RequestEvent {
        id: id.unwrap_or_default(),
        route: request.head.target.clone(),
        outcome: outcome.into(),
        status: answer.status,
        organisation: organisation.map(|name| name.to_string()),
        fingerprint: fingerprint.filter(|_| answer.status == NO_ORGANISATION.status),
        revision: NO_REVISION,
        ..RequestEvent::default()
    }));
    if keep && sent { ExchangeEnd::Keep } else { ExchangeEnd::Close }
}
