//! A store restored from an older snapshot: hosts follow the new era, and newer state that they
//! know takes precedence.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use prometheus_client::metrics::counter::Counter;
use reelreel_core::{MonotonicClock, StorePosition, id::token_era, placement::HostCapacity};
use reelreel_gateway::{
    codec::KeyedTopic,
    store::{
        Backoff, StoreBackoff, StoreClient,
        era::EraTracker,
        follow::{FollowOptions, TopicUpdate, follow_topic},
    },
};
use tokio::sync::watch;

use crate::{
    codec::PlainStore,
    engine::{EngineBehaviour, FIRST_INCARNATION},
    organisations::site_with_organisations,
    site::{MODEL_NAME, REVOKED_KEY_REVISION, TestHost, TestSite, wait_until},
};

const WEAK_CAPACITY: HostCapacity = HostCapacity { cpu_share: 0.1, bandwidth_mbps: 10.0 };

/// Time within which an acknowledged write must be in force on hosts that reach the store.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

fn serves_late_route(host: &TestHost) -> bool {
    host.get("/late/a", "X-Request: late\r\n").starts_with("HTTP/1.1 200")
}

fn ready_plain_engines(host: &TestHost) -> usize {
    host.shared.table.borrow().ready_engines("plain").count()
}

fn knows_era(host: &TestHost, era: i64) -> bool {
    host.shared.metrics.store_era.get() == era
}

/// Waits until a condition holds; returns how long it took.
fn time_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    wait_until(what, condition);
    began.elapsed()
}

/// Asserts that a condition holds continuously for a time.
fn assert_holds_for(time: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while began.elapsed() < time {
        assert!(condition(), "{what}: no longer holds after {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against dropping a route that the snapshot lacks, and against missing changes until the
/// topic has grown past its former end.
#[test]
fn followers_enter_a_new_era_with_their_reader_without_reverting_state() {
    let site = TestSite::start();
    let readers = ["one", "two", "three"].map(|name| site.host(name));
    let follower = site.start_host_with_capacity("follower", Vec::new(), WEAK_CAPACITY);
    follower.wait_ready();
    wait_until("the host follows", || follower.shared.metrics.following.get() == 1);
    let snapshot = site.store.snapshot();
    site.store.put("configuration", "routes", "2");
    wait_until("the change is in force", || serves_late_route(&follower));
    let calls = follower.shared.metrics.store_calls.get();
    site.store.restore(&snapshot);
    wait_until("the follower knows the new era", || knows_era(&follower, 1));
    assert!(readers.iter().all(serves_late_route));
    assert_holds_for(Duration::from_millis(500), "the route", || serves_late_route(&follower));
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    let time = time_until("the leaving engine is dropped", || ready_plain_engines(&follower) == 0);
    assert!(time <= APPLY_LIMIT, "dropped only after {time:?}");
    let calls = follower.shared.metrics.store_calls.get() - calls;
    assert!(calls <= 2, "{calls} store calls by a follower");
}

/// Guards against starting hosts that have to wait for the next regular join of the hosts that
/// could verify them.
#[test]
fn members_join_again_at_once_after_a_store_restore() {
    let site = TestSite::start();
    let _host = site.host("member");
    let snapshot = site.store.snapshot();
    let mut times = [1, 2, 3, 4, 5, 6, 7].map(|writes| {
        wait_until("the host is a member", || !site.store.members().is_empty());
        // The restores come at different times of the join interval.
        thread::sleep(Duration::from_millis(90));
        site.store.restore_without_members(&snapshot);
        // More writes than in the round before end the long poll of a host that has read all of those.
        for _ in 0..writes {
            site.store.put("configuration", "other", "1");
        }
        time_until("the host is a member again", || !site.store.members().is_empty())
    });
    times.sort_unstable();
    assert!(times[5] <= Duration::from_millis(100), "{times:?}");
}

#[test]
fn a_second_rollback_soon_after_the_first_is_handled() {
    let site = TestSite::start();
    let host = site.host("twice");
    for _ in 0..6 {
        site.store.put("configuration", "other", "1");
    }
    let snapshot = site.store.snapshot();
    for _ in 0..6 {
        site.store.put("configuration", "other", "1");
    }
    site.store.await_long_poll("configuration");
    site.store.restore(&snapshot);
    site.store.put("configuration", "other", "1");
    site.store.restore(&snapshot);
    site.store.put("configuration", "routes", "2");
    let time = time_until("the change is in force", || serves_late_route(&host));
    assert!(time <= APPLY_LIMIT, "in force only after {time:?}");
    assert!(knows_era(&host, 2));
}

/// A host that starts after the rollback reads only the snapshot, before the operator has written
/// again; its peers know newer state.
#[test]
fn a_host_that_starts_after_a_rollback_learns_newer_state_from_peers() {
    let site = TestSite::start();
    let first = site.host("first");
    let snapshot = site.store.snapshot();
    site.store.put("configuration", "routes", "2");
    wait_until("the change is in force", || serves_late_route(&first));
    site.store.restore(&snapshot);
    wait_until("the first host knows the new era", || knows_era(&first, 1));
    for capacity in [WEAK_CAPACITY, STRONG_CAPACITY] {
        let late = site.start_host_with_capacity(
            "late",
            vec![first.shared.profile.peer_address],
            capacity,
        );
        late.wait_ready();
        let time = time_until("the late host knows of the change", || serves_late_route(&late));
        assert!(time <= APPLY_LIMIT, "known only after {time:?}");
        late.stop();
    }
}

/// Without peers a host has only the snapshot, which may list a revoked key. It must not serve from
/// it until the operator has written again.
#[test]
fn a_host_that_starts_alone_after_a_rollback_serves_nothing_from_the_snapshot() {
    let site = site_with_organisations();
    let snapshot = site.store.snapshot();
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    site.store.restore(&snapshot);
    let host = site.start_host("alone-after-a-fall", Vec::new());
    let send = |key: &str| host.get("/single/a", &format!("X-Request: k\r\nX-Key: {key}\r\n"));
    wait_until("the host knows the new era", || knows_era(&host, 1));
    let key_refused = "the refusal of the key";
    // The operator writes again after a few seconds.
    assert_holds_for(Duration::from_secs(2), key_refused, || {
        !send("key-n1").starts_with("HTTP/1.1 200")
    });
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    wait_until("the host serves", || send("key-n2").starts_with("HTTP/1.1 200"));
    assert_holds_for(APPLY_LIMIT, key_refused, || send("key-n1").starts_with("HTTP/1.1 401"));
}

const STRONG_CAPACITY: HostCapacity = HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 };

fn send_with_key(host: &TestHost, key: &str) -> String {
    host.get("/single/a", &format!("X-Request: k\r\nX-Key: {key}\r\n"))
}

fn serves_key(host: &TestHost, key: &str) -> bool {
    send_with_key(host, key).starts_with("HTTP/1.1 200")
}

fn revoke_key(site: &TestSite) {
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
}

/// Hosts before and after a restore whose snapshot lists a revoked key.
struct RestartCase {
    name: &'static str,
    /// The hosts that know of the revocation.
    before: &'static [HostCapacity],
    /// Number of them, from the first, that end with the restore.
    stopped: usize,
    /// Number of hosts that start together after it.
    started: usize,
    /// Whether these serve other keys before the operator has written again.
    serves_before_rewrite: bool,
}

const RESTART_CASES: &[RestartCase] = &[
    RestartCase {
        name: "one host runs through the restore",
        before: &[STRONG_CAPACITY],
        stopped: 0,
        started: 2,
        serves_before_rewrite: true,
    },
    RestartCase {
        name: "most hosts end",
        before: &[STRONG_CAPACITY, STRONG_CAPACITY, STRONG_CAPACITY],
        stopped: 2,
        started: 4,
        serves_before_rewrite: true,
    },
    RestartCase {
        name: "only a follower runs through the restore",
        before: &[STRONG_CAPACITY, WEAK_CAPACITY],
        stopped: 1,
        started: 2,
        serves_before_rewrite: true,
    },
    RestartCase {
        name: "all hosts end",
        before: &[STRONG_CAPACITY],
        stopped: 1,
        started: 3,
        serves_before_rewrite: false,
    },
];

/// Hosts that start together must not release each other: they know nothing but the snapshot.
#[test]
fn hosts_that_start_together_after_a_store_restore_serve_no_revoked_key() {
    thread::scope(|scope| {
        for case in RESTART_CASES {
            scope.spawn(|| run_restart_case(case));
        }
    });
}

fn run_restart_case(case: &RestartCase) {
    let site = site_with_organisations();
    let start = |capacity: &HostCapacity| {
        let host = site.start_host_with_capacity("before", Vec::new(), *capacity);
        host.wait_ready();
        host
    };
    let mut running: Vec<TestHost> = case.before.iter().map(start).collect();
    let snapshot = site.store.snapshot();
    revoke_key(&site);
    wait_until(case.name, || {
        running.iter().all(|host| send_with_key(host, "key-n1").starts_with("HTTP/1.1 401"))
    });
    for host in running.drain(..case.stopped) {
        host.stop();
    }
    site.store.restore_without_members(&snapshot);
    let mut started: Vec<TestHost> = Vec::new();
    for _ in 0..case.started {
        let seeds = started.iter().map(|host| host.shared.profile.peer_address).collect();
        started.push(site.start_host("after", seeds));
    }
    let mut serves_others = false;
    assert_holds_for(Duration::from_secs(2), case.name, || {
        serves_others |= started.iter().all(|host| serves_key(host, "key-n2"));
        !running.iter().chain(&started).any(|host| serves_key(host, "key-n1"))
    });
    assert_eq!(serves_others, case.serves_before_rewrite, "{}", case.name);
    assert!(running.iter().all(|host| serves_key(host, "key-n2")), "{}", case.name);
    revoke_key(&site);
    wait_until(case.name, || started.iter().all(|host| serves_key(host, "key-n2")));
    assert!(started.iter().all(|host| !serves_key(host, "key-n1")), "{}", case.name);
}

/// The record that a restore is not recent spares hosts that start the wait for the operator.
#[test]
fn hosts_that_start_together_long_after_a_store_restore_serve_at_once() {
    let site = site_with_organisations();
    let host = site.host("before");
    let snapshot = site.store.snapshot();
    site.store.restore(&snapshot);
    wait_until("the record is written", || site.store.end("hosts") > 0);
    host.stop();
    let started = ["one", "two", "three"].map(|name| site.start_host(name, Vec::new()));
    let time =
        time_until("the key is served", || started.iter().all(|host| serves_key(host, "key-n1")));
    assert!(time <= APPLY_LIMIT, "served only after {time:?}");
}

/// A later snapshot may contain the record of an earlier restore.
#[test]
fn the_record_of_an_earlier_restore_does_not_release_a_starting_host() {
    let site = site_with_organisations();
    let host = site.host("before");
    site.store.restore(&site.store.snapshot());
    wait_until("the record is written", || site.store.end("hosts") > 0);
    let snapshot = site.store.snapshot();
    revoke_key(&site);
    wait_until("the key is refused", || !serves_key(&host, "key-n1"));
    host.stop();
    site.store.restore_without_members(&snapshot);
    let host = site.start_host("after", Vec::new());
    wait_until("the host knows the new era", || knows_era(&host, 2));
    assert_holds_for(Duration::from_secs(2), "the refusal of the key", || {
        !serves_key(&host, "key-n1")
    });
}

/// The record must not be written before the operator has written again what hosts know: one that
/// ran through the restore, and one that has read the revoked key from the store and then learned
/// of the revocation.
#[test]
fn a_restore_is_not_recorded_as_settled_while_the_store_lists_a_revoked_key() {
    let site = site_with_organisations();
    let host = site.host("before");
    let snapshot = site.store.snapshot();
    revoke_key(&site);
    wait_until("the key is refused", || !serves_key(&host, "key-n1"));
    site.store.restore(&snapshot);
    let started = site.start_host("after", Vec::new());
    wait_until("the started host learns of the revocation", || serves_key(&started, "key-n2"));
    assert_holds_for(Duration::from_secs(6), "no record", || site.store.end("hosts") == 0);
    revoke_key(&site);
    wait_until("the record is written", || site.store.end("hosts") > 0);
}

/// The incarnation and leaving flag of the plain server's entry; `None` for a deleted entry.
type Entry = Option<(u64, bool)>;

/// An engine whose entry in the snapshot differs from the known one.
struct ListingCase {
    name: &'static str,
    /// The entry in the snapshot.
    snapshot_entry: Entry,
    /// The entries written after the snapshot.
    later_entries: &'static [Entry],
    /// Whether the engine is used before it has written again.
    ready_before: bool,
    /// The entry written after the restore.
    rewritten: Entry,
    /// Whether the engine is used after that.
    ready_after: bool,
}

const INCARNATION: u64 = FIRST_INCARNATION;

const LISTING_CASES: &[ListingCase] = &[
    ListingCase {
        name: "ready in the snapshot, known to leave",
        snapshot_entry: Some((INCARNATION, false)),
        later_entries: &[Some((INCARNATION, true))],
        ready_before: false,
        rewritten: Some((INCARNATION, true)),
        ready_after: false,
    },
    ListingCase {
        name: "ready in the snapshot, known to leave, and writes its older entry again",
        snapshot_entry: Some((INCARNATION, false)),
        later_entries: &[Some((INCARNATION, true))],
        ready_before: false,
        rewritten: Some((INCARNATION, false)),
        ready_after: false,
    },
    ListingCase {
        name: "listed in the snapshot, known to be gone",
        snapshot_entry: Some((INCARNATION, false)),
        later_entries: &[None],
        ready_before: false,
        rewritten: None,
        ready_after: false,
    },
    ListingCase {
        name: "listed in the snapshot, known to be gone, and writes an entry again",
        snapshot_entry: Some((INCARNATION, false)),
        later_entries: &[None],
        ready_before: false,
        rewritten: Some((INCARNATION, false)),
        ready_after: true,
    },
    ListingCase {
        name: "missing in the snapshot, known to be ready",
        snapshot_entry: None,
        later_entries: &[Some((INCARNATION, false))],
        ready_before: true,
        rewritten: Some((INCARNATION, false)),
        ready_after: true,
    },
    ListingCase {
        name: "missing in the snapshot, and leaves when it writes again",
        snapshot_entry: None,
        later_entries: &[Some((INCARNATION, false))],
        ready_before: true,
        rewritten: Some((INCARNATION, true)),
        ready_after: false,
    },
    ListingCase {
        name: "leaving in the snapshot, its next incarnation known to be ready",
        snapshot_entry: Some((INCARNATION, true)),
        later_entries: &[None, Some((INCARNATION + 1, false))],
        ready_before: true,
        rewritten: Some((INCARNATION + 1, false)),
        ready_after: true,
    },
    ListingCase {
        name: "ready in the snapshot, its next incarnation known to leave",
        snapshot_entry: Some((INCARNATION, false)),
        later_entries: &[None, Some((INCARNATION + 1, true))],
        ready_before: false,
        rewritten: Some((INCARNATION + 1, true)),
        ready_after: false,
    },
];

fn put_entry(site: &TestSite, entry: Entry) {
    let value = entry.map_or_else(String::new, |(incarnation, leaving)| {
        site.plain.set_incarnation(incarnation);
        site.plain.entry("plain", leaving)
    });
    site.store.put("engines", "plain-1", &value);
}

#[test]
fn newer_engine_entries_take_precedence_over_a_restored_snapshot() {
    thread::scope(|scope| {
        for case in LISTING_CASES {
            scope.spawn(|| run_listing_case(case));
        }
    });
}

fn run_listing_case(case: &ListingCase) {
    let site = TestSite::start();
    let host = site.host("listing");
    let known_to = |end: i64| host.shared.metrics.engines_read_to.get() >= end;
    put_entry(&site, case.snapshot_entry);
    let snapshot = site.store.snapshot();
    for entry in case.later_entries {
        put_entry(&site, *entry);
        // Each entry must be read on its own.
        let end = i64::try_from(site.store.end("engines")).expect("a short topic");
        wait_until(case.name, || known_to(end));
    }
    let ready_before = usize::from(case.ready_before);
    wait_until(case.name, || ready_plain_engines(&host) == ready_before);
    site.store.restore(&snapshot);
    wait_until(case.name, || knows_era(&host, 1));
    assert_holds_for(Duration::from_millis(1500), case.name, || {
        ready_plain_engines(&host) == ready_before
    });
    put_entry(&site, case.rewritten);
    let ready_after = usize::from(case.ready_after);
    let time = time_until(case.name, || ready_plain_engines(&host) == ready_after);
    assert!(time <= APPLY_LIMIT, "{}: only after {time:?}", case.name);
    assert_holds_for(Duration::from_millis(500), case.name, || {
        ready_plain_engines(&host) == ready_after
    });
}

/// The snapshot still lists the key; the operator writes the revocation again seconds later.
#[test]
fn a_revoked_key_stays_revoked_after_a_rollback() {
    let site = site_with_organisations();
    let host = site.host("withdrawn-key");
    let snapshot = site.store.snapshot();
    let send = || host.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
    assert!(send().starts_with("HTTP/1.1 200"));
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    wait_until("the key is refused", || send().starts_with("HTTP/1.1 401"));
    site.store.restore(&snapshot);
    wait_until("the host knows the new era", || knows_era(&host, 1));
    assert_holds_for(APPLY_LIMIT, "the revocation", || send().starts_with("HTTP/1.1 401"));
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    assert_holds_for(Duration::from_millis(300), "the revocation", || {
        send().starts_with("HTTP/1.1 401")
    });
}

/// Returns holders and tokens of the orders that each engine accepted, in order.
fn tokens(site: &TestSite) -> Vec<Vec<(String, u64)>> {
    let holder_and_token = |order: &serde_json::Value| {
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        (holder, order["token"].as_u64().unwrap_or_default())
    };
    site.engines
        .iter()
        .map(|engine| engine.orders().iter().map(holder_and_token).collect())
        .collect()
}

/// Generations of the group repeat after a rollback. Tokens derived from them alone would repeat,
/// or be below the ones engines have seen, which then refuse all orders.
#[test]
fn fence_tokens_keep_rising_after_a_rollback() {
    let site = TestSite::start();
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    let snapshot = site.store.snapshot();
    let hosts = ["one", "two", "three"].map(|name| site.host(name));
    let served = |host: &TestHost, adapter: &str| {
        let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
        host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
    };
    wait_until("an adapter is served", || served(&hosts[0], "early"));
    for rollback in 1..=2 {
        site.store.restore(&snapshot);
        let adapter = format!("after-{rollback}");
        wait_until("an adapter is served after the rollback", || served(&hosts[0], &adapter));
        wait_until("all hosts know the new era", || {
            hosts.iter().all(|host| knows_era(host, rollback))
        });
        // The placer keeps its token until it has joined the group again.
        let loads = Cell::new(0);
        wait_until("orders carry tokens of the new era", || {
            loads.set(loads.get() + 1);
            let is_served = served(&hosts[0], &format!("{adapter}-{}", loads.get()));
            let tokens = tokens(&site).concat();
            let is_current = |token| i64::try_from(token_era(token)) == Ok(rollback);
            is_served && tokens.iter().any(|(_, token)| is_current(*token))
        });
    }
    let orders_by_engine = tokens(&site);
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for orders in &orders_by_engine {
        assert!(orders.is_sorted_by_key(|(_, token)| *token), "tokens decrease: {orders:?}");
        for (holder, token) in orders {
            let known = holders.entry(*token).or_insert_with(|| holder.clone());
            assert_eq!(known, holder, "two holders with token {token}: {orders_by_engine:?}");
        }
    }
    assert!(holders.len() >= 3, "{holders:?}");
}

/// The updates of one task that follows a topic.
type Updates = RefCell<Vec<TopicUpdate>>;

/// Follows the configuration with a single task until `enough` holds or [`APPLY_LIMIT`] has passed;
/// `eras` is what the host knew before.
fn follow_until(
    site: &TestSite,
    eras: &EraTracker,
    enough: impl Fn(&[TopicUpdate]) -> bool,
) -> Vec<TopicUpdate> {
    let codec = Arc::new(PlainStore { routes: Arc::default() });
    let client = StoreClient::new(codec, site.store.address, Counter::default(), eras.clone());
    let options = FollowOptions {
        topic: KeyedTopic::Configuration,
        min_interval: Duration::from_millis(5),
        poll_wait: Box::new(|| Duration::from_millis(200)),
        clock: Arc::new(MonotonicClock::new()),
        max_backoff: Box::new(|| Duration::from_millis(50)),
    };
    let returns = watch::Sender::new(0);
    let backoff = StoreBackoff::probing(Backoff::new(1), returns.subscribe());
    let gate = watch::Sender::new(false);
    let updates = Updates::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let following = async {
        let sink = |update| updates.borrow_mut().push(update);
        let polling = async {
            while !enough(&updates.borrow()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            () = follow_topic(client, options, backoff, gate.subscribe(), sink) => {}
            () = polling => {}
            () = tokio::time::sleep(APPLY_LIMIT) => {}
        }
    };
    runtime.expect("a runtime").block_on(following);
    updates.into_inner()
}

#[test]
fn a_response_of_an_earlier_era_is_dropped() {
    let site = TestSite::start();
    let eras = EraTracker::default();
    eras.observe(3, "a peer");
    let updates = follow_until(&site, &eras, |updates| updates.len() >= 3);
    assert!(updates.len() >= 3);
    assert!(updates.iter().all(|update| *update == TopicUpdate::Unavailable), "{updates:?}");
    assert_eq!(eras.current(), 3);
}

#[test]
fn the_pages_of_a_complete_read_belong_to_one_era() {
    let site = TestSite::without_configuration();
    for (key, value) in [("a", "1"), ("b", "1"), ("c", "1"), ("a", "2")] {
        site.store.put("configuration", key, value);
    }
    // Combined with later pages, the first page would report "a" as it was before the rollback.
    site.store.roll_back_between_pages("configuration", 1, ("b", "3"));
    let is_complete = |update: &TopicUpdate| matches!(update, TopicUpdate::Snapshot { .. });
    let updates =
        follow_until(&site, &EraTracker::default(), |updates| updates.iter().any(is_complete));
    let Some(TopicUpdate::Snapshot { records, end, .. }) =
        updates.iter().find(|update| is_complete(update))
    else {
        panic!("no complete read: {updates:?}")
    };
    let read: Vec<(&str, &[u8])> =
        records.iter().map(|record| (record.key.as_str(), &*record.value)).collect();
    assert_eq!(read, [("a", &b"1"[..]), ("b", b"3"), ("c", b"1")]);
    assert_eq!(*end, StorePosition { era: 1, offset: 4 });
    assert!(records.iter().all(|record| record.position.era == 1), "{records:?}");
}
