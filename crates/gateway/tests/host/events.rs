//! Structured log lines: a stalled reader blocks no writer, and the operations page lists all
//! events.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader},
    sync::Arc,
    time::{Duration, Instant},
};

use reelreel_gateway::events::{EventLog, HeldKind, HostEvent, InterruptedPart, RequestEvent};
use serde_json::Value;

/// Number of lines written: far more than a pipe and the queue hold.
const LINES: u64 = 20_000;

#[test]
fn a_stalled_log_reader_blocks_no_writer_and_gets_the_count_of_dropped_lines() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let log = EventLog::start_to(Arc::from("stalled"), writer).expect("a thread");
    let mut max_write_time = Duration::ZERO;
    for number in 0..LINES {
        let began = Instant::now();
        log.write(HostEvent::ConfigurationInForce { revision: number, era: 0, offset: 0 });
        max_write_time = max_write_time.max(began.elapsed());
    }
    // A write that waits for the reader would never return; the bound allows for a busy machine.
    assert!(max_write_time < Duration::from_secs(1), "a write took {max_write_time:?}");
    // Once the reader resumes, it gets the queued lines and a line with the count of dropped ones.
    let reader_thread = std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines().map_while(Result::ok);
        let lines = lines.map(|line| serde_json::from_str(&line).expect("a JSON line"));
        lines.collect::<Vec<Value>>()
    });
    std::thread::sleep(Duration::from_millis(300));
    log.write(HostEvent::ConfigurationInForce { revision: LINES, era: 0, offset: 0 });
    drop(log);
    let lines = reader_thread.join().expect("the reader ends");
    let dropped: u64 = lines.iter().filter_map(|line| line["left_out"].as_u64()).sum();
    assert!(dropped > 0, "none of {} lines counts dropped ones", lines.len());
    assert_eq!(dropped + lines.len() as u64, LINES + 1);
}

fn service_limit() -> HostEvent {
    HostEvent::ServiceLimit {
        service: String::from("s"),
        limit: Some(364.0),
        arrivals: Some(403.0),
        servers: 1,
        full: 3,
    }
}

fn host_load() -> HostEvent {
    HostEvent::HostLoad {
        state: "overloaded".into(),
        resource: "link".into(),
        pressure: 1.2,
        loop_delay: 15,
        link_use: 0.9,
        connections: 340,
        open: 320,
        limit: Some(250.0),
    }
}

fn links() -> HostEvent {
    HostEvent::Links {
        state: "connected".into(),
        failed: 2,
        connect_failure: Some("refused".into()),
        isolated_millis: Some(900),
        received_ago: 12,
        slow: false,
    }
}

/// Returns one event of each kind.
fn one_event_of_each_kind() -> Vec<HostEvent> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let engine = || String::from("e1");
    vec![
        HostEvent::Started { clients: address, peers: address },
        HostEvent::Reloaded { mistake: Some(String::from("none")) },
        HostEvent::Stopping { open: 1 },
        HostEvent::Stopped { open: 1 },
        HostEvent::ConfigurationInForce { revision: 1, era: 4, offset: 12 },
        HostEvent::StoreLost { what: "engines".into() },
        HostEvent::StoreRegained { what: "engines".into() },
        HostEvent::StoreEra { from: 3, to: 4, teller: "store".into(), age: Some(2500) },
        HostEvent::ServingStarted { cause: "peer_state".into(), peer: Some(address), age: 405 },
        HostEvent::TopicRead {
            what: "engines".into(),
            records: 16,
            era: 4,
            end: 40,
            known_era: 3,
            known: 61,
        },
        HostEvent::Following { reader: String::from("127.0.0.1:1") },
        HostEvent::ReaderLost {
            reader: String::from("127.0.0.1:1"),
            cause: "timed_out".into(),
            received: 65_536,
        },
        HostEvent::Reading { reads: true, age: Some(20) },
        HostEvent::HostsCounted { hosts: 6 },
        service_limit(),
        HostEvent::EngineEnded {
            engine: engine(),
            runs: 3,
            begun: 1,
            marks: vec![String::from("0f0f0f0f0f0f0f0f")],
            parts: vec![InterruptedPart {
                part: String::from("00000000000000aa"),
                waiting: 2,
                begun: 1,
            }],
        },
        links(),
        host_load(),
        HostEvent::RequestHeld {
            mark: String::from("0f0f0f0f0f0f0f0f"),
            kind: HeldKind::PromptPart,
            organisation: Some(String::from("north")),
            ends: 2,
            millis: 5000,
        },
        HostEvent::RequestCleared {
            mark: String::from("0f0f0f0f0f0f0f0f"),
            kind: HeldKind::Request,
        },
        HostEvent::EngineJoined { engine: engine(), service: String::from("s"), address },
        HostEvent::Freshness { state: "expired".into(), age: Some(5000) },
        HostEvent::EngineReborn { engine: engine(), incarnation: 1_788_253_401_202 },
        HostEvent::EngineLeaving { engine: engine() },
        HostEvent::DepartureLearned {
            engine: engine(),
            incarnation: 1,
            source: "response".into(),
            age: 3,
        },
        HostEvent::CooldownBegan { engine: engine(), incarnation: 1, millis: 3000 },
        HostEvent::CooldownEnded { engine: engine(), requests: 2 },
        HostEvent::EngineGone { engine: engine() },
        HostEvent::EngineLimited {
            engine: engine(),
            incarnation: 1,
            limit: Some(1.7),
            max_open: Some(8),
            before: Some(2.4),
        },
        HostEvent::LimitEnded { engine: engine(), limit: Some(1.7), max_open: Some(8) },
        HostEvent::LimitUnreadable { engine: engine(), answers: 3 },
        HostEvent::LoadHeld {
            service: String::from("s"),
            key: String::from("m/a1"),
            ends: 2,
            millis: 5000,
        },
        HostEvent::Lease { service: String::from("s"), state: "acting".into(), token: 1 },
        HostEvent::StorePace { service: String::from("s"), full_speed: 32.0, load_millis: 250 },
        HostEvent::Order {
            engine: engine(),
            kind: String::from("load"),
            key: String::from("m/a1"),
            sequence: 1,
            token: 1,
            worth: 1.0,
            waiting: 1,
            answer: String::from("Accepted"),
            millis: 1,
        },
        HostEvent::Request(Box::new(request_event())),
    ]
}

fn request_event() -> RequestEvent {
    let engine = || String::from("i-1");
    RequestEvent {
        id: String::from("r1"),
        route: String::from("r"),
        outcome: "answered".into(),
        late: true,
        organisation: Some(String::from("north")),
        fingerprint: Some(String::from("0badc0de")),
        mark: Some(String::from("0f0f0f0f0f0f0f0f")),
        parts: vec![String::from("00000000000000aa")],
        held_by: Some(String::from("00000000000000aa")),
        status: 200,
        retry_after: Some(1),
        key: Some(String::from("m/a1")),
        engine: Some(engine()),
        software: Some(String::from("v1")),
        resumes: Some(String::from("r0")),
        joined: vec![String::from("v1"), String::from("v2")],
        limited_by: Some(engine()),
        cooling_by: Some(engine()),
        level: Some(0.5),
        sends: 1,
        rejections: 1,
        same_connection: 1,
        unconnected: 1,
        connect_failure: Some("timed_out".into()),
        tunnel: Some(String::from("127.0.0.1:1")),
        prompt: 1,
        waited: 1,
        cold: Some("load_due".into()),
        sent: 1,
        first: 1,
        pause: 1,
        body_end: Some("closed".into()),
        framing: Some("until_close".into()),
        not_resumed: Some("no_copy".into()),
        total: 1,
        revision: 1,
    }
}

/// Fails to compile when a kind of event is added and [`one_event_of_each_kind`] is not extended.
fn is_listed(event: &HostEvent) -> bool {
    use HostEvent as Event;
    match event {
        Event::Started { .. }
        | Event::Reloaded { .. }
        | Event::Stopping { .. }
        | Event::Stopped { .. }
        | Event::ConfigurationInForce { .. }
        | Event::Freshness { .. }
        | Event::StoreLost { .. }
        | Event::StoreRegained { .. }
        | Event::StoreEra { .. }
        | Event::ServingStarted { .. }
        | Event::TopicRead { .. }
        | Event::Following { .. }
        | Event::ReaderLost { .. }
        | Event::Reading { .. }
        | Event::HostsCounted { .. }
        | Event::ServiceLimit { .. }
        | Event::EngineJoined { .. }
        | Event::EngineLeaving { .. }
        | Event::EngineGone { .. }
        | Event::DepartureLearned { .. }
        | Event::CooldownBegan { .. }
        | Event::CooldownEnded { .. }
        | Event::EngineEnded { .. }
        | Event::HostLoad { .. }
        | Event::Links { .. }
        | Event::EngineReborn { .. }
        | Event::RequestHeld { .. }
        | Event::RequestCleared { .. }
        | Event::EngineLimited { .. }
        | Event::LimitEnded { .. }
        | Event::LimitUnreadable { .. }
        | Event::LoadHeld { .. }
        | Event::Lease { .. }
        | Event::StorePace { .. }
        | Event::Order { .. }
        | Event::Request(_) => true,
    }
}

/// Returns the fields in the page's table, by event.
fn documented_fields() -> BTreeMap<String, BTreeSet<String>> {
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let table = page.split("## The lines").nth(1).expect("the table of lines");
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let mut fields_by_event = BTreeMap::new();
    for row in rows.take_while(|row| !row.contains("reelreel_")) {
        let cells: Vec<&str> = row.split('|').collect();
        let code_spans = |cell: &str| -> BTreeSet<String> {
            cell.split('`').skip(1).step_by(2).map(ToOwned::to_owned).collect()
        };
        for event in code_spans(cells[1]) {
            fields_by_event.insert(event, code_spans(cells[2]));
        }
    }
    fields_by_event
}

#[test]
fn the_operations_page_lists_every_event_and_field() {
    let documented = documented_fields();
    let events = one_event_of_each_kind();
    assert_eq!(events.len(), documented.len(), "the page lists {:?}", documented.keys());
    for event in events {
        assert!(is_listed(&event));
        let line = serde_json::to_value(&event).expect("a JSON value");
        let line = line.as_object().expect("an object");
        let name = line["event"].as_str().expect("a name");
        let fields = documented.get(name).unwrap_or_else(|| panic!("the page lacks `{name}`"));
        for field in line.keys().filter(|field| *field != "event") {
            assert!(fields.contains(field), "the page lacks field `{field}` of `{name}`");
        }
    }
}
