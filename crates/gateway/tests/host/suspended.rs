//! A suspended host: the time of the suspension counts towards the age of its state.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use reelreel_core::{ClockMillis, ClockSource, MonotonicClock, clock::duration_millis};

use crate::{
    engine::EngineBehaviour,
    organisations::site_with_organisations,
    site::{REVOKED_KEY_REVISION, TestSite, wait_until},
};

/// Duration of a suspension: longer than the validity of any cached state.
const SUSPENSION: Duration = Duration::from_secs(20);

/// A clock that advances during a simulated suspension, while timers stand still.
struct SuspendableClock {
    clock: MonotonicClock,
    suspended_millis: AtomicU64,
}

impl SuspendableClock {
    fn new() -> Arc<Self> {
        Arc::new(Self { clock: MonotonicClock::new(), suspended_millis: AtomicU64::new(0) })
    }

    fn suspend(&self) {
        self.suspend_for(SUSPENSION);
    }

    fn suspend_for(&self, time: Duration) {
        self.suspended_millis.fetch_add(duration_millis(time), Ordering::Relaxed);
    }
}

impl ClockSource for SuspendableClock {
    fn now(&self) -> ClockMillis {
        self.clock.now() + Duration::from_millis(self.suspended_millis.load(Ordering::Relaxed))
    }
}

/// Guards against a clock that stands still during a suspension and thereby extends the validity of
/// keys.
#[test]
fn no_key_is_served_from_state_older_than_a_suspension() {
    let site = site_with_organisations();
    let clock = SuspendableClock::new();
    let source: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_with_clock("suspended-keys", source, Some(Duration::from_secs(4)));
    let send = || host.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
    assert!(send().starts_with("HTTP/1.1 200"));
    site.store.refuse(true);
    clock.suspend();
    let response = send();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    site.store.refuse(false);
    wait_until("the key is served again", || send().starts_with("HTTP/1.1 200"));
}

/// Guards against a restored store that confirms the configuration of a host that was suspended
/// when a key was revoked: the restore has lost the revocation.
#[test]
fn a_host_that_was_suspended_through_a_store_restore_serves_no_revoked_key() {
    let site = site_with_organisations();
    let clock = SuspendableClock::new();
    let source: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_with_clock("suspended-restore", source, Some(Duration::from_secs(4)));
    let serves = |key: &str| {
        host.get("/single/a", &format!("X-Request: k\r\nX-Key: {key}\r\n"))
            .starts_with("HTTP/1.1 200")
    };
    assert!(serves("key-n1"));
    let snapshot = site.store.snapshot();
    site.store.refuse(true);
    clock.suspend();
    let revoked = REVOKED_KEY_REVISION.to_string();
    site.store.put("configuration", "routes", &revoked);
    site.store.restore(&snapshot);
    site.store.refuse(false);
    wait_until("the new era is known", || host.shared.metrics.store_era.get() == 1);
    let known_at = Instant::now();
    while known_at.elapsed() < Duration::from_secs(2) {
        assert!(!serves("key-n1"), "served {:?} after the restore", known_at.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    site.store.put("configuration", "routes", &revoked);
    wait_until("another key is served", || serves("key-n2"));
    assert!(!serves("key-n1"));
}

/// Guards against a starting host that is released by one that was suspended when a key was revoked,
/// for less than the bound within which keys stay valid.
#[test]
fn a_host_that_was_suspended_through_a_store_restore_verifies_no_other() {
    let site = site_with_organisations();
    let clock = SuspendableClock::new();
    let source: Arc<dyn ClockSource> = clock.clone();
    let bound = Some(Duration::from_secs(5));
    let suspended = site.host_with_clock("suspended-shortly", source, bound);
    let snapshot = site.store.snapshot();
    site.store.refuse(true);
    clock.suspend_for(Duration::from_secs(3));
    let revoked = REVOKED_KEY_REVISION.to_string();
    site.store.put("configuration", "routes", &revoked);
    site.store.restore(&snapshot);
    site.store.refuse(false);
    wait_until("the new era is known", || suspended.shared.metrics.store_era.get() == 1);
    let started = site.start_host("started", vec![suspended.shared.profile.peer_address]);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        let response = started.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
        assert!(!response.starts_with("HTTP/1.1 200"), "served after {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
}

/// The request must end, and its engine must be released.
#[test]
fn a_request_whose_deadline_passed_during_a_suspension_ends() {
    let site = TestSite::start();
    let clock = SuspendableClock::new();
    let source: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_with_clock("suspended-request", source, None);
    site.plain.set_behaviours(&[EngineBehaviour::Hang]);
    thread::scope(|scope| {
        let sent = Instant::now();
        let request = scope.spawn(|| host.post("/single/a", "X-Request: o\r\n", "body"));
        wait_until("the request reaches its engine", || !site.plain.arrivals().is_empty());
        clock.suspend();
        let response = request.join().expect("a response");
        assert!(response.starts_with("HTTP/1.1 504"), "{response}");
        // The route's timeout of 1,500 ms has not passed in real time.
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
    });
}

/// A placer that has been silent since before the suspension must be left immediately, without
/// another full timeout.
#[test]
fn peer_state_from_before_a_suspension_is_stale() {
    let site = TestSite::start();
    let (clock, placer) = (SuspendableClock::new(), site.host("stays-awake"));
    let source: Arc<dyn ClockSource> = clock.clone();
    wait_until("the first host holds the lease", || placer.shared.metrics.leases.get() == 1);
    let host = site.host_with_clock("suspended-peer", source, None);
    wait_until("both hosts are counted", || host.shared.table.borrow().hosts == 2);
    clock.suspend();
    // The host continues with the placer's next message.
    wait_until("requests are served", || {
        host.post("/single/a", "X-Request: p\r\n", "body").starts_with("HTTP/1.1 200")
    });
    wait_until("the placer's messages are received again", || {
        host.shared.table.borrow().hosts == 2
    });
}
