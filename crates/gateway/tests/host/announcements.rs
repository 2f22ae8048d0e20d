//! Engines that announce in their responses that they leave, or that they want no requests for a while.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineMood, FIRST_BIRTH, StandInEngine},
    fleet::{LoadFigures, TestFleet},
    site::{MODEL_NAME, PATIENCE, TestSite, wait_until},
};

/// Within which time after a host was told of a departure it must send the engine nothing more.
const DEPARTURE_APPLIES: Duration = Duration::from_secs(2);

/// Within which time after the first host was told of a departure no host must send the engine anything more.
const DEPARTURE_SPREADS: Duration = Duration::from_secs(1);

/// After which time requests that were under way when a cooldown was asked for no longer excuse anything.
const COOLDOWN_GRACE: Duration = Duration::from_millis(500);

/// How many requests of a host may reach an engine within a cooldown after that.
const MOST_IN_COOLDOWN: usize = 2;

/// Within which time a request is refused that no engine takes.
const AT_ONCE: Duration = Duration::from_millis(150);

/// While the store was away, hosts passed on responses of an engine which said that it leaves, and went on sending it two
/// requests a second until its end.
#[test]
fn an_engine_that_announces_its_departure_gets_no_more_requests_while_the_store_is_away() {
    let fleet = TestFleet::start("assist", 6, 3);
    fleet.site.store.refuse(true);
    let leaving = &fleet.engines[0];
    leaving.announce_departure("yes");
    let (served, asked) = fleet.load(20, Duration::from_secs(4));
    assert!(leaving.departure_told().is_some(), "a host was told");
    assert_eq!(leaving.requests_after_departure(DEPARTURE_APPLIES), 0);
    assert_eq!(served, asked, "the others have room for everything");
}

/// The host that received the announcement tells the others, so that an engine about to end is left by all of them at once.
#[test]
fn all_hosts_learn_of_a_departure_from_the_first_while_the_store_is_away() {
    let fleet = TestFleet::start("assist", 4, 4);
    fleet.site.store.refuse(true);
    let leaving = &fleet.engines[0];
    leaving.announce_departure("yes");
    wait_until("the first host is told", || {
        fleet.ask(&fleet.hosts[0], "told");
        leaving.departure_told().is_some()
    });
    let all_know = || {
        let mut hosts = fleet.hosts.iter();
        hosts.all(|host| host.shared.metrics.departing_engines.get() == 1)
    };
    wait_until("all hosts know", all_know);
    let told = leaving.departure_told().expect("a host was told");
    assert!(told.elapsed() < DEPARTURE_SPREADS, "known by all only after {:?}", told.elapsed());
    let began = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(1));
    assert_eq!(leaving.requests_since(began), 0);
    assert_eq!(served, asked, "the others have room for everything");
}

/// A host that starts while the store is away learns of departures from its peers.
#[test]
fn a_host_that_starts_while_the_store_is_away_sends_nothing_to_a_leaving_engine() {
    let mut fleet = TestFleet::start("assist", 2, 2);
    fleet.site.store.refuse(true);
    fleet.engines[0].announce_departure("yes");
    fleet.load(20, Duration::from_secs(1));
    assert!(fleet.engines[0].departure_told().is_some(), "a host was told");
    let seeds = fleet.hosts.iter().map(|host| host.shared.profile.peer_address).collect();
    let late = fleet.site.cold_host("late", seeds);
    late.wait_ready();
    fleet.hosts = vec![late];
    let began = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(1));
    assert_eq!(fleet.engines[0].requests_since(began), 0);
    assert_eq!(served, asked, "the other has room for everything");
}

/// The engine's entry still says that it takes requests, and the store repeats it: the announcement holds until that
/// incarnation ends, and not beyond.
#[test]
fn a_departure_holds_for_one_incarnation_whatever_its_entry_says() {
    let fleet = TestFleet::start("assist", 2, 2);
    let leaving = &fleet.engines[0];
    leaving.announce_departure("yes");
    fleet.load(20, Duration::from_secs(1));
    let told = leaving.departure_told().expect("a host was told");
    for _ in 0..3 {
        fleet.site.store.put("engines", &leaving.name, &leaving.entry("assist", false));
        let (served, asked) = fleet.load(10, Duration::from_secs(1));
        assert_eq!(served, asked);
    }
    assert_eq!(leaving.requests_since(told + DEPARTURE_SPREADS), 0);
    leaving.restart(&[MODEL_NAME], FIRST_BIRTH + 1);
    leaving.withdraw_announcements();
    fleet.site.store.put("engines", &leaving.name, &leaving.entry("assist", false));
    // Which of two idle engines gets a request depends on how quickly they responded before.
    fleet.engines[1].reject_for(Some(Duration::from_secs(5)));
    wait_until("the next incarnation gets requests", || {
        fleet.ask(&fleet.hosts[0], "again");
        !leaving.runs().is_empty()
    });
}

/// An announcement that can't be read has no effect.
#[test]
fn an_unreadable_departure_has_no_effect() {
    let fleet = TestFleet::start("assist", 2, 1);
    fleet.engines[0].announce_departure("maybe");
    let began = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(2));
    assert_eq!(served, asked);
    assert!(fleet.engines[0].requests_since(began + Duration::from_secs(1)) > 0);
    assert_eq!(fleet.hosts[0].shared.metrics.departing_engines.get(), 0);
}

/// An engine that rejected requests for an adapter which only it held, and asked for three seconds without any, got up to ten
/// from one host in that time, though others had room for the adapter.
#[test]
fn an_engine_gets_no_requests_within_a_cooldown_that_it_asked_for() {
    let mut fleet = TestFleet::start("assist", 3, 3);
    let holder = fleet.load_rare_adapter();
    let cooling = &fleet.engines[holder];
    cooling.reject_for(Some(Duration::from_secs(3)));
    let began = Instant::now();
    let (served, asked) = fleet.load(10, Duration::from_secs(4));
    assert!(cooling.requests_since(began) >= 1, "it rejected a request");
    let most = cooling.most_requests_in_a_cooldown(COOLDOWN_GRACE);
    assert!(most <= MOST_IN_COOLDOWN, "{most} requests of one host within a cooldown");
    // What comes while the adapter is loaded elsewhere may be told to come back.
    assert!(served * 20 >= asked * 19, "{served} of {asked} are served");
}

/// A server of a plain service asks for a cooldown: requests go to the others at once.
#[test]
fn a_plain_server_gets_no_requests_within_a_cooldown_that_it_asked_for() {
    let fleet = TestFleet::start("plain", 3, 3);
    let cooling = &fleet.engines[0];
    cooling.reject_for(Some(Duration::from_secs(2)));
    let began = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(5));
    assert!(cooling.requests_since(began) >= 1, "it rejected a request");
    let most = cooling.most_requests_in_a_cooldown(COOLDOWN_GRACE);
    assert!(most <= MOST_IN_COOLDOWN, "{most} requests of one host within a cooldown");
    assert_eq!(served, asked, "the others have room for everything");
}

/// A repeat after an error of one server does not go to another one within its cooldown.
#[test]
fn a_repeat_is_not_sent_within_a_cooldown() {
    let fleet = TestFleet::start("plain", 2, 1);
    fleet.engines[0].treat(&[EngineMood::Error]);
    let cooling = &fleet.engines[1];
    cooling.reject_for(Some(Duration::from_secs(3)));
    fleet.load(20, Duration::from_secs(2));
    let most = cooling.most_requests_in_a_cooldown(COOLDOWN_GRACE);
    assert!(cooling.cooldowns_end().is_some(), "it asked for a cooldown");
    assert!(most <= MOST_IN_COOLDOWN, "{most} requests within a cooldown");
}

/// Requests were held for 1.3 s and sent to each engine in turn again and again while all of them rejected everything.
#[test]
fn where_all_engines_are_within_a_cooldown_requests_are_refused_at_once() {
    for service in ["assist", "plain"] {
        let fleet = TestFleet::start(service, 3, 2);
        for engine in &fleet.engines {
            engine.reject_for(Some(Duration::from_secs(3)));
        }
        let (served, _) = fleet.load(20, Duration::from_secs(2));
        assert_eq!(served, 0);
        for engine in &fleet.engines {
            let most = engine.most_requests_in_a_cooldown(COOLDOWN_GRACE);
            assert!(most <= MOST_IN_COOLDOWN, "{service}: {most} requests within a cooldown");
        }
        let began = Instant::now();
        let response = fleet.post(&fleet.hosts[0], "late");
        assert!(began.elapsed() < AT_ONCE, "{service}: refused after {:?}", began.elapsed());
        let told = retry_after(&response).expect("a time to come back");
        let ends = fleet.engines.iter().filter_map(StandInEngine::cooldowns_end).min();
        let left = ends.expect("a cooldown").saturating_duration_since(began);
        assert!(told + COOLDOWN_GRACE >= left, "{service}: told {told:?}, {left:?} are left");
    }
}

/// What callers get while some engines leave, or reject everything and ask for a cooldown.
struct CallerCase {
    service: &'static str,
    cooling: usize,
    leaving: usize,
}

/// Callers are served by the engines that are left, or refused soon.
#[test]
fn callers_are_served_by_the_engines_that_take_requests() {
    let case = |service, cooling, leaving| CallerCase { service, cooling, leaving };
    let cases = [
        case("assist", 1, 0),
        case("assist", 3, 0),
        case("assist", 6, 0),
        case("assist", 0, 1),
        case("assist", 0, 3),
        case("plain", 1, 0),
        case("plain", 3, 0),
        case("plain", 6, 0),
    ];
    for case in cases {
        let fleet = TestFleet::start(case.service, 6, 3);
        for engine in fleet.engines.iter().take(case.cooling) {
            engine.reject_for(Some(Duration::from_secs(2)));
        }
        for engine in fleet.engines.iter().take(case.leaving) {
            engine.announce_departure("yes");
        }
        let LoadFigures { sent, served, refusal } = fleet.measure(15, Duration::from_secs(4));
        let calls: usize = fleet.engines.iter().map(StandInEngine::rejections).sum();
        let CallerCase { service, cooling, leaving, .. } = case;
        println!(
            "{service}: {cooling} of 6 cooling, {leaving} leaving: {served} of {sent} served, refused after {refusal:?}, {calls} rejections"
        );
        // A route may allow one engine only, so that each rejection costs one request at most.
        let all_cool = cooling == fleet.engines.len();
        assert!(
            all_cool || sent - served <= calls,
            "{service} {cooling} {leaving}: {served} of {sent}"
        );
        assert!(served == sent || refusal < AT_ONCE, "{service} {cooling} {leaving}: {refusal:?}");
    }
}

/// An engine whose cooldown ends is probed with one request of each host, and used as any other once it accepts them.
#[test]
fn an_engine_returns_from_a_cooldown_without_a_rush() {
    let fleet = TestFleet::start("plain", 2, 4);
    let cooling = &fleet.engines[0];
    let cooldown = Duration::from_secs(1);
    cooling.reject_for(Some(cooldown));
    fleet.load(20, Duration::from_secs(1));
    let most = cooling.most_requests_within(Duration::from_millis(900));
    assert!(most <= 2 * fleet.hosts.len(), "{most} requests of four hosts within one cooldown");
    cooling.reject_for(None);
    let (served, asked) = fleet.load(20, Duration::from_secs(4));
    assert_eq!(served, asked);
    let last = cooling.cooldowns_end().expect("a cooldown") + Duration::from_secs(2);
    assert!(cooling.requests_since(last) >= 20, "it is used as the other one");
}

/// A cooldown that can't be read has no effect beyond the rejection.
#[test]
fn an_unreadable_cooldown_has_no_effect() {
    let fleet = TestFleet::start("plain", 1, 1);
    fleet.engines[0].reject_with("soon");
    let began = Instant::now();
    fleet.load(20, Duration::from_secs(1));
    assert!(fleet.engines[0].requests_since(began) >= 3, "it is asked again");
    assert_eq!(fleet.hosts[0].shared.metrics.cooling_engines.get(), 0);
}

/// An answer of other weights than were asked for reaches no caller, whatever the engine takes the version to be.
#[test]
fn an_answer_on_another_version_than_was_asked_for_reaches_no_caller() {
    let fleet = TestFleet::start("assist", 2, 1);
    fleet.site.store.put("configuration", &format!("version:{MODEL_NAME}"), "1");
    fleet.engines[0].run_on_version(2);
    fleet.engines[1].run_on_version(1);
    let host = &fleet.hosts[0];
    let dropped = || host.shared.metrics.other_versions.get() > 0;
    wait_until("an answer is dropped", || {
        fleet.post(host, "drops");
        dropped()
    });
    for number in 0..20 {
        let response = fleet.post(host, &format!("version-{number}"));
        let status = response.lines().next().unwrap_or_default();
        let served = status.starts_with("HTTP/1.1 200");
        assert!(served || status.starts_with("HTTP/1.1 502"), "{status}");
        assert!(!response.contains("X-Version: 2"), "{response}");
    }
}

/// What an engine says of its base model's version is no version of an adapter: answers were dropped for it.
#[test]
fn the_version_of_the_base_model_says_nothing_of_an_adapter() {
    let mut fleet = TestFleet::start("assist", 2, 1);
    fleet.load_rare_adapter();
    fleet.site.store.put("configuration", &format!("version:{MODEL_NAME}/rare"), "1");
    for engine in &fleet.engines {
        engine.run_on_version(7);
    }
    thread::sleep(Duration::from_millis(200));
    let (served, asked) = fleet.load(20, Duration::from_secs(1));
    assert_eq!(served, asked);
    assert_eq!(fleet.hosts[0].shared.metrics.other_versions.get(), 0);
}

/// A store in need says how long it wants no calls.
#[test]
fn the_store_gets_no_calls_within_a_cooldown_that_it_asked_for() {
    let site = TestSite::start();
    let host = site.host("store-cooldown");
    site.store.refuse_with("0.9");
    // Calls that are held end now.
    thread::sleep(Duration::from_millis(200));
    let before = site.store.calls();
    thread::sleep(Duration::from_millis(600));
    let calls = site.store.calls() - before;
    site.store.refuse(false);
    assert!(calls <= 1, "{calls} calls within one cooldown");
    wait_until("the store is read again", || {
        site.store.put("configuration", "routes", "2");
        host.get("/late/a", "X-Request: late\r\n").starts_with("HTTP/1.1 200")
    });
}

/// A client whose request was rejected by the one engine that its route allows comes back to another engine at once: it was told to
/// wait for the end of that engine's cooldown.
#[test]
fn a_client_is_not_told_to_wait_for_a_cooldown_while_another_engine_takes_requests() {
    let fleet = TestFleet::start("assist", 2, 1);
    fleet.engines[0].reject_for(Some(Duration::from_secs(5)));
    let told = || {
        let response = fleet.post(&fleet.hosts[0], &format!("told-{:?}", Instant::now()));
        retry_after(&response)
    };
    let began = Instant::now();
    let told = loop {
        if let Some(told) = told() {
            break told;
        }
        assert!(began.elapsed() < PATIENCE, "no request was rejected");
    };
    assert!(told <= Duration::from_millis(250), "told {told:?}");
    assert!(fleet.ask(&fleet.hosts[0], "comes back"));
}

/// A route that allows one engine refuses a request which the only holder of its adapter rejected. Nothing was loaded elsewhere until
/// the client came back.
#[test]
fn a_refused_request_has_its_adapter_loaded_elsewhere_before_its_client_returns() {
    let mut fleet = TestFleet::start("assist", 3, 3);
    let holder = fleet.load_rare_adapter();
    fleet.engines[holder].reject_for(Some(Duration::from_secs(5)));
    let response = fleet.post(&fleet.hosts[1], "rejected");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let told = retry_after(&response).expect("a time to come back");
    let began = Instant::now();
    let others = || {
        let others = fleet.engines.iter().enumerate().filter(|(place, _)| *place != holder);
        others.map(|(_, engine)| engine.orders().len()).sum::<usize>()
    };
    wait_until("another engine gets an order", || others() > 0);
    assert!(began.elapsed() < told, "ordered after {:?}, told {told:?}", began.elapsed());
}

/// Returns the time after which a client is told to come back.
fn retry_after(response: &str) -> Option<Duration> {
    let line = response.lines().find_map(|line| line.strip_prefix("Retry-After: "))?;
    line.trim().parse().ok().map(Duration::from_secs_f64)
}
