//! A host: its two threads and their shared state.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use reelreel_core::{
    ClockMillis, ClockSource,
    fleet::{
        EngineEntry, ServiceName,
        announcement::{Declared, EngineAnnouncements},
        cooldown::CooldownTable,
        departures::DepartureRegistry,
        limits::{limit::LimitDeclaration, share::LimitShare},
        prefill_speed::PrefillSpeed,
        quarantine::{QuarantineThresholds, QuarantineTracker},
        service_share::ServiceShares,
        stream_origins::StreamOrigins,
    },
    organisation::share::QuotaShare,
};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    codec::Codecs,
    control::run_control,
    demand::{DemandCollector, SharedWork},
    events::{EventLog, HostEvent},
    links::HostLinks,
    metrics::{EngineCallKind, HostMetrics},
    profile::HostProfile,
    table::ServingTable,
    traffic::{run_traffic, tunnels::TunnelSocket},
};

/// Stack size of the control thread.
const CONTROL_STACK_BYTES: usize = 512 * 1024;

/// Maximum number of tunnel requests that wait for the traffic thread.
const TUNNEL_QUEUE_LENGTH: usize = 256;

/// How long a stopping host accepts new requests, until the load balancer has noticed the stop.
const STOP_ACCEPT_WINDOW: Duration = Duration::from_millis(2400);

/// Safety margin between the end of the last request and the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(1500);

/// What a response implies about limits and cooldowns when it announces none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The engine ran a request, and would have declared its limit if it had one.
    Accepted,
    /// The engine did not run a request.
    Rejected,
    /// The response belongs to an order, a report, or an unknown request.
    Other,
}

/// State shared by the two threads.
pub struct SharedState {
    /// The configuration of the host.
    pub profile: HostProfile,
    /// The codecs for clients, engines and the store.
    pub codecs: Codecs,
    /// The host's clock.
    pub clock: Arc<dyn ClockSource>,
    /// The latest serving table of the control thread.
    pub table: watch::Sender<Arc<ServingTable>>,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Whether the host has ended. Its threads then end too.
    ended: watch::Sender<bool>,
    /// The structured event log.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: HostMetrics,
    /// Links to engines.
    pub links: Arc<HostLinks>,
    /// Hands tunnel requests over to the traffic thread.
    pub tunnel_sockets: mpsc::Sender<TunnelSocket>,
    tunnel_receiver: Mutex<Option<mpsc::Receiver<TunnelSocket>>>,
    /// Number of open requests.
    pub open_requests: AtomicUsize,
    stop_began: OnceLock<ClockMillis>,
    /// Until when requests with keys are accepted. Unit: milliseconds of the host's clock.
    keys_accepted_until: AtomicU64,
    /// Wakes the control thread when it must send an update immediately.
    pub wake_control: Notify,
    demand: Mutex<DemandCollector>,
    shared_work: Mutex<SharedWork>,
    prefill_speeds: Mutex<HashMap<ServiceName, PrefillSpeed>>,
    quotas: Mutex<QuotaShare>,
    quarantine: Mutex<QuarantineTracker>,
    limits: Mutex<LimitShare>,
    departures: Mutex<DepartureRegistry>,
    cooldowns: Mutex<CooldownTable>,
    service_shares: Mutex<ServiceShares>,
    stream_origins: Mutex<StreamOrigins>,
    /// Notifies waiting requests of changes: permits may have arrived, or an engine has accepted a probe.
    pub permits: watch::Sender<()>,
    /// Notifies running requests that a request or prompt part was quarantined.
    pub quarantine_changes: watch::Sender<()>,
}

impl SharedState {
    /// Creates the state of a starting host.
    pub fn new(
        profile: HostProfile,
        codecs: Codecs,
        events: EventLog,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        let quotas =
            if profile.first_start { QuotaShare::unspent() } else { QuotaShare::default() };
        let quarantine = QuarantineTracker::new(&profile.name, QuarantineThresholds::default());
        let stream_origins = if profile.first_start {
            StreamOrigins::default()
        } else {
            StreamOrigins::of_restarted_host(clock.now())
        };
        let links = HostLinks::new(Arc::clone(&profile.name), Arc::clone(&profile.hall));
        let (tunnel_sockets, tunnel_receiver) = mpsc::channel(TUNNEL_QUEUE_LENGTH);
        Self {
            links: Arc::new(links),
            tunnel_sockets,
            tunnel_receiver: Mutex::new(Some(tunnel_receiver)),
            profile,
            codecs,
            clock,
            table: watch::Sender::new(Arc::default()),
            stopping: watch::Sender::new(false),
            ended: watch::Sender::new(false),
            events,
            metrics: HostMetrics::default(),
            open_requests: AtomicUsize::new(0),
            stop_began: OnceLock::new(),
            keys_accepted_until: AtomicU64::new(0),
            wake_control: Notify::new(),
            demand: Mutex::default(),
            shared_work: Mutex::default(),
            prefill_speeds: Mutex::default(),
            quotas: Mutex::new(quotas),
            quarantine: Mutex::new(quarantine),
            limits: Mutex::default(),
            departures: Mutex::default(),
            cooldowns: Mutex::default(),
            service_shares: Mutex::default(),
            stream_origins: Mutex::new(stream_origins),
            permits: watch::Sender::new(()),
            quarantine_changes: watch::Sender::new(()),
        }
    }

    /// Takes the receiver of tunnel requests; `None` on a later call.
    pub fn take_tunnel_receiver(&self) -> Option<mpsc::Receiver<TunnelSocket>> {
        self.tunnel_receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Locks the collected demand.
    pub fn demand(&self) -> MutexGuard<'_, DemandCollector> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the prefill speed of each service's engines.
    pub fn prefill_speeds(&self) -> MutexGuard<'_, HashMap<ServiceName, PrefillSpeed>> {
        self.prefill_speeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the work of all hosts at engines.
    pub fn shared_work(&self) -> MutexGuard<'_, SharedWork> {
        self.shared_work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets until when arriving requests with keys are accepted.
    pub fn accept_keys_until(&self, until: ClockMillis) {
        self.keys_accepted_until.store(until.as_millis(), Ordering::Release);
    }

    /// Returns whether a request with a key that arrived at `arrived` may be served.
    ///
    /// Call this before reading the table: a table that is read afterwards includes everything that
    /// was known when the time limit was set.
    pub fn serves_keys(&self, arrived: ClockMillis) -> bool {
        arrived.as_millis() <= self.keys_accepted_until.load(Ordering::Acquire)
    }

    /// Locks this host's share of the organisations' quotas.
    pub fn quotas(&self) -> MutexGuard<'_, QuotaShare> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the tracker of requests during which engines crashed.
    pub fn quarantine(&self) -> MutexGuard<'_, QuarantineTracker> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks this host's view of the limits that engines declare.
    pub fn limits(&self) -> MutexGuard<'_, LimitShare> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the announced departures of engines.
    pub fn departures(&self) -> MutexGuard<'_, DepartureRegistry> {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks this host's shares of the limits of plain services.
    pub fn service_shares(&self) -> MutexGuard<'_, ServiceShares> {
        self.service_shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the software versions that began streams.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.stream_origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the cooldowns that engines requested from this host.
    pub fn cooldowns(&self) -> MutexGuard<'_, CooldownTable> {
        self.cooldowns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies requests that wait for a permit that permits may have arrived or a limit has changed.
    pub fn permits_changed(&self) {
        self.permits.send_replace(());
    }

    /// Records the announcements of a response that has just begun; `sent` is when the request was sent.
    pub fn record_announcements(
        &self,
        entry: &EngineEntry,
        announcements: &EngineAnnouncements,
        sent: ClockMillis,
        kind: ResponseKind,
    ) {
        let now = self.clock.now();
        let (engine, incarnation) = (&entry.name, entry.incarnation);
        let mut wake = false;
        if let Declared::Present(_) = announcements.departure {
            wake |= self.departures().record_announced(engine, incarnation, now);
        }
        if !self.departures().is_departing(engine, incarnation) {
            let absence_is_conclusive = kind == ResponseKind::Accepted;
            let declaration = LimitDeclaration {
                limit: announcements.effective_limit(entry.slots),
                requested_at: sent,
                absence_is_conclusive,
            };
            wake |= self.limits().receive_declaration(engine, incarnation, declaration, now);
        }
        let mut cooldowns = self.cooldowns();
        match announcements.cooldown {
            Declared::Present(cooldown) => {
                cooldowns.record_cooldown(engine, incarnation, cooldown, now);
            }
            Declared::Absent | Declared::Unreadable => {
                let accepted = kind == ResponseKind::Accepted;
                if kind != ResponseKind::Other
                    && cooldowns.record_response(engine, incarnation, sent, accepted)
                {
                    self.permits_changed();
                }
            }
        }
        drop(cooldowns);
        self.metrics.count_announcements(announcements);
        if wake {
            self.wake_control.notify_one();
        }
    }

    /// Counts a call to an engine; orders and reports take no permit and are accounted for as unpermitted calls.
    pub fn count_engine_call(&self, engine: &str, kind: EngineCallKind) {
        let mut limits = self.limits();
        let limited = limits.is_limited(engine);
        if matches!(kind, EngineCallKind::Order | EngineCallKind::Report) {
            limits.count_unpermitted(engine);
        }
        drop(limits);
        self.metrics.count_engine_call(kind, limited);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether a planned stop has progressed so far that a new request might not finish in time.
    ///
    /// `max_duration` is the maximum duration of the request, where it is known to be short.
    pub fn is_too_late_for(&self, max_duration: Option<Duration>) -> bool {
        let Some(began) = self.stop_began.get() else { return false };
        let stopping = self.clock.now().since(*began);
        let until = max_duration.map_or(STOP_ACCEPT_WINDOW, |max_duration| {
            let grace = self.profile.bounds.stop_grace;
            grace.saturating_sub(max_duration + STOP_MARGIN).max(STOP_ACCEPT_WINDOW)
        });
        stopping > until
    }

    /// Logs that the settings were checked again; a running host does not apply changes.
    pub fn record_reload(&self, error: Option<impl std::fmt::Display>) {
        let error = error.map(|error| error.to_string());
        self.events.write(HostEvent::Reloaded { mistake: error });
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        let open = self.open_requests.load(Ordering::Relaxed);
        self.stop_began.get_or_init(|| self.clock.now());
        let began = self.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
        if began {
            self.events.write(HostEvent::Stopping { open });
        }
    }

    /// Ends the host at once, with its open requests: all its connections are closed.
    pub fn abort(&self) {
        self.ended.send_replace(true);
    }

    /// Waits until the host has ended.
    pub async fn wait_until_ended(&self) {
        // Can't fail: `self` holds the sender.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }
}

/// Runs a host until its planned stop has ended, or [`SharedState::abort`] is called.
///
/// The calling thread becomes the traffic thread; the control thread is spawned.
///
/// # Errors
/// Returns that listening on an address or starting the thread failed.
pub fn run_host(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let control = Arc::clone(shared);
    let thread = std::thread::Builder::new()
        .name(String::from("control"))
        .stack_size(CONTROL_STACK_BYTES)
        .spawn(move || run_control(&control))?;
    let result = run_traffic(shared);
    shared.abort();
    result?;
    let open = shared.open_requests.load(Ordering::Relaxed);
    shared.events.write(HostEvent::Stopped { open });
    // The control thread has left the group when the stop began, so there is no need to join it.
    drop(thread);
    Ok(())
}
