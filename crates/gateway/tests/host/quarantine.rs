//! Requests that crash engines: how many engines crash, and whether other requests are affected.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    crashable_fleet::{CrashableFleet, RESTART_DELAY, fields, is_complete, start_hosts},
    engine::EngineBehaviour,
    site::{TestSite, WAIT_LIMIT, wait_until},
};

/// Guards against a request that is sent again and again by different hosts and crashes each engine
/// that runs it, along with all other streams there.
#[test]
fn a_request_that_crashes_engines_is_quarantined_by_all_hosts() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = start_hosts(&site, &["deadly-1", "deadly-2", "deadly-3"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let (mut refused, mut served, mut unrelated) = (0, 0, 0);
    for number in 0..60 {
        let host = &hosts[number % hosts.len()];
        let response = host.post("/stream/a", &fields(&format!("d{number}")), "deadly");
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
        if response.starts_with("HTTP/1.1 503") {
            assert!(response.contains("Retry-After: "), "{response}");
            refused += 1;
        }
        fleet.poll();
        if number >= 30 {
            let other = &hosts[(number + 1) % hosts.len()];
            let body = format!("innocent {number}");
            unrelated += 1;
            served += u32::from(is_complete(&other.post(
                "/stream/a",
                &fields(&format!("i{number}")),
                &body,
            )));
        }
        thread::sleep(Duration::from_millis(30));
        fleet.poll();
    }
    let arrivals = fleet.arrivals("deadly");
    assert!(fleet.crashes.len() <= 4, "{} engines crashed", fleet.crashes.len());
    assert!(arrivals <= 4, "the request reached engines {arrivals} times");
    assert!(refused >= 50, "{refused} of 60 were refused");
    assert_eq!(served, unrelated, "unrelated requests were not served");
    assert!(fleet.crashes.iter().all(|crashed_at| crashed_at.elapsed() < WAIT_LIMIT));
}

/// Each incarnation of an engine counts as a crash of its own, even if it keeps its name.
#[test]
fn engines_that_keep_their_names_count_one_crash_per_incarnation() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 1, "plain", &["deadly"]);
    fleet.reuses_names = true;
    site.store.put("engines", "plain-1", "");
    let host = site.host("one-name");
    let send =
        |id: String, body: &str| host.post("/single/a", &format!("X-Request: {id}\r\n"), body);
    for incarnation in 0..2 {
        wait_until("the engine serves", || {
            send(format!("s{incarnation}"), "harmless").starts_with("HTTP/1.1 200")
        });
        assert!(send(format!("d{incarnation}"), "deadly").starts_with("HTTP/1.1 502"));
        fleet.poll();
        thread::sleep(RESTART_DELAY);
        fleet.poll();
    }
    wait_until("the third incarnation serves", || {
        send(String::from("t"), "harmless").starts_with("HTTP/1.1 200")
    });
    assert!(send(String::from("h"), "deadly").contains("engines ended"));
    assert_eq!(fleet.arrivals("deadly"), 2);
}

/// Guards against our own retries crashing one engine after another before the first crash is
/// known.
#[test]
fn retries_stop_after_the_second_engine_crash() {
    let site = TestSite::start();
    site.store.put("engines", "plain-1", "");
    let mut fleet = CrashableFleet::start(&site, 4, "plain", &["deadly"]);
    let host = site.host("repeats");
    wait_until("a request is served", || {
        host.post("/safe/a", "X-Request: first\r\n", "first").starts_with("HTTP/1.1 200")
    });
    let first = host.post("/safe/a", "X-Request: r1\r\n", "deadly");
    assert!(first.starts_with("HTTP/1.1 502"), "{first}");
    for number in 0..5 {
        let response = host.post("/safe/a", &format!("X-Request: h{number}\r\n"), "deadly");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
    }
    fleet.poll();
    assert_eq!(fleet.crashes.len(), 2);
    assert_eq!(fleet.arrivals("deadly"), 2);
    // The same body on another path, and another body on the same path, are different requests.
    for (path, body) in [("/safe/b", "harmless"), ("/safe/a", "harmless")] {
        let response = host.post(path, &format!("X-Request: o{}\r\n", path.len()), body);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Responses break off for many reasons without a crash, which must not quarantine the request.
#[test]
fn aborted_responses_quarantine_no_request() {
    let site = TestSite::start();
    let host = site.host("breaks");
    for behaviour in
        [EngineBehaviour::CloseConnection, EngineBehaviour::TruncateBody, EngineBehaviour::Garbage]
    {
        site.plain.set_behaviours(&[behaviour]);
        for number in 0..6 {
            let response = host.post("/single/a", &format!("X-Request: b{number}\r\n"), "usual");
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            // The host backs off briefly from the failed engine, which is not a quarantine.
            thread::sleep(Duration::from_millis(5));
        }
    }
    site.plain.set_behaviours(&[EngineBehaviour::Echo]);
    wait_until("the request is served", || {
        host.post("/single/a", "X-Request: w\r\n", "usual").starts_with("HTTP/1.1 200")
    });
    assert_eq!(host.shared.quarantine().counts(), (0, 0));
}

/// Engines that lose power together interrupt the same harmless request on each of them: that
/// counts as one crash.
#[test]
fn engines_that_crash_together_quarantine_no_request() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 4, "assist", &[]);
    let hosts = start_hosts(&site, &["rack-1", "rack-2"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    for engine in &fleet.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(40)]);
    }
    thread::scope(|scope| {
        for number in 0..12 {
            let host = &hosts[number % hosts.len()];
            scope.spawn(move || host.post("/stream/a", &fields(&format!("c{number}")), "common"));
        }
        thread::sleep(Duration::from_millis(150));
        for engine in &fleet.engines {
            engine.crash();
        }
    });
    fleet.poll();
    assert_eq!(fleet.crashes.len(), 4);
    thread::sleep(RESTART_DELAY);
    fleet.poll();
    wait_until("the common request is served", || {
        is_complete(&hosts[1].post("/stream/a", &fields("again"), "common"))
    });
}

/// A host that starts later must get the quarantined requests from its peers.
#[test]
fn a_host_that_starts_later_learns_of_quarantined_requests() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = start_hosts(&site, &["earlier-1", "earlier-2"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let began = Instant::now();
    while !hosts[0].post("/stream/a", &fields("d"), "deadly").contains("engines ended") {
        assert!(began.elapsed() < WAIT_LIMIT, "the request is never quarantined");
        fleet.poll();
        thread::sleep(Duration::from_millis(20));
    }
    let crashes_before = fleet.crashes.len();
    let late = site.host("later");
    wait_until("the late host knows of the change", || late.shared.quarantine().counts().1 == 1);
    let response = late.post("/stream/a", &fields("l"), "deadly");
    assert!(response.contains("engines ended"), "{response}");
    fleet.poll();
    assert_eq!(fleet.crashes.len(), crashes_before);
}
