//! A request's arrival: resolved once, to one immutable adapter version or one plain service.

use std::time::Duration;

use crate::{
    chart::{DrainState, RequestEvent, RequestState},
    claim::ClaimVerdict,
    clock::ClockMillis,
    id::RequestId,
    node::{
        NodeCore, NodeOrder,
        open::{AskState, OpenRequest, RequestRoute},
    },
    request::{ArrivedRequest, RefusalKind, RequestRefusal, RequestTarget},
    settings::{SettingKey, SettingsPath, tree::ModelError},
};

/// How soon to try another host, where this one can not serve.
const OTHER_HOST_SOON: Duration = Duration::from_secs(1);

/// How soon to come back while the log is away.
const LOG_BACK_SOON: Duration = Duration::from_secs(5);

impl NodeCore {
    pub(super) fn arrive(&mut self, request: ArrivedRequest) {
        self.counters.arrived += 1;
        let id = request.id;
        if self.open.contains_key(&id) {
            return;
        }
        match self.admit(&request) {
            Err(refusal) => self.refuse_unopened(id, refusal),
            Ok(open) => {
                let key = request.key.filter(|_| open.keyed);
                let (service, organisation) = (open.service, open.organisation);
                self.retries.note_try(self.now());
                self.open.insert(id, open);
                match key {
                    Some(key) => {
                        let hash = key.hash(service, organisation);
                        self.book.enter(id, hash, key.created_millis);
                        self.set_timer(id, None);
                        self.append_claims();
                    }
                    None => self.claimed(id),
                }
            }
        }
    }

    fn refuse_unopened(&mut self, request: RequestId, refusal: RequestRefusal) {
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        self.orders.push(NodeOrder::Refuse { request, refusal });
    }

    fn admit(&self, request: &ArrivedRequest) -> Result<OpenRequest, RequestRefusal> {
        if self.drain != DrainState::Serving {
            let message = "this host is stopping";
            return Err(RequestRefusal::not_run(RefusalKind::Stopping, message)
                .retry_after(OTHER_HOST_SOON));
        }
        if !self.is_ready() {
            let message = "this host has no configuration yet";
            return Err(RequestRefusal::not_run(RefusalKind::NotReady, message)
                .retry_after(OTHER_HOST_SOON));
        }
        let mut open = match &request.target {
            RequestTarget::Model(model) => self.open_model(request, model)?,
            RequestTarget::Path(path) => self.open_plain(request, path)?,
        };
        // A key is given so that the request runs at most once, unless the caller says otherwise.
        open.keyed = request.key.is_some() && request.repeatable != Some(true);
        open.repeatable = !open.keyed && request.repeatable.unwrap_or(open.settings.repeatable);
        if open.keyed {
            self.check_key(request)?;
        }
        Ok(open)
    }

    fn check_key(&self, request: &ArrivedRequest) -> Result<(), RequestRefusal> {
        if !self.progress.claims_open(self.now()) {
            let message = "the platform's log is away, so the idempotency key can not be claimed";
            return Err(
                RequestRefusal::not_run(RefusalKind::LogAway, message).retry_after(LOG_BACK_SOON)
            );
        }
        let window = self.site_number(SettingKey::ClaimWindowMs);
        let created = request.key.as_ref().and_then(|key| key.created_millis);
        let age = created.map_or(0, |created| self.reading.wall_millis.saturating_sub(created));
        if age > window {
            let message = format!("idempotency keys are remembered for {window} ms");
            return Err(RequestRefusal::unknown(RefusalKind::KeyExpired, message));
        }
        Ok(())
    }

    fn open_model(
        &self,
        request: &ArrivedRequest,
        model: &str,
    ) -> Result<OpenRequest, RequestRefusal> {
        let tree = self.fold.tree();
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
        let mut open = self.open_request(request, &resolved.path, service_name, route);
        open.service = resolved.service;
        open.organisation = resolved.organisation;
        Ok(open)
    }

    fn open_plain(
        &self,
        request: &ArrivedRequest,
        path: &str,
    ) -> Result<OpenRequest, RequestRefusal> {
        let tree = self.fold.tree();
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
        let mut open = self.open_request(request, &place, name.to_string(), RequestRoute::Plain);
        open.service = node.id;
        Ok(open)
    }

    fn open_request(
        &self,
        request: &ArrivedRequest,
        path: &SettingsPath,
        service_name: String,
        route: RequestRoute,
    ) -> OpenRequest {
        let settings = self.fold.tree().effective(path);
        let max_wait = request.max_wait.unwrap_or(settings.deadline);
        let max_tokens =
            request.max_tokens.map_or(settings.max_tokens, |asked| asked.min(settings.max_tokens));
        let base_model = self.fold.tree().text(path, SettingKey::BaseModel).unwrap_or_default();
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
            ask: AskState::Paused,
            engine: None,
            server: None,
            owner: None,
            may_load: false,
            hint: None,
            astray: false,
            full: None,
            timer: ClockMillis::default(),
        }
    }

    /// Goes on with a request whose key is claimed, or that has none.
    fn claimed(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.state = open.state.after(RequestEvent::Claimed);
        self.send_on(id);
    }

    /// Takes what the log decided about a claim.
    pub(super) fn take_verdict(&mut self, verdict: ClaimVerdict) {
        match verdict {
            ClaimVerdict::Won(id) => self.claimed(id),
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

    /// Gives up, at once, the requests whose keys can not be claimed while the log is away.
    pub(super) fn refuse_claiming(&mut self) {
        let claiming = |open: &&OpenRequest| open.state == RequestState::Claiming;
        let ids: Vec<RequestId> = self.open.values().filter(claiming).map(|open| open.id).collect();
        for id in ids {
            let message = "the platform's log is away, so the idempotency key can not be claimed";
            let refusal = RequestRefusal::not_run(RefusalKind::LogAway, message);
            self.end_not_run(id, refusal.retry_after(LOG_BACK_SOON));
        }
    }
}
