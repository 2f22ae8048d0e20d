//! Requests whose adapter no engine holds, while the placer or the store fails.
//!
//! The routes of [`crate::site`] have tight timeouts: the target is 500 ms and the timeout 1.5 s.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use prost::Message;
use reelreel_gateway::peers::frame::{FrameBody, LoadEstimateMessage, PeerFrame, PlanFrame};

use crate::{
    engine::EngineBehaviour,
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

/// Number of partitions of the group, each of which gets a placer.
const PLACERS: usize = 4;

/// Ports of the placers, below those of the hosts: the store assigns partitions to members in the
/// order of their addresses, so the host gets none.
const PLACER_PORTS: std::ops::Range<u16> = 14_000..18_000;

/// Time after which the placer expects a requested adapter.
const ESTIMATE: Duration = Duration::from_millis(200);

/// The maximum retry time: a third of the timeout.
const MAX_RETRY_AFTER: f64 = 0.5;

/// Upper limit of the time until a refusal that is not at the end of the client's patience, which
/// is 1,350 ms. Leaves room for a busy machine.
const EARLY: Duration = Duration::from_millis(900);

/// Starts hosts that own all partitions of the group and order no load, and waits until `host`
/// follows one of them: it answers demand with `estimate` once and then ends, or never answers.
pub(crate) fn start_failing_placers(site: &TestSite, host: &TestHost, estimate: Option<Duration>) {
    let subscriptions: Arc<AtomicU32> = Arc::default();
    let ended: Arc<AtomicBool> = Arc::default();
    let offset = u16::try_from(std::process::id() * 31 % 3000).unwrap_or_default();
    let ports = PLACER_PORTS.skip(usize::from(offset));
    let listeners = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    for listener in listeners.take(PLACERS) {
        site.store.add_member(&listener.local_addr().expect("an address").to_string());
        let (subscriptions, ended) = (Arc::clone(&subscriptions), Arc::clone(&ended));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (subscriptions, ended) = (Arc::clone(&subscriptions), Arc::clone(&ended));
                thread::spawn(move || place(socket, estimate, &subscriptions, &ended));
            }
        });
    }
    wait_until("the host follows a placer", || {
        subscriptions.load(Ordering::Relaxed) > 0 && host.shared.metrics.leases.get() == 0
    });
}

fn receive(socket: &mut TcpStream) -> Option<PeerFrame> {
    let mut length = [0; 4];
    socket.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    socket.read_exact(&mut bytes).ok()?;
    PeerFrame::decode(bytes.as_slice()).ok()
}

fn place(
    mut socket: TcpStream,
    estimate: Option<Duration>,
    subscriptions: &AtomicU32,
    ended: &AtomicBool,
) {
    while let Some(frame) = receive(&mut socket).filter(|_| !ended.load(Ordering::Relaxed)) {
        let Some(FrameBody::Demand(demand)) = frame.body else { continue };
        subscriptions.fetch_add(u32::from(demand.service == "assist"), Ordering::Relaxed);
        let Some(entry) = demand.entries.iter().find(|entry| entry.waiting > 0) else { continue };
        if let Some(time) = estimate {
            let expected_in_ms = u32::try_from(time.as_millis()).expect("a short time");
            let estimate =
                LoadEstimateMessage { key: entry.key.clone(), expected_in_ms, queued: false };
            let (service, estimates) = (demand.service, vec![estimate]);
            let plan = PlanFrame { service, token: u64::MAX, estimates, ..PlanFrame::default() };
            let bytes = FrameBody::Plan(plan).encoded().bytes;
            let length = u32::try_from(bytes.len()).expect("a short frame");
            let _ = socket.write_all(&[&length.to_be_bytes()[..], &bytes].concat());
            ended.store(true, Ordering::Relaxed);
        }
    }
}

/// Sends a request for an adapter that no engine holds; returns the response and how long it took.
fn request(host: &TestHost, adapter: &str) -> (String, Duration) {
    let began = Instant::now();
    let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
    let response = host.post("/stream/a", &fields, "{}");
    (response, began.elapsed())
}

fn assert_refused(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let retry_after = response.lines().find_map(|line| line.strip_prefix("Retry-After: "));
    let retry_after: f64 = retry_after.and_then(|text| text.parse().ok()).expect("a retry time");
    assert!((0.0..=MAX_RETRY_AFTER).contains(&retry_after), "{retry_after}");
}

fn refused_held(host: &TestHost, cause: &str) -> bool {
    let line = format!("reelreel_cold_held_refusals_total{{cause=\"{cause}\"}} 1");
    host.shared.metrics.encode().lines().any(|metric| metric == line)
}

/// Guards against a request that waits for a load that nobody orders any more.
#[test]
fn a_request_is_refused_soon_after_its_load_was_due_if_the_placer_dies_before_it() {
    let site = TestSite::start();
    let host = site.host("one");
    start_failing_placers(&site, &host, Some(ESTIMATE));
    let (response, time) = request(&host, "estimated");
    assert_refused(&response);
    assert!(time >= ESTIMATE, "refused after {time:?} while its load was on its way");
    assert!(time < EARLY, "refused after {time:?}");
    assert!(refused_held(&host, "overdue"), "{}", host.shared.metrics.encode());
}

/// Guards against a request that waits for a placer that does not answer.
#[test]
fn a_request_is_refused_at_once_if_the_placer_does_not_answer() {
    let site = TestSite::start();
    let host = site.host("one");
    start_failing_placers(&site, &host, None);
    for adapter in ["first", "second", "third"] {
        let (response, time) = request(&host, adapter);
        assert_refused(&response);
        assert!(time < EARLY, "refused after {time:?}");
    }
}

/// Guards against requests that wait for orders of a placer that must not order any more: without
/// fencing, one that can't confirm its lease.
#[test]
fn requests_for_absent_adapters_are_refused_at_once_while_the_store_is_cut_off() {
    let site = TestSite::start();
    let host = site.host_without_fencing("one");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    let is_served = |adapter: &str| request(&host, adapter).0.starts_with("HTTP/1.1 200");
    wait_until("an adapter is served", || is_served("early"));
    site.store.refuse(true);
    // Orders continue until the lease lapses.
    let number = AtomicU32::new(0);
    wait_until("the lease has lapsed", || {
        !is_served(&format!("lapsing-{}", number.fetch_add(1, Ordering::Relaxed)))
    });
    let orders = || site.engines.iter().map(|engine| engine.orders().len()).sum::<usize>();
    let orders_before = orders();
    for adapter in ["cut-1", "cut-2", "cut-3"] {
        let (response, time) = request(&host, adapter);
        assert_refused(&response);
        assert!(time < EARLY, "refused after {time:?}");
    }
    assert_eq!(orders(), orders_before);
    site.store.refuse(false);
    wait_until("an adapter is served again", || is_served("cut-1"));
}

/// Guards against refusals while a cut-off placer may still order: the engines enforce fencing.
#[test]
fn absent_adapters_are_loaded_while_the_store_is_cut_off_if_engines_enforce_fencing() {
    let site = TestSite::start();
    let host = site.host("one");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    let is_served = |adapter: &str| request(&host, adapter).0.starts_with("HTTP/1.1 200");
    wait_until("an adapter is served", || is_served("early"));
    site.store.refuse(true);
    // Longer than the lease's time to live.
    thread::sleep(Duration::from_secs(3));
    wait_until("an adapter is served while the store is cut off", || is_served("cut-1"));
}
