//! Links of hosts to engines. Each host reports whether it is isolated, and the coordinator tells
//! isolated hosts through which others they can reach engines.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::tunnel_hosts::{HostLinksReport, TunnelCandidate, TunnelDirectory},
};

use crate::{
    control::{
        aggregates::{AggregateContext, FleetAggregate},
        domain::RemovedSubscriber,
    },
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        tunnel_messages::{HostLinksMessage, TunnelHostsMessage},
    },
};

/// Interval at which an isolated host reports again, and so asks for other hosts.
const ISOLATED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the coordinator's selection of hosts is used.
const SELECTION_TTL: Duration = Duration::from_secs(3);

/// Interval at which the members of the group are looked up, as long as nothing else is known.
const DEFAULTS_INTERVAL: Duration = Duration::from_secs(1);

/// Links of hosts to engines.
pub struct HostLinksAggregate {
    shared: Arc<SharedState>,
    /// What was last reported, and when.
    reported: Option<(bool, ClockMillis)>,
    /// The reports of all hosts, while this host coordinates.
    directory: TunnelDirectory,
    /// Hosts that wait for a selection.
    asking: Vec<Arc<str>>,
    /// When the members of the group were last set.
    defaults_at: Option<ClockMillis>,
    /// When this host last got a selection.
    selected_at: Option<ClockMillis>,
}

impl HostLinksAggregate {
    /// Starts without reports.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            reported: None,
            directory: TunnelDirectory::default(),
            asking: Vec::new(),
            defaults_at: None,
            selected_at: None,
        }
    }

    fn use_selection(&mut self, candidates: Vec<TunnelCandidate>, now: ClockMillis) {
        if !candidates.is_empty() {
            self.selected_at = Some(now);
            self.shared.links.tunnel_hosts().set_candidates(candidates);
        }
    }
}

fn to_report(message: &HostLinksMessage) -> Option<HostLinksReport> {
    let hall = Arc::from(message.hall.as_str());
    let address = message.parsed_address()?;
    Some(HostLinksReport { address, hall, isolated: message.isolated })
}

fn to_candidate(message: &HostLinksMessage) -> Option<TunnelCandidate> {
    to_report(message)
        .map(|report| TunnelCandidate { address: report.address, hall: Some(report.hall) })
}

fn to_message(candidate: &TunnelCandidate) -> HostLinksMessage {
    HostLinksMessage {
        address: candidate.address.to_string(),
        hall: candidate.hall.as_deref().unwrap_or_default().to_owned(),
        isolated: false,
    }
}

impl FleetAggregate for HostLinksAggregate {
    fn start_coordinating(&mut self, _: &AggregateContext<'_>) {
        self.directory.clear();
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {
        self.directory.clear();
        self.shared.metrics.tunnels.isolated_hosts.set(0);
        self.resend_all();
    }

    fn resend_all(&mut self) {
        self.reported = None;
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        let isolated = self.shared.links.is_isolated();
        let due = match self.reported {
            Some((reported, at)) => {
                reported != isolated
                    || (isolated && context.now.since(at) >= ISOLATED_REPORT_INTERVAL)
            }
            None => true,
        };
        if due {
            let profile = &self.shared.profile;
            frame.links = Some(HostLinksMessage {
                address: profile.peer_address.to_string(),
                hall: profile.hall.to_string(),
                isolated,
            });
            self.reported = Some((isolated, context.now));
        }
        due
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if frame.links.is_some() && !sent {
            self.reported = None;
        }
    }

    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        let Some(report) = frame.links.as_ref().and_then(to_report) else { return };
        let isolated = report.isolated;
        self.directory.record(host, report);
        if isolated && host == context.host {
            let selected = self.directory.select_for(host);
            self.use_selection(selected, context.now);
        } else if isolated {
            self.asking.push(Arc::clone(host));
        }
    }

    fn snapshot(&mut self, _: &Arc<str>, _: &mut AggregateFrame, _: &AggregateContext<'_>) {}

    fn handle_unsubscribe(&mut self, subscriber: &RemovedSubscriber, _: &AggregateContext<'_>) {
        self.directory.remove(&subscriber.host);
    }

    fn publish(&mut self, _: &mut AggregateFrame, _: bool, _: &AggregateContext<'_>) {
        let isolated = i64::try_from(self.directory.isolated_hosts()).unwrap_or(i64::MAX);
        self.shared.metrics.tunnels.isolated_hosts.set(isolated);
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        if let Some(message) = &frame.tunnel_hosts {
            let candidates = message.hosts.iter().filter_map(to_candidate).collect();
            self.use_selection(candidates, context.now);
        }
    }

    fn replies(&mut self) -> Vec<(Arc<str>, AggregateFrame)> {
        let reply = |host: Arc<str>| {
            let hosts = self.directory.select_for(&host).iter().map(to_message).collect();
            let tunnel_hosts = Some(TunnelHostsMessage { hosts });
            (host, AggregateFrame { tunnel_hosts, ..AggregateFrame::default() })
        };
        std::mem::take(&mut self.asking).into_iter().map(reply).collect()
    }

    fn tick(&mut self, context: &AggregateContext<'_>) {
        let is_recent =
            |at: Option<ClockMillis>, limit| at.is_some_and(|at| context.now.since(at) < limit);
        if is_recent(self.selected_at, SELECTION_TTL)
            || is_recent(self.defaults_at, DEFAULTS_INTERVAL)
        {
            return;
        }
        // Until the coordinator selects hosts, the members of the group are used.
        self.defaults_at = Some(context.now);
        let known_hosts = context.known_hosts();
        let candidate = |address| TunnelCandidate { address, hall: None };
        let candidates = known_hosts.into_iter().map(candidate).collect();
        self.shared.links.tunnel_hosts().set_candidates(candidates);
    }
}
