//! One host: its two threads and what they share.

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
        quarantine::{CRASHES_UNTIL_QUARANTINED, QuarantineTracker},
    },
    organisation::share::QuotaShare,
};
use tokio::sync::{Notify, watch};

use crate::{
    codec::Codecs,
    control::run_control,
    demand::{DemandCollector, SharedWork},
    entry::run_entry,
    events::{EventLog, HostEvent},
    metrics::{EngineCallKind, HostMetrics},
    profile::HostProfile,
    table::ServingTable,
};

/// The control thread's stack. Unit: bytes.
const CONTROL_STACK_BYTES: usize = 512 * 1024;

/// For how long a stopping host begins new requests, until the balancer sends none any more.
const STOP_ACCEPT_WINDOW: Duration = Duration::from_millis(2400);

/// What a stopping host leaves between the end of its last request and the operator's grace.
const STOP_MARGIN: Duration = Duration::from_millis(1500);

/// What an engine's response tells beside its announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The engine ran a request, and would have declared a limit.
    Accepted,
    /// The engine did not run a request.
    Rejected,
    /// It belongs to an order or a report, or to a request that is not known.
    Other,
}

/// What the two threads share.
pub struct SharedState {
    /// What the host is told about itself.
    pub profile: HostProfile,
    /// What is spoken at its borders.
    pub codecs: Codecs,
    /// The host's clock.
    pub clock: Arc<dyn ClockSource>,
    /// What the control thread believes.
    pub table: watch::Sender<Arc<ServingTable>>,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Structured log lines.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: HostMetrics,
    /// Requests that are open.
    pub open_requests: AtomicUsize,
    stop_began: OnceLock<ClockMillis>,
    /// Until when requests with keys may arrive. Unit: milliseconds of the host's clock.
    keys_accepted_until: AtomicU64,
    /// Wakes the control thread when there is something to tell at once.
    pub wake_control: Notify,
    demand: Mutex<DemandCollector>,
    shared_work: Mutex<SharedWork>,
    prefill_speeds: Mutex<HashMap<ServiceName, PrefillSpeed>>,
    quotas: Mutex<QuotaShare>,
    quarantine: Mutex<QuarantineTracker>,
    limits: Mutex<LimitShare>,
    departures: Mutex<DepartureRegistry>,
    cooldowns: Mutex<CooldownTable>,
    /// Tells when waiting requests should look again: permits may have come, or an engine has accepted a probe.
    pub permits: watch::Sender<()>,
}

impl SharedState {
    /// Starts with nothing known.
    pub fn new(
        profile: HostProfile,
        codecs: Codecs,
        events: EventLog,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        let quotas =
            if profile.first_start { QuotaShare::unspent() } else { QuotaShare::default() };
        let quarantine = QuarantineTracker::new(&profile.name, CRASHES_UNTIL_QUARANTINED);
        Self {
            profile,
            codecs,
            clock,
            table: watch::Sender::new(Arc::default()),
            stopping: watch::Sender::new(false),
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
            permits: watch::Sender::new(()),
        }
    }

    /// Locks the demand for a moment.
    pub fn demand(&self) -> MutexGuard<'_, DemandCollector> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks how fast the engines of each service read prompts for a moment.
    pub fn prefill_speeds(&self) -> MutexGuard<'_, HashMap<ServiceName, PrefillSpeed>> {
        self.prefill_speeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what all hosts have at engines for a moment.
    pub fn shared_work(&self) -> MutexGuard<'_, SharedWork> {
        self.shared_work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets until when requests with keys may arrive and be served.
    pub fn accept_keys_until(&self, until: ClockMillis) {
        self.keys_accepted_until.store(until.as_millis(), Ordering::Release);
    }

    /// Returns whether a request with a key that arrived at `arrived` may be served.
    ///
    /// To be asked before the table is looked at: the table that is read then holds whatever was
    /// known when the moment was set.
    pub fn serves_keys(&self, arrived: ClockMillis) -> bool {
        arrived.as_millis() <= self.keys_accepted_until.load(Ordering::Acquire)
    }

    /// Locks this host's part in the organisations' quotas for a moment.
    pub fn quotas(&self) -> MutexGuard<'_, QuotaShare> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what this host knows of requests under which engines ended for a moment.
    pub fn quarantine(&self) -> MutexGuard<'_, QuarantineTracker> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what this host knows of the limits that engines name for a moment.
    pub fn limits(&self) -> MutexGuard<'_, LimitShare> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the departures that engines have announced for a moment.
    pub fn departures(&self) -> MutexGuard<'_, DepartureRegistry> {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the cooldowns that engines have asked this host for for a moment.
    pub fn cooldowns(&self) -> MutexGuard<'_, CooldownTable> {
        self.cooldowns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells requests that wait for a permit that some may have come, or that a limit has changed.
    pub fn permits_changed(&self) {
        self.permits.send_replace(());
    }

    /// Takes what a response that has just begun announces of its engine; what it responds to was sent at `sent`.
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
                limit: announcements.limit,
                requested_at: sent,
                absence_is_conclusive,
            };
            wake |= self.limits().receive_declaration(engine, incarnation, declaration, now);
        }
        let mut cooldowns = self.cooldowns();
        match announcements.cooldown {
            Declared::Present(cooldown) => {
                cooldowns.record_cooldown(engine, incarnation, cooldown, now)
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

    /// Counts a call to an engine; one that belongs to no request is made without a permit, which is made up for.
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

    /// Returns whether a planned stop has gone so far that a request might not end in time.
    ///
    /// `max_duration` is how long the request may take, where that is known to be short.
    pub fn is_too_late_for(&self, max_duration: Option<Duration>) -> bool {
        let Some(began) = self.stop_began.get() else { return false };
        let stopping = self.clock.now().since(*began);
        let until = max_duration.map_or(STOP_ACCEPT_WINDOW, |max_duration| {
            let grace = self.profile.bounds.stop_grace;
            grace.saturating_sub(max_duration + STOP_MARGIN).max(STOP_ACCEPT_WINDOW)
        });
        stopping > until
    }

    /// Notes that the settings were read anew; what a running host uses of them does not change.
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
}

/// Runs a host until its planned stop has ended.
///
/// The calling thread carries the traffic; one more thread keeps what the host believes.
///
/// # Errors
/// Returns that an address can not be listened on or a thread not be started.
pub fn run_host(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let control = Arc::clone(shared);
    let thread = std::thread::Builder::new()
        .name(String::from("control"))
        .stack_size(CONTROL_STACK_BYTES)
        .spawn(move || run_control(&control))?;
    run_entry(shared)?;
    let open = shared.open_requests.load(Ordering::Relaxed);
    shared.events.write(HostEvent::Stopped { open });
    // The control thread leaves the group as soon as the stop begins; it is not waited for.
    drop(thread);
    Ok(())
}
