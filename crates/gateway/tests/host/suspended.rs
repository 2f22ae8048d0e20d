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
    engine::EngineMood,
    organisations::site_with_keys,
    site::{TestSite, wait_until},
};

/// For how long hosts are suspended: longer than anything that they may believe for a time.
const AWAY: Duration = Duration::from_secs(20);

/// The clock of a host that can be suspended: its timers stand still meanwhile, and this goes on.
struct SuspendableClock {
    clock: MonotonicClock,
    away: AtomicU64,
}

impl SuspendableClock {
    fn new() -> Arc<Self> {
        Arc::new(Self { clock: MonotonicClock::new(), away: AtomicU64::new(0) })
    }

    fn suspend(&self) {
        self.away.fetch_add(duration_millis(AWAY), Ordering::Relaxed);
    }
}

impl ClockSource for SuspendableClock {
    fn now(&self) -> ClockMillis {
        self.clock.now() + Duration::from_millis(self.away.load(Ordering::Relaxed))
    }
}

/// A key was served for as long as the host had been away beyond the bound: the clock that it was timed by had stood still.
#[test]
fn no_key_is_served_by_what_was_known_before() {
    let site = site_with_keys();
    let clock = SuspendableClock::new();
    let own: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_by("suspended-keys", own, Some(Duration::from_secs(4)));
    let ask = || host.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
    assert!(ask().starts_with("HTTP/1.1 200"));
    site.store.refuse(true);
    clock.suspend();
    let answer = ask();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    site.store.refuse(false);
    wait_until("the key is served again", || ask().starts_with("HTTP/1.1 200"));
}

/// A request whose time ended while the host was away is over, and its engine is not kept at work.
#[test]
fn a_request_whose_time_ended_meanwhile_is_over() {
    let site = TestSite::start();
    let clock = SuspendableClock::new();
    let own: Arc<dyn ClockSource> = clock.clone();
    let host = site.host_by("suspended-request", own, None);
    site.plain.treat(&[EngineMood::Hangs]);
    thread::scope(|scope| {
        let sent = Instant::now();
        let request = scope.spawn(|| host.post("/single/a", "X-Request: o\r\n", "body"));
        wait_until("it is at its engine", || !site.plain.arrivals().is_empty());
        clock.suspend();
        let answer = request.join().expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        // The route's 1,500 ms had hardly begun.
        assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
    });
}

/// A placer that fell silent while this host was away is left at once, not after its patience has begun anew.
#[test]
fn a_peers_word_from_before_is_old() {
    let site = TestSite::start();
    let (clock, other) = (SuspendableClock::new(), site.host("stays-awake"));
    let own: Arc<dyn ClockSource> = clock.clone();
    wait_until("the first host holds the lease", || other.shared.metrics.leases.get() == 1);
    let host = site.host_by("suspended-peer", own, None);
    wait_until("both are counted", || host.shared.table.borrow().hosts == 2);
    clock.suspend();
    // It goes on with the placer's next word, and nothing is broken.
    wait_until("requests are served", || {
        host.post("/single/a", "X-Request: p\r\n", "body").starts_with("HTTP/1.1 200")
    });
    wait_until("the placer is heard again", || host.shared.table.borrow().hosts == 2);
}
