//! Admission of arriving requests. Each is resolved once, to one immutable adapter version or one
//! plain service.

use std::time::Duration;

use crate::{
    chart::{DrainState, RequestEvent, RequestState},
    claim::ClaimVerdict,
    clock::ClockMillis,
    id::RequestId,
    node::{
        NodeAction, NodeCore,
        open_request::{OpenRequest, PermitAskState, RequestRoute},
    },
    request::{ArrivedRequest, RefusalKind, RequestRefusal, RequestTarget},
    settings::{SettingKey, SettingsPath, tree::ModelError},
};

/// The retry delay reported to callers of a host that is stopping or not ready.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The retry delay reported to callers while the platform's log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(5);

impl NodeCore {
    pub(super) fn handle_arrival(&mut self, request: ArrivedRequest) {
        self.counters.arrived += 1;
        let id = request.id;
        if self.open_requests.contains_key(&id) {
            return;
        }
        match self.admit(&request) {
            Err(refusal) => self.refuse_arrival(id, refusal),
            Ok(open_request) => {
                let key = request.key.filter(|_| open_request.keyed);
                let (service, organisation) = (open_request.service, open_request.organisation);
                self.retry_budget.record_attempt(self.now());
                self.open_requests.insert(id, open_request);
                match key {
                    Some(key) => {
                        let hash = key.hash(service, organisation);
                        self.claim_tracker.track(id, hash, key.created_millis);
                        self.set_timer(id, None);
                        self.append_claims();
                    }
                    None => self.start_routing(id),
                }
            }
        }
    }

    fn refuse_arrival(&mut self, request: RequestId, refusal: RequestRefusal) {
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        self.actions.push(NodeAction::Refuse { request, refusal });
    }

    fn admit(&self, request: &ArrivedRequest) -> Result<OpenRequest, RequestRefusal> {
        if self.drain != DrainState::Serving {
            let message = "this host is stopping";
            return Err(RequestRefusal::not_run(RefusalKind::Stopping, message)
                .retry_after(OTHER_HOST_RETRY_AFTER));
        }
        if !self.is_ready() {
            let message = "this host has no configuration yet";
            return Err(RequestRefusal::not_run(RefusalKind::NotReady, message)
                .retry_after(OTHER_HOST_RETRY_AFTER));
        }
        let mut open_request = match &request.target {
            RequestTarget::Model(model) => self.resolve_model_request(request, model)?,
            RequestTarget::Path(path) => self.resolve_plain_request(request, path)?,
        };
        // A request with an idempotency key runs at most once, unless the caller allows repeats.
        open_request.keyed = request.key.is_some() && request.repeatable != Some(true);
        open_request.repeatable =
            !open_request.keyed && request.repeatable.unwrap_or(open_request.settings.repeatable);
        if open_request.keyed {
            self.check_idempotency_key(request)?;
        }
        Ok(open_request)
    }

    fn check_idempotency_key(&self, request: &ArrivedRequest) -> Result<(), RequestRefusal> {
        if !self.progress.claims_open(self.now()) {
            let message = "the platform's log is away, so the idempotency key can not be claimed";
            return Err(
                RequestRefusal::not_run(RefusalKind::LogAway, message).retry_after(LOG_RETRY_AFTER)
            );
        }
        let window = self.site_integer(SettingKey::ClaimWindowMs);
        let created = request.key.as_ref().and_then(|key| key.created_millis);
        let age = created.map_or(0, |created| self.reading.wall_millis.saturating_sub(created));
        if age > window {
            let message = format!("idempotency keys are remembered for {window} ms");
            return Err(RequestRefusal::unknown(RefusalKind::KeyExpired, message));
        }
        Ok(())
    }

    fn resolve_model_request(
        &self,
        request: &ArrivedRequest,
        model: &str,
    ) -> Result<OpenRequest, RequestRefusal> {
        let tree = self.settings.tree();
        let resolved = tree.resolve(model).map_err(|error| {
            let kind = match error {
                ModelError::Malformed(_) | ModelError::Ambiguous(_) => RefusalKind::BadRequest,
                _ => RefusalKind::NotFound,
            };
            RequestRefusal::not_run(kind, error.to_string())
        })?;
        let name = tree.adapter_name(resolved.adapter).unwrap_or_default();
        let service_name = resolved.path.segments()[0].to_string();
        let route = RequestRoute::Adapter { adapter: resolved.adapter, name };
        let mut open_request = self.new_open_request(request, &resolved.path, service_name, route);
        open_request.service = resolved.service;
        open_request.organisation = resolved.organisation;
        Ok(open_request)
    }

    fn resolve_plain_request(
        &self,
        request: &ArrivedRequest,
        path: &str,
    ) -> Result<OpenRequest, RequestRefusal> {
        let tree = self.settings.tree();
        let prefix = |name: &str| {
            let place = SettingsPath::site().child(name);
            tree.text(&place, SettingKey::PathPrefix)
        };
        let plain = |name: &str| {
            let place = SettingsPath::site().child(name);
            tree.text(&place, SettingKey::Kind).is_some_and(|kind| kind == "plain")
        };
        let below = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let service = tree
            .root
            .children
            .iter()
            .filter_map(|(name, node)| Some((name, node, prefix(name)?)))
            .filter(|(name, _, prefix)| plain(name) && !prefix.is_empty() && below(prefix))
            .max_by_key(|(_, _, prefix)| prefix.len());
        let Some((name, node, _)) = service else {
            let message = format!("no service is reached at `{path}`");
            return Err(RequestRefusal::not_run(RefusalKind::NotFound, message));
        };
        let place = SettingsPath::site().child(name);
        let mut open_request =
            self.new_open_request(request, &place, name.to_string(), RequestRoute::Plain);
        open_request.service = node.id;
        Ok(open_request)
    }

    fn new_open_request(
        &self,
        request: &ArrivedRequest,
        path: &SettingsPath,
        service_name: String,
        route: RequestRoute,
    ) -> OpenRequest {
        let settings = self.settings.tree().effective(path);
        let max_wait = request.max_wait.unwrap_or(settings.deadline);
        let max_tokens = request
            .max_tokens
            .map_or(settings.max_tokens, |requested| requested.min(settings.max_tokens));
        let base_model = self.settings.tree().text(path, SettingKey::BaseModel).unwrap_or_default();
        OpenRequest {
            id: request.id,
            base_model,
            state: RequestState::initial(),
            service: 0,
            service_name,
            organisation: 0,
            route,
            deadline: self.now() + max_wait,
            max_tokens,
            settings,
            repeatable: false,
            keyed: false,
            attempt: 0,
            ask_state: PermitAskState::Backoff,
            engine: None,
            server: None,
            owner: None,
            may_load: false,
            preferred_engine: None,
            misrouted: false,
            full_engine: None,
            timer_at: ClockMillis::default(),
        }
    }

    /// Starts routing a request whose key is claimed, or that has no key.
    fn start_routing(&mut self, id: RequestId) {
        let Some(open_request) = self.open_requests.get_mut(&id) else { return };
        open_request.state = open_request.state.after(RequestEvent::Claimed);
        self.route_request(id);
    }

    /// Continues or refuses a request according to the log's decision on its claim.
    pub(super) fn apply_verdict(&mut self, verdict: ClaimVerdict) {
        match verdict {
            ClaimVerdict::Won(id) => self.start_routing(id),
            ClaimVerdict::Lost(id) => {
                let message = "another request holds this idempotency key";
                let refusal = RequestRefusal::unknown(RefusalKind::KeyClaimed, message);
                self.end_not_run(id, refusal);
            }
            ClaimVerdict::Expired(id) => {
                let message = "the idempotency key is older than keys are remembered";
                let refusal = RequestRefusal::unknown(RefusalKind::KeyExpired, message);
                self.end_not_run(id, refusal);
            }
        }
    }

    /// Refuses the requests whose keys are still being claimed; the log is unavailable.
    pub(super) fn refuse_claiming_requests(&mut self) {
        let claiming = |open_request: &&OpenRequest| open_request.state == RequestState::Claiming;
        let ids: Vec<RequestId> = self
            .open_requests
            .values()
            .filter(claiming)
            .map(|open_request| open_request.id)
            .collect();
        for id in ids {
            let message = "the platform's log is away, so the idempotency key can not be claimed";
            let refusal = RequestRefusal::not_run(RefusalKind::LogAway, message);
            self.end_not_run(id, refusal.retry_after(LOG_RETRY_AFTER));
        }
    }
}
