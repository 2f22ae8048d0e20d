//! Tests of the guarantees with real processes: kills, suspensions, graceful shutdowns, closed sockets.

use std::{thread, time::Duration};

use serde_json::json;

use crate::{
    client::{Completion, StreamAnswer, post, status, stream},
    site::{HostOptions, Site, host_status, wait_until},
};

/// Opens `calls` streams through one host and runs `meanwhile` while they are open.
fn run_streams_during(
    site: &Site,
    host: usize,
    calls: usize,
    completion: &Completion,
    meanwhile: impl FnOnce(),
) -> Vec<StreamAnswer> {
    thread::scope(|scope| {
        let readers: Vec<_> =
            (0..calls).map(|_| scope.spawn(|| stream(site.callers(host), completion))).collect();
        thread::sleep(Duration::from_millis(900));
        meanwhile();
        readers.into_iter().map(|reader| reader.join().expect("reader thread")).collect()
    })
}

/// Loads an adapter and returns the number of an engine that holds it.
fn load_adapter(site: &Site, model: &'static str) -> u64 {
    let answer = stream(site.callers(0), &Completion::new(model, 1));
    assert!(answer.complete, "{answer:?}");
    let holds = |engine: usize| {
        let report = crate::site::get(site.engines[engine].address("address"), "/report");
        report["adapters"]
            .as_array()
            .into_iter()
            .flatten()
            .any(|held| held["name"].as_str().unwrap_or_default().contains(model))
    };
    wait_until("an engine reports the adapter", || (0..4).any(holds));
    (0..4).find(|engine| holds(*engine)).map_or(0, |engine| engine as u64 + 1)
}

#[test]
fn the_death_of_an_engines_owner_cuts_no_stream() {
    let mut site = Site::start();
    let engine = load_adapter(&site, "south/audits");
    let owner = site.owner_of(engine).expect("the engine has an owner");
    let entry = (0..4).find(|host| *host != owner).expect("another host");
    let completion = Completion::new("south/audits", 400);
    let answers =
        run_streams_during(&site, entry, 12, &completion, || site.hosts[owner].signal("KILL"));
    for answer in &answers {
        assert!(answer.complete && answer.tokens == 400, "{answer:?}");
    }
    site.hosts.remove(owner);
    site.wait_owned();
    let after = stream(site.callers(0), &Completion::new("south/audits", 5));
    assert!(after.complete, "{after:?}");
    let (runs, cuts) = site.engine_evidence();
    assert_eq!(cuts, 0);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn resumed_host_repeats_no_request_and_unloads_no_adapter_in_use() {
    let site = Site::start();
    let engine = load_adapter(&site, "north/brakes");
    let owner = site.owner_of(engine).expect("the engine has an owner");
    let completion = Completion::new("north/brakes", 60).header("x-repeatable", "false");
    let frozen = &site.hosts[owner];
    let mut may_have_run = 0;
    thread::scope(|scope| {
        let through_frozen: Vec<_> =
            (0..8).map(|_| scope.spawn(|| stream(site.callers(owner), &completion))).collect();
        thread::sleep(Duration::from_millis(50));
        frozen.signal("STOP");
        let entry = (0..4).find(|host| *host != owner).expect("another host");
        // Another host must take the engine over.
        wait_until("another host owns the engine", || {
            let others = site.hosts.iter().enumerate().filter(|(host, _)| *host != owner);
            others.map(|(_, host)| host_status(host)).any(|status| {
                status["engines"].as_array().into_iter().flatten().any(|owned| {
                    owned["engine"] == json!(engine) && owned["state"] == json!("owned")
                })
            })
        });
        let meanwhile = stream(site.callers(entry), &Completion::new("north/chains", 5));
        assert!(meanwhile.complete, "{meanwhile:?}");
        frozen.signal("CONT");
        for reader in through_frozen {
            let answer = reader.join().expect("reader thread");
            let (kind, outcome) = answer.error.clone().unwrap_or_default();
            assert!(answer.complete || !outcome.is_empty(), "{kind} {answer:?}");
            may_have_run += usize::from(answer.complete || outcome == "unknown");
        }
    });
    let (runs, cuts) = site.engine_evidence();
    assert_eq!(cuts, 0);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    // Requests reported as `not_run` must not have run. Two more runs come from loading the adapter and
    // from the request during the suspension.
    assert!(runs.len() <= may_have_run + 2, "{} ran, {may_have_run} may have", runs.len());
    let expected = ["assist/north/brakes@2", "assist/north/chains@1"];
    let adapters = site.adapters_run();
    assert!(adapters.iter().all(|adapter| expected.contains(&adapter.as_str())), "{adapters:?}");
}

/// Guards against streams that break off because reads from the engine fail when their host continues
/// after a suspension.
#[test]
fn streams_of_a_host_that_is_often_suspended_are_complete() {
    const SUSPENSIONS: u32 = 12;
    let site = Site::start();
    load_adapter(&site, "north/brakes");
    let completion = Completion::new("north/brakes", 400).header("x-repeatable", "false");
    let answers = run_streams_during(&site, 0, 6, &completion, || {
        for _ in 0..SUSPENSIONS {
            site.hosts[0].signal("STOP");
            thread::sleep(Duration::from_millis(20));
            site.hosts[0].signal("CONT");
            thread::sleep(Duration::from_millis(80));
        }
    });
    for answer in &answers {
        assert!(answer.complete && answer.tokens == 400, "{answer:?}");
    }
}

#[test]
fn rolling_restart_under_load_interrupts_no_stream() {
    let mut site = Site::start();
    load_adapter(&site, "north/brakes");
    for host in 0..4 {
        let completion = Completion::new("north/brakes", 250);
        // Opens no new streams after SIGTERM, as a load balancer does once the host is not ready.
        let answers =
            run_streams_during(&site, host, 6, &completion, || site.hosts[host].signal("TERM"));
        for answer in &answers {
            assert!(answer.complete && answer.tokens == 250, "host {host}: {answer:?}");
        }
        assert!(site.hosts[host].wait(), "host {host} exits cleanly");
        let number = u32::try_from(host).expect("a small number") + 1;
        let hall = if host < 2 { 1 } else { 2 };
        let fresh = site.start_host(number, hall, &HostOptions::default());
        site.wait_ready(&fresh);
        site.hosts[host] = fresh;
    }
    site.wait_owned();
    let (_, cuts) = site.engine_evidence();
    assert_eq!(cuts, 0);
}

#[test]
fn leaving_engine_finishes_open_requests_and_gets_no_new_ones() {
    let site = Site::start();
    let engine = load_adapter(&site, "south/receipts");
    let engine_index = usize::try_from(engine).expect("a small number") - 1;
    let completion = Completion::new("south/receipts", 300);
    let answers = run_streams_during(&site, 0, 6, &completion, || {
        site.set_engine_switch(engine_index, "leave", &json!(null));
    });
    assert!(answers.iter().all(|answer| answer.complete), "{answers:?}");
    let runs_before = crate::site::get(site.engines[engine_index].address("address"), "/evidence")
        ["runs"]
        .clone();
    for host in 0..4 {
        let answer = stream(site.callers(host), &Completion::new("south/receipts", 5));
        assert!(answer.complete, "another engine serves the request: {answer:?}");
    }
    let runs_after =
        crate::site::get(site.engines[engine_index].address("address"), "/evidence")["runs"]
            .clone();
    assert_eq!(runs_before, runs_after);
}

#[test]
fn broken_stream_resumes_where_it_was_cut() {
    let site = Site::start();
    let engine = load_adapter(&site, "north/chains");
    let engine_index = usize::try_from(engine).expect("a small number") - 1;
    site.set_engine_switch(engine_index, "cut_after", &json!(20));
    let answer = stream(site.callers(1), &Completion::new("north/chains", 60));
    assert!(answer.complete && answer.tokens == 60, "{answer:?}");
}

#[test]
fn stream_ends_with_an_error_when_its_engine_restarts() {
    let site = Site::start();
    let engine = load_adapter(&site, "north/chains");
    let engine_index = usize::try_from(engine).expect("a small number") - 1;
    let completion = Completion::new("north/chains", 400);
    let answers = run_streams_during(&site, 2, 5, &completion, || {
        site.set_engine_switch(engine_index, "restart", &json!(null));
    });
    for answer in &answers {
        assert!(!answer.complete, "{answer:?}");
        let (kind, outcome) = answer.error.clone().unwrap_or_default();
        assert_eq!((kind.as_str(), outcome.as_str()), ("backend_broke", "unknown"));
    }
    let after = stream(site.callers(3), &Completion::new("north/chains", 5));
    assert!(after.complete, "the adapter is loaded again: {after:?}");
}

#[test]
fn concurrent_requests_with_one_idempotency_key_run_once() {
    let site = Site::start();
    load_adapter(&site, "north/brakes");
    for round in 0..6 {
        let completion =
            Completion::new("north/brakes", 5).header("idempotency-key", format!("order-{round}"));
        let answers: Vec<StreamAnswer> = thread::scope(|scope| {
            let callers: Vec<_> = (0..4)
                .map(|host| {
                    scope.spawn({
                        let (site, completion) = (&site, &completion);
                        move || stream(site.callers(host), completion)
                    })
                })
                .collect();
            callers.into_iter().map(|caller| caller.join().expect("caller thread")).collect()
        });
        let complete = answers.iter().filter(|answer| answer.complete).count();
        assert_eq!(complete, 1, "{answers:?}");
        for answer in answers.iter().filter(|answer| !answer.complete) {
            let (kind, outcome) = answer.error.clone().unwrap_or_default();
            assert_eq!((kind.as_str(), outcome.as_str()), ("key_claimed", "unknown"));
        }
    }
    let (runs, _) = site.engine_evidence();
    assert_eq!(runs.len(), 7, "{runs:?}");
}

#[test]
fn lost_append_response_is_resolved_from_the_log() {
    let site = Site::start();
    site.set_platform_fault("append", &json!("lose_answer"));
    let order = [("idempotency-key", String::from("order-lost"))];
    let answer = post(site.callers(0), "/orders/new", &order, "x").expect("a response");
    assert_eq!(
        status(&answer),
        200,
        "the claim is in the log although the response was lost: {answer}"
    );
    site.set_platform_fault("append", &json!("none"));
    let again = post(site.callers(3), "/orders/new", &order, "x").expect("a response");
    assert_eq!(status(&again), 409, "{again}");
    assert_eq!(site.service_runs().values().sum::<u64>(), 1);
}

#[test]
fn only_keyed_requests_are_refused_while_the_log_is_unavailable() {
    let site = Site::start();
    load_adapter(&site, "north/brakes");
    site.set_platform_fault("read", &json!("refuse"));
    let keyed = Completion::new("north/brakes", 5).header("idempotency-key", "away");
    wait_until("the host refuses keyed requests", || {
        let (kind, outcome) = stream(site.callers(0), &keyed).error.unwrap_or_default();
        kind == "log_away" && outcome == "not_run"
    });
    let free = stream(site.callers(0), &Completion::new("north/brakes", 5));
    assert!(free.complete, "{free:?}");
    site.set_platform_fault("read", &json!("none"));
    let fresh = Completion::new("north/brakes", 5).header("idempotency-key", "back");
    wait_until("keyed requests are served again", || stream(site.callers(0), &fresh).complete);
}

#[test]
fn non_repeatable_request_is_not_resent_when_its_response_is_lost() {
    let site = Site::start();
    let address = site.service.address("address").to_owned();
    let delayed = ureq::put(format!("http://{address}/faults")).send("{\"delay_answer\":15000}");
    assert!(delayed.is_ok());
    let answer = post(site.callers(0), "/orders/new", &[], "x").expect("a response");
    assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
    assert_eq!(site.service_runs().values().sum::<u64>(), 1);
}
