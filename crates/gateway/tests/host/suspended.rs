//! A host that is suspended and comes back: whatever it believed has an age, and the time that it was away counts.

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
    site::{TestSite, wait_until},
};

/// For how long hosts are suspended: longer than anything that they may believe for a time.
const SUSPENSION: Duration = Duration::from_secs(20);

/// The clock of a host that can be suspended: its timers stand still meanwhile, and this goes on.
struct SuspendableClock {
    clock: MonotonicClock,
    suspended_millis: AtomicU64,
}

impl SuspendableClock {
    fn new() -> Arc<Self> {
        Arc::new(Self { clock: MonotonicClock::new(), suspended_millis: AtomicU64::new(0) })
    }

    fn suspend(&self) {
        self.suspended_millis.fetch_add(duration_millis(SUSPENSION), Ordering::Relaxed);
    }
}

impl ClockSource for SuspendableClock {
    fn now(&self) -> ClockMillis {
        self.clock.now() + Duration::from_millis(self.suspended_millis.load(Ordering::Relaxed))
    }
}

/// A key was served for as long as the host had been away beyond the bound: the clock that it was timed by had stood still.
#[test]
fn no_key_is_served_from_state_older_than_a_suspension() {
    let site = site_with_organisations();
    let clock = SuspendableClock::new();
    let source: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_with_clock("suspended-keys", source, Some(Duration::from_secs(4)));
    let request_status = || host.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
    assert!(request_status().starts_with("HTTP/1.1 200"));
    site.store.refuse(true);
    clock.suspend();
    let response = request_status();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    site.store.refuse(false);
    wait_until("the key is served again", || request_status().starts_with("HTTP/1.1 200"));
}

/// A request whose time ended while the host was away is over, and its engine is not kept at work.
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
        wait_until("it is at its engine", || !site.plain.arrivals().is_empty());
        clock.suspend();
        let response = request.join().expect("an answer");
        assert!(response.starts_with("HTTP/1.1 504"), "{response}");
        // The route's 1,500 ms had hardly begun.
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
    });
}

/// A placer that fell silent while this host was away is left at once, not after its patience has begun anew.
#[test]
fn peer_state_from_before_a_suspension_is_stale() {
    let site = TestSite::start();
    let (clock, peer) = (SuspendableClock::new(), site.host("stays-awake"));
    let source: Arc<dyn ClockSource> = clock.clone();
    wait_until("the first host holds the lease", || peer.shared.metrics.leases.get() == 1);
    let host = site.host_with_clock("suspended-peer", source, None);
    wait_until("both are counted", || host.shared.table.borrow().hosts == 2);
    clock.suspend();
    // It goes on with the placer's next word, and nothing is broken.
    wait_until("requests are served", || {
        host.post("/single/a", "X-Request: p\r\n", "body").starts_with("HTTP/1.1 200")
    });
    wait_until("the placer is heard again", || host.shared.table.borrow().hosts == 2);
}
