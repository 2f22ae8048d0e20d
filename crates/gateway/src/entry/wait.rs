//! Waiting for an adapter that no engine holds yet.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::{
    ModelKey, ServiceName,
    cold::{ColdChoice, ColdRequest, LATE_WORTH},
};

use crate::entry::{
    TrafficState,
    bar::SendBar,
    exchange::{Exchange, SENT_AHEAD},
    pick::EnginePick,
};

/// How often a waiting request looks whether a holder can be reached again.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// How long an estimate counts after its time.
const ESTIMATE_GRACE: Duration = Duration::from_millis(300);

/// How waiting for an adapter ended.
pub enum WaitEnd {
    /// An engine may take the request now.
    Changed,
    /// It would not be sent to any engine.
    Barred(SendBar),
    /// The client is gone.
    ClientGone,
    /// The request is refused; the client comes back after so long.
    Refused(Duration),
}

/// Counts a waiting request for as long as it waits.
struct WaitGuard {
    traffic: Rc<TrafficState>,
    service: ServiceName,
    key: ModelKey,
    tokens: u64,
    worth: f64,
}

impl WaitGuard {
    fn new(
        traffic: &Rc<TrafficState>,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        worth: f64,
    ) -> Self {
        traffic.shared.demand().wait_began(service, key, tokens, worth);
        traffic.shared.wake_control.notify_one();
        let (service, key) = (Arc::clone(service), Arc::clone(key));
        Self { traffic: Rc::clone(traffic), service, key, tokens, worth }
    }

    /// Counts the request with what it is worth now.
    fn revalue(&mut self, worth: f64) {
        if worth.total_cmp(&self.worth).is_ne() {
            let mut demand = self.traffic.shared.demand();
            demand.wait_revalued(&self.service, &self.key, worth - self.worth);
            self.worth = worth;
        }
    }

    /// Goes on counting the request until its adapter is there or its client has come back.
    fn hold_for(self, time: Duration) {
        tokio::task::spawn_local(async move {
            let mut changes = self.traffic.table_changes();
            let loaded = async {
                while !self.traffic.table().copies.contains_key(&self.key) {
                    if changes.changed().await.is_err() {
                        return;
                    }
                }
            };
            // Either way the request is counted no longer.
            let _ = tokio::time::timeout(time, loaded).await;
        });
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut demand = self.traffic.shared.demand();
        demand.wait_ended(&self.service, &self.key, self.tokens, self.worth);
    }
}

impl Exchange<'_> {
    /// Waits until an engine may take the request, as long as that is worth it.
    pub async fn wait_for_adapter(&mut self) -> WaitEnd {
        let Some(key) = self.facts.model.clone() else { return WaitEnd::Refused(Duration::ZERO) };
        let mut changes = self.traffic.table_changes();
        if !matches!(self.pick(), EnginePick::Cold) {
            return WaitEnd::Changed;
        }
        let began = self.traffic.now();
        let tokens = self.facts.prompt.tokens();
        let worth = self.cold_request(&key).worth();
        let mut guard = WaitGuard::new(self.traffic, &self.service, &key, tokens, worth);
        let end = loop {
            if let Some(bar) = self.request_bar() {
                break WaitEnd::Barred(bar);
            }
            guard.revalue(self.cold_request(&key).worth());
            let wait = match self.cold_request(&key).choose() {
                ColdChoice::Wait(time) => time,
                ColdChoice::Refuse(time) => break WaitEnd::Refused(time),
            };
            tokio::select! {
                biased;
                change = changes.changed() => {
                    if change.is_err() {
                        break WaitEnd::Refused(Duration::ZERO);
                    }
                }
                () = self.client.closed(SENT_AHEAD) => break WaitEnd::ClientGone,
                () = tokio::time::sleep(wait.min(LOOK_INTERVAL)) => {}
            }
            if !matches!(self.pick(), EnginePick::Cold) {
                break WaitEnd::Changed;
            }
        };
        let waited = self.traffic.now().since(began);
        self.waited += waited;
        self.traffic.shared.metrics.load_wait.observe(waited.as_secs_f64());
        if let WaitEnd::Refused(time) = end {
            guard.revalue(LATE_WORTH);
            guard.hold_for(time + self.route.target);
        }
        end
    }

    fn cold_request(&self, key: &ModelKey) -> ColdRequest {
        let now = self.traffic.now();
        let due = self.traffic.table().estimates.get(key).copied();
        ColdRequest {
            elapsed: now.since(self.request.arrived),
            target: self.route.target,
            remaining: self.deadline.remaining(),
            estimate: due.filter(|due| now.since(*due) < ESTIMATE_GRACE).map(|due| due.since(now)),
            reading: self.traffic.reading_time(&self.service, self.facts.prompt.tokens()),
            longest_pause: self.route.longest_pause,
            returned: self.is_returned(),
        }
    }
}
