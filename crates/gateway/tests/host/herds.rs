//! Hosts that get most requests of a site, one after the other.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineBehaviour, StandInEngine},
    fleet::TestFleet,
    site::wait_until,
};

/// Time in which requests are spread evenly, of which the second half is measured.
const EVEN_TIME: Duration = Duration::from_secs(4);

/// Time for which nine in ten of all requests arrive at one host, before they do at the next.
const HERD_TIME: Duration = Duration::from_secs(4);

/// Time from which requests must be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of requests that an engine runs at a time.
const SLOTS: u32 = 64;

/// Least ratio of the served fractions in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// A site, and requests that arrive there.
struct HerdCase {
    name: &'static str,
    service: &'static str,
    engines: usize,
    hosts: usize,
    /// Over all hosts. Unit: requests per second.
    rate: f64,
    /// Factor on the rate during the herd.
    surge: f64,
    prepare: fn(&[StandInEngine]),
}

/// Streams of 0.6 s or more, of which some 45 are open at the engine; that may have 200 connections.
const STREAMS: HerdCase = HerdCase {
    name: "streams",
    service: "assist",
    engines: 1,
    hosts: 10,
    rate: 75.0,
    surge: 1.0,
    prepare: |engines| {
        for engine in engines {
            engine.set_behaviours(&[EngineBehaviour::Stream(40)]);
        }
    },
};

const SHORT_CASES: &[HerdCase] = &[
    HerdCase {
        name: "a plain service, half as many again",
        service: "plain",
        engines: 3,
        hosts: 6,
        rate: 60.0,
        surge: 1.5,
        prepare: |_| {},
    },
    HerdCase {
        name: "limits of all engines, which take a quarter more",
        service: "assist",
        engines: 3,
        hosts: 6,
        rate: 24.0,
        surge: 1.0,
        prepare: |engines| {
            for engine in engines {
                engine.announce_limit(Some("10"));
            }
        },
    },
    HerdCase {
        name: "short streams, half as many again",
        service: "assist",
        engines: 3,
        hosts: 6,
        rate: 60.0,
        surge: 1.5,
        prepare: |_| {},
    },
];

/// Requests of one time, and those of them that were served.
#[derive(Default)]
struct ServedCount {
    requests: AtomicUsize,
    served: AtomicUsize,
}

impl ServedCount {
    fn fraction(&self) -> f64 {
        self.served.load(Ordering::Relaxed) as f64 / self.requests.load(Ordering::Relaxed) as f64
    }
}

/// Returns the host of a request.
fn host_at(case: &HerdCase, number: usize, elapsed: Duration) -> usize {
    match elapsed.checked_sub(EVEN_TIME) {
        None => number % case.hosts,
        Some(_) if number.is_multiple_of(10) => number / 10 % case.hosts,
        Some(herd_time) => usize::from(herd_time >= HERD_TIME),
    }
}

/// Returns the served fractions of the requests before the herd and in it.
fn run_case(case: &HerdCase) -> (f64, f64) {
    let fleet = TestFleet::start_with_slots(case.service, case.engines, SLOTS, case.hosts);
    (case.prepare)(&fleet.engines);
    let hosts = i64::try_from(case.hosts).expect("a few hosts");
    wait_until("all hosts are counted", || {
        fleet.hosts.iter().all(|host| host.shared.metrics.hosts.get() == hosts)
    });
    let (before, herd) = (ServedCount::default(), ServedCount::default());
    let began = Instant::now();
    thread::scope(|scope| {
        let (mut due, mut number) = (Duration::ZERO, 0);
        while due < EVEN_TIME + 2 * HERD_TIME {
            thread::sleep(due.saturating_sub(began.elapsed()));
            let (fleet, host) = (&fleet, &fleet.hosts[host_at(case, number, due)]);
            let counted = if due >= EVEN_TIME + CONTACT_TIME {
                Some(&herd)
            } else {
                Some(&before).filter(|_| (EVEN_TIME / 2..EVEN_TIME).contains(&due))
            };
            scope.spawn(move || {
                let served = fleet.serves(host, &format!("h{number}"));
                if let Some(count) = counted {
                    count.requests.fetch_add(1, Ordering::Relaxed);
                    count.served.fetch_add(usize::from(served), Ordering::Relaxed);
                }
            });
            number += 1;
            let rate = if due >= EVEN_TIME { case.rate * case.surge } else { case.rate };
            due += Duration::from_secs_f64(1.0 / rate);
        }
    });
    // Later tests in this process would share the processor with so many hosts.
    thread::scope(|scope| {
        for host in fleet.hosts {
            scope.spawn(|| host.stop());
        }
    });
    (before.fraction(), herd.fraction())
}

fn check_case(case: &HerdCase) {
    let (before, herd) = run_case(case);
    println!("{}: {before:.3} before, {herd:.3} in the herd", case.name);
    assert!(before > 0.0, "{}: nothing is served", case.name);
    assert!(herd >= MIN_SERVED_RATIO * before, "{}: {herd:.3} of {before:.3}", case.name);
}

/// Guards against limits of engines, plain services and short streams that a host shares by the number of hosts.
#[test]
fn a_host_that_gets_most_requests_serves_as_many_as_all_did() {
    for case in SHORT_CASES {
        check_case(case);
    }
}

/// Guards against a host that may open only an equal part of the connections that engines take.
#[test]
fn a_host_that_gets_most_streams_opens_as_many_as_all_did() {
    check_case(&STREAMS);
}
