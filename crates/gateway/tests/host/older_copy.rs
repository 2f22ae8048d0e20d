//! What hosts believe of a store that came back from an older copy: its order, and what is newer than its own word.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use prometheus_client::metrics::counter::Counter;
use reelreel_core::{MonotonicClock, StorePosition, placement::HostCapacity};
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
    dialect::PlainStore,
    engine::{EngineMood, FIRST_BIRTH},
    organisations::site_with_keys,
    site::{KEY_WITHDRAWN, MODEL_NAME, TestHost, TestSite, wait_until},
};

const WEAK: HostCapacity = HostCapacity { cpu_share: 0.1, bandwidth_mbps: 10.0 };

/// Within which time what the store has acknowledged is in force on hosts that reach it; operators give two to three seconds.
const IN_FORCE: Duration = Duration::from_secs(2);

fn serves_the_late_route(host: &TestHost) -> bool {
    host.get("/late/a", "X-Request: late\r\n").starts_with("HTTP/1.1 200")
}

fn ready_plain(host: &TestHost) -> usize {
    host.shared.table.borrow().ready_engines("plain").count()
}

fn knows_era(host: &TestHost, era: i64) -> bool {
    host.shared.metrics.store_era.get() == era
}

/// Waits until something holds; returns after how long.
fn time_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    wait_until(what, condition);
    began.elapsed()
}

/// Asserts that something goes on holding for a time.
fn holds_for(time: Duration, what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while began.elapsed() < time {
        assert!(condition(), "{what}: no longer after {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
}

/// A route that was in force went away with the store's copy, and a change after it came only when the topic had grown.
#[test]
fn followers_cross_into_the_new_era_with_their_reader_and_go_back_on_nothing() {
    let site = TestSite::start();
    let readers = ["one", "two", "three"].map(|name| site.host(name));
    let follower = site.host_with("follower", Vec::new(), WEAK);
    follower.wait_ready();
    wait_until("the host follows", || follower.shared.metrics.following.get() == 1);
    let copy = site.store.copy();
    site.store.put("configuration", "routes", "2");
    wait_until("the change is in force", || serves_the_late_route(&follower));
    let calls = follower.shared.metrics.store_calls.get();
    site.store.come_back(&copy);
    wait_until("the follower hears of it", || knows_era(&follower, 1));
    assert!(readers.iter().all(serves_the_late_route));
    holds_for(Duration::from_millis(500), "the route", || serves_the_late_route(&follower));
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    let left = time_until("the engine is left", || ready_plain(&follower) == 0);
    assert!(left <= IN_FORCE, "left only after {left:?}");
    let calls = follower.shared.metrics.store_calls.get() - calls;
    assert!(calls <= 2, "{calls} calls by a host whose reader reads for it");
}

#[test]
fn a_second_fall_soon_after_the_first_is_followed_too() {
    let site = TestSite::start();
    let host = site.host("twice");
    for _ in 0..6 {
        site.store.put("configuration", "other", "1");
    }
    let copy = site.store.copy();
    for _ in 0..6 {
        site.store.put("configuration", "other", "1");
    }
    site.store.await_held_read("configuration");
    site.store.come_back(&copy);
    site.store.put("configuration", "other", "1");
    site.store.come_back(&copy);
    site.store.put("configuration", "routes", "2");
    let time = time_until("the change is in force", || serves_the_late_route(&host));
    assert!(time <= IN_FORCE, "in force only after {time:?}");
    assert!(knows_era(&host, 2));
}

/// A host that starts knows only what the copy says, and the operator has not written again yet; its peers know better.
#[test]
fn a_host_that_starts_after_the_fall_learns_what_its_peers_knew() {
    let site = TestSite::start();
    let first = site.host("first");
    let copy = site.store.copy();
    site.store.put("configuration", "routes", "2");
    wait_until("the change is in force", || serves_the_late_route(&first));
    site.store.come_back(&copy);
    wait_until("the first hears of it", || knows_era(&first, 1));
    for capacity in [WEAK, HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 }] {
        let late = site.host_with("late", vec![first.shared.profile.peer_address], capacity);
        late.wait_ready();
        let time = time_until("the late host knows it", || serves_the_late_route(&late));
        assert!(time <= IN_FORCE, "known only after {time:?}");
        late.stop();
    }
}

/// A host that starts just after a fall and reaches no peer has nothing but the copy, which lists a key that was withdrawn since: it
/// served that key until the operator wrote again, and whatever routes the copy has.
#[test]
fn a_host_that_starts_alone_after_a_fall_serves_nothing_by_the_copy() {
    let site = site_with_keys();
    let copy = site.store.copy();
    site.store.put("configuration", "routes", &KEY_WITHDRAWN.to_string());
    site.store.come_back(&copy);
    let host = site.cold_host("alone-after-a-fall", Vec::new());
    let ask = |key: &str| host.get("/single/a", &format!("X-Request: k\r\nX-Key: {key}\r\n"));
    wait_until("the host hears of it", || knows_era(&host, 1));
    let withdrawn = "the withdrawn key";
    // The operator writes again within some seconds.
    holds_for(Duration::from_secs(2), withdrawn, || !ask("key-n1").starts_with("HTTP/1.1 200"));
    site.store.put("configuration", "routes", &KEY_WITHDRAWN.to_string());
    wait_until("it serves", || ask("key-n2").starts_with("HTTP/1.1 200"));
    holds_for(IN_FORCE, withdrawn, || ask("key-n1").starts_with("HTTP/1.1 401"));
}

/// An entry of the plain server, absent where its key is dropped.
type Entry = Option<(u64, bool)>;

/// What becomes of an engine of which a copy says something else than what is known.
struct ListingCase {
    name: &'static str,
    /// The entry in the copy: the life, and whether it is leaving.
    copied: Entry,
    /// What was written after the copy was made.
    known: &'static [Entry],
    /// Whether the engine is used before it has written again.
    used: bool,
    /// What is written again.
    again: Entry,
    /// Whether it is used then.
    used_then: bool,
}

const LIFE: u64 = FIRST_BIRTH;

const LISTING_CASES: &[ListingCase] = &[
    ListingCase {
        name: "ready in the copy, and has said that it leaves",
        copied: Some((LIFE, false)),
        known: &[Some((LIFE, true))],
        used: false,
        again: Some((LIFE, true)),
        used_then: false,
    },
    ListingCase {
        name: "ready in the copy, and writes its older word again",
        copied: Some((LIFE, false)),
        known: &[Some((LIFE, true))],
        used: false,
        again: Some((LIFE, false)),
        used_then: false,
    },
    ListingCase {
        name: "listed in the copy, and is gone since",
        copied: Some((LIFE, false)),
        known: &[None],
        used: false,
        again: None,
        used_then: false,
    },
    ListingCase {
        name: "listed in the copy, was gone, and lives",
        copied: Some((LIFE, false)),
        known: &[None],
        used: false,
        again: Some((LIFE, false)),
        used_then: true,
    },
    ListingCase {
        name: "unknown to the copy, and lives",
        copied: None,
        known: &[Some((LIFE, false))],
        used: true,
        again: Some((LIFE, false)),
        used_then: true,
    },
    ListingCase {
        name: "unknown to the copy, and leaves when it writes again",
        copied: None,
        known: &[Some((LIFE, false))],
        used: true,
        again: Some((LIFE, true)),
        used_then: false,
    },
    ListingCase {
        name: "leaving in the copy, and its next life is listed since",
        copied: Some((LIFE, true)),
        known: &[None, Some((LIFE + 1, false))],
        used: true,
        again: Some((LIFE + 1, false)),
        used_then: true,
    },
    ListingCase {
        name: "in the copy in the life before one that leaves",
        copied: Some((LIFE, false)),
        known: &[None, Some((LIFE + 1, true))],
        used: false,
        again: Some((LIFE + 1, true)),
        used_then: false,
    },
];

fn put_entry(site: &TestSite, entry: Entry) {
    let value = entry.map_or_else(String::new, |(born, leaving)| {
        site.plain.begin_life(born);
        site.plain.entry("plain", leaving)
    });
    site.store.put("engines", "plain-1", &value);
}

#[test]
fn what_an_engine_said_later_holds_against_an_older_copy() {
    thread::scope(|scope| {
        for case in LISTING_CASES {
            scope.spawn(|| play_listing(case));
        }
    });
}

fn play_listing(case: &ListingCase) {
    let site = TestSite::start();
    let host = site.host("listing");
    let known_to = |end: i64| host.shared.metrics.engines_read_to.get() >= end;
    put_entry(&site, case.copied);
    let copy = site.store.copy();
    for entry in case.known {
        put_entry(&site, *entry);
        // Each is read by itself.
        let end = i64::try_from(site.store.end("engines")).expect("a short topic");
        wait_until(case.name, || known_to(end));
    }
    let used = usize::from(case.used);
    wait_until(case.name, || ready_plain(&host) == used);
    site.store.come_back(&copy);
    wait_until(case.name, || knows_era(&host, 1));
    holds_for(Duration::from_millis(1500), case.name, || ready_plain(&host) == used);
    put_entry(&site, case.again);
    let used_then = usize::from(case.used_then);
    let time = time_until(case.name, || ready_plain(&host) == used_then);
    assert!(time <= IN_FORCE, "{}: only after {time:?}", case.name);
    holds_for(Duration::from_millis(500), case.name, || ready_plain(&host) == used_then);
}

/// The copy still lists the key; the operator writes the withdrawal again seconds later.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let site = site_with_keys();
    let host = site.host("withdrawn-key");
    let copy = site.store.copy();
    let ask = || host.get("/single/a", "X-Request: k\r\nX-Key: key-n1\r\n");
    assert!(ask().starts_with("HTTP/1.1 200"));
    site.store.put("configuration", "routes", &KEY_WITHDRAWN.to_string());
    wait_until("the key is refused", || ask().starts_with("HTTP/1.1 401"));
    site.store.come_back(&copy);
    wait_until("the host hears of it", || knows_era(&host, 1));
    holds_for(IN_FORCE, "the withdrawal", || ask().starts_with("HTTP/1.1 401"));
    site.store.put("configuration", "routes", &KEY_WITHDRAWN.to_string());
    holds_for(Duration::from_millis(300), "the withdrawal", || ask().starts_with("HTTP/1.1 401"));
}

/// Tokens of the orders that engines took, by holder, in the order in which each engine took them.
fn tokens(site: &TestSite) -> Vec<Vec<(String, u64)>> {
    let of = |order: &serde_json::Value| {
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        (holder, order["token"].as_u64().unwrap_or_default())
    };
    site.engines.iter().map(|engine| engine.orders().iter().map(of).collect()).collect()
}

/// The group counts its generations again. A token that is only a generation would be given out twice, or lie below what engines have
/// seen, which then refuse everybody until the count has caught up.
#[test]
fn placers_go_on_above_the_tokens_that_engines_have_seen() {
    let site = TestSite::start();
    for engine in &site.engines {
        engine.treat(&[EngineMood::Stream(3)]);
    }
    let copy = site.store.copy();
    let hosts = ["one", "two", "three"].map(|name| site.host(name));
    let served = |host: &TestHost, adapter: &str| {
        let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
        host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
    };
    wait_until("an adapter is served", || served(&hosts[0], "early"));
    for fall in 1..=2 {
        site.store.come_back(&copy);
        let began = Instant::now();
        let adapter = format!("after-{fall}");
        wait_until("an adapter is served after the fall", || served(&hosts[0], &adapter));
        println!("served {:?} after fall {fall}", began.elapsed());
        wait_until("all know", || hosts.iter().all(|host| knows_era(host, fall)));
    }
    let taken = tokens(&site);
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for orders in &taken {
        assert!(orders.is_sorted_by_key(|(_, token)| *token), "tokens fall: {orders:?}");
        for (holder, token) in orders {
            let known = holders.entry(*token).or_insert_with(|| holder.clone());
            assert_eq!(known, holder, "two holders with token {token}: {taken:?}");
        }
    }
    assert!(holders.len() >= 2, "{holders:?}");
}

/// What one task that follows a topic was told.
type Updates = RefCell<Vec<TopicUpdate>>;

/// Follows the configuration of a site with a task alone, until `enough` holds or the patience is over; `eras` was heard of before.
fn follow_alone(
    site: &TestSite,
    eras: &EraTracker,
    enough: impl Fn(&[TopicUpdate]) -> bool,
) -> Vec<TopicUpdate> {
    let dialect = Arc::new(PlainStore { routes: Arc::default() });
    let client = StoreClient::new(dialect, site.store.address, Counter::default(), eras.clone());
    let terms = FollowOptions {
        topic: KeyedTopic::Configuration,
        min_interval: Duration::from_millis(5),
        poll_wait: Duration::from_millis(200),
        clock: Arc::new(MonotonicClock::new()),
        max_backoff: Box::new(|| Duration::from_millis(50)),
    };
    let returns = watch::Sender::new(0);
    let pause = StoreBackoff::probing(Backoff::new(1), returns.subscribe());
    let gate = watch::Sender::new(false);
    let updates = Updates::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let following = async {
        let sink = |update| updates.borrow_mut().push(update);
        let looking = async {
            while !enough(&updates.borrow()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            () = follow_topic(client, terms, pause, gate.subscribe(), sink) => {}
            () = looking => {}
            () = tokio::time::sleep(IN_FORCE) => {}
        }
    };
    runtime.expect("a runtime").block_on(following);
    updates.into_inner()
}

#[test]
fn an_answer_of_an_earlier_era_is_dropped() {
    let site = TestSite::start();
    let eras = EraTracker::default();
    eras.observe(3, "a peer");
    let updates = follow_alone(&site, &eras, |updates| updates.len() >= 3);
    assert!(updates.len() >= 3);
    assert!(updates.iter().all(|update| *update == TopicUpdate::Unavailable), "{updates:?}");
    assert_eq!(eras.current(), 3);
}

#[test]
fn the_pages_of_a_whole_reading_are_of_one_era() {
    let site = TestSite::without_configuration();
    for (key, value) in [("a", "1"), ("b", "1"), ("c", "1"), ("a", "2")] {
        site.store.put("configuration", key, value);
    }
    // Read at once, the first page tells "a" as it was before the fall.
    site.store.fall_between_pages("configuration", 1, ("b", "3"));
    let whole = |update: &TopicUpdate| matches!(update, TopicUpdate::Snapshot { .. });
    let updates = follow_alone(&site, &EraTracker::default(), |updates| updates.iter().any(whole));
    let Some(TopicUpdate::Snapshot { records, end, .. }) =
        updates.iter().find(|update| whole(update))
    else {
        panic!("no whole reading: {updates:?}")
    };
    let read: Vec<(&str, &[u8])> =
        records.iter().map(|record| (record.key.as_str(), &*record.value)).collect();
    assert_eq!(read, [("a", &b"1"[..]), ("b", b"3"), ("c", b"1")]);
    assert_eq!(*end, StorePosition { era: 1, offset: 4 });
    assert!(records.iter().all(|record| record.position.era == 1), "{records:?}");
}
