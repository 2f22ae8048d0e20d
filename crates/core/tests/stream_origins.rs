//! Origins of streams: who keeps them, for how long, and what conflicting reports do.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, ServiceName, SoftwareVersion,
        stream_origins::{
            KEEPERS, KnownOrigin, ORIGIN_TTL, StreamOrigins, WINDOW_COUNT, save_interval, stream_id,
        },
    },
};

const HOSTS: u16 = 12;

const STREAMS: u64 = 200;

fn hosts() -> Vec<SocketAddr> {
    (1..=HOSTS).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect()
}

fn version(name: &str) -> SoftwareVersion {
    Arc::from(name)
}

const fn at(seconds: u64) -> ClockMillis {
    ClockMillis::from_millis(1000 * seconds)
}

/// Reports of one stream in turn, and what is known then.
struct ReportCase {
    name: &'static str,
    /// Time and software version of each report. Unit: seconds.
    reports: &'static [(u64, &'static str)],
    /// Unit: seconds.
    asked_at: u64,
    expected: Option<&'static str>,
    ambiguous: bool,
}

const REPORT_CASES: &[ReportCase] = &[
    ReportCase { name: "none", reports: &[], asked_at: 1, expected: None, ambiguous: false },
    ReportCase {
        name: "one",
        reports: &[(1, "v1")],
        asked_at: 40,
        expected: Some("v1"),
        ambiguous: false,
    },
    ReportCase {
        name: "the same twice, over a rotation",
        reports: &[(1, "v1"), (60, "v1")],
        asked_at: 61,
        expected: Some("v1"),
        ambiguous: false,
    },
    ReportCase {
        name: "two versions",
        reports: &[(1, "v1"), (2, "v2")],
        asked_at: 3,
        expected: None,
        ambiguous: true,
    },
    ReportCase {
        name: "two versions, and the first again",
        reports: &[(1, "v1"), (2, "v2"), (3, "v1")],
        asked_at: 4,
        expected: None,
        ambiguous: true,
    },
    ReportCase {
        name: "two versions, over a rotation",
        reports: &[(1, "v1"), (60, "v2")],
        asked_at: 61,
        expected: None,
        ambiguous: true,
    },
];

/// Guards against a stream that goes on at a guess when it was reported with several versions.
#[test]
fn a_stream_has_the_one_software_version_that_was_reported() {
    for case in REPORT_CASES {
        let mut origins = StreamOrigins::default();
        let stream = stream_id("attempt");
        for (second, software) in case.reports {
            origins.receive(stream, &version(software), at(*second));
        }
        let expected = match (case.expected, case.ambiguous) {
            (Some(software), _) => KnownOrigin::Software(version(software)),
            (None, true) => KnownOrigin::Ambiguous,
            (None, false) => KnownOrigin::Unknown,
        };
        assert_eq!(origins.origin_of(stream), expected, "{} at {} s", case.name, case.asked_at);
    }
}

/// Guards against streams that are forgotten early, and against ones that are kept for good.
#[test]
fn streams_are_known_for_a_bounded_time() {
    let mut origins = StreamOrigins::default();
    let (stream, software) = (stream_id("attempt"), version("v1"));
    origins.receive(stream, &software, at(100));
    let other = |number: u64| stream_id(&format!("other-{number}"));
    origins.receive(other(1), &software, at(100) + ORIGIN_TTL - Duration::from_millis(1));
    assert_eq!(origins.origin_of(stream), KnownOrigin::Software(Arc::clone(&software)));
    origins.receive(other(2), &software, at(100) + ORIGIN_TTL);
    origins.receive(other(3), &software, at(100) + 2 * ORIGIN_TTL);
    assert_eq!(origins.origin_of(stream), KnownOrigin::Unknown);
}

/// Guards against a host that asks others than those which were told, also after one has gone.
#[test]
fn the_hosts_that_are_told_are_the_hosts_that_are_asked() {
    for gone in 0..usize::from(HOSTS) {
        let (mut teller, mut other) = (StreamOrigins::default(), StreamOrigins::default());
        teller.set_hosts(hosts());
        let mut left = hosts();
        let gone_host = left.remove(gone);
        other.set_hosts(left);
        for number in 0..STREAMS {
            let stream = stream_id(&format!("attempt-{number}"));
            teller.record(stream, &version("v1"), at(1));
            let told: Vec<SocketAddr> = teller.take_unsent().into_keys().collect();
            assert_eq!(told.len(), KEEPERS);
            let asked = other.hosts_to_ask(stream, KEEPERS);
            let reached = told.iter().filter(|host| **host != gone_host && asked.contains(host));
            assert!(reached.count() >= 1, "{stream}: told {told:?}, asked {asked:?}");
        }
    }
}

/// Guards against streams that lose a keeper with each host that leaves.
#[test]
fn streams_get_another_keeper_when_one_leaves() {
    let mut origins = StreamOrigins::default();
    origins.set_hosts(hosts());
    let stream = stream_id("attempt");
    origins.record(stream, &version("v1"), at(1));
    origins.take_unsent();
    let first = origins.hosts_to_ask(stream, KEEPERS);
    let left: Vec<_> = hosts().into_iter().filter(|host| *host != first[0]).collect();
    origins.set_hosts(left);
    let told: Vec<SocketAddr> = origins.take_unsent().into_keys().collect();
    let second = origins.hosts_to_ask(stream, KEEPERS);
    assert_eq!(second[0], first[1]);
    assert_eq!(told, [second[1]], "only the new keeper is told");
}

fn entry(service: &str, software: &str) -> EngineEntry {
    EngineEntry {
        name: Arc::from("engine"),
        incarnation: 1,
        service: Arc::from(service),
        address: hosts()[0],
        hall: Arc::from("hall"),
        slots: 1,
        leaving: false,
        sequence: 0,
        software: version(software),
        loaded_models: Vec::new(),
    }
}

/// Since when a host observes the engines of a service that run one software version, and whether it
/// knows that this version began a stream.
struct SoleCase {
    name: &'static str,
    /// Unit: seconds.
    started_at: Option<u64>,
    /// Unit: seconds.
    first_listing_at: u64,
    /// Unit: seconds.
    asked_at: u64,
    is_known: bool,
}

const SOLE_CASES: &[SoleCase] = &[
    SoleCase {
        name: "the first start of the system",
        started_at: None,
        first_listing_at: 1,
        asked_at: 2,
        is_known: true,
    },
    SoleCase {
        name: "just restarted",
        started_at: Some(100),
        first_listing_at: 101,
        asked_at: 102,
        is_known: false,
    },
    SoleCase {
        name: "restarted, and without engines for long",
        started_at: Some(100),
        first_listing_at: 130,
        asked_at: 174,
        is_known: false,
    },
    SoleCase {
        name: "restarted long ago",
        started_at: Some(100),
        first_listing_at: 130,
        asked_at: 175,
        is_known: true,
    },
];

/// Guards against a host that takes the only software version it has seen since its start for the only
/// one that can have begun a stream.
#[test]
fn a_restarted_host_does_not_know_which_software_version_was_the_only_one() {
    let service: ServiceName = Arc::from("assist");
    let entry = entry("assist", "v2");
    for case in SOLE_CASES {
        let mut origins = match case.started_at {
            Some(started_at) => StreamOrigins::of_restarted_host(at(started_at)),
            None => StreamOrigins::default(),
        };
        origins.record_first_listing(at(case.first_listing_at));
        let sole = origins.sole_software(&service, [&entry].into_iter(), at(case.asked_at));
        assert_eq!(sole, case.is_known.then(|| version("v2")), "{}", case.name);
    }
}

/// Engines that are listed or were, by service and software version.
struct VersionCase {
    name: &'static str,
    listed: &'static [(&'static str, &'static str)],
    /// With the time. Unit: seconds.
    delisted: &'static [(&'static str, &'static str, u64)],
    had_several: bool,
}

const VERSION_CASES: &[VersionCase] = &[
    VersionCase { name: "none", listed: &[], delisted: &[], had_several: false },
    VersionCase {
        name: "one each of two services",
        listed: &[("assist", "v1"), ("ledger", "v2"), ("assist", "v1")],
        delisted: &[],
        had_several: false,
    },
    VersionCase {
        name: "two of one service",
        listed: &[("assist", "v1"), ("ledger", "v1"), ("assist", "v2")],
        delisted: &[],
        had_several: true,
    },
    VersionCase {
        name: "another one until lately",
        listed: &[("assist", "v2")],
        delisted: &[("assist", "v1", 70)],
        had_several: true,
    },
    VersionCase {
        name: "another one until long ago",
        listed: &[("assist", "v2")],
        delisted: &[("assist", "v1", 50)],
        had_several: false,
    },
    VersionCase {
        name: "two until lately",
        listed: &[],
        delisted: &[("assist", "v1", 70), ("assist", "v2", 71)],
        had_several: true,
    },
];

/// Guards against origins that are not saved while a stream could go on at a wrong version, and against
/// writes to the store while none could.
#[test]
fn services_with_several_software_versions_are_known() {
    for case in VERSION_CASES {
        let mut origins = StreamOrigins::default();
        for (service, software, second) in case.delisted {
            origins.record_delisted(&Arc::from(*service), &version(software), at(*second));
        }
        let listed: Vec<_> =
            case.listed.iter().map(|(service, software)| entry(service, software)).collect();
        let had_several = origins.had_several_versions(listed.iter(), at(100));
        assert_eq!(had_several, case.had_several, "{}", case.name);
    }
}

/// Guards against more windows than there are records for them, and against streams that leave their
/// window while they are known.
#[test]
fn own_streams_stay_in_a_bounded_number_of_windows_while_they_are_known() {
    let mut origins = StreamOrigins::default();
    origins.set_hosts(hosts());
    let step = Duration::from_millis(500);
    let mut begun = Vec::new();
    for number in 0..400 {
        let now = at(0) + step * number;
        let stream = stream_id(&format!("attempt-{number}"));
        origins.record(stream, &version("v1"), now);
        origins.receive(stream_id(&format!("other-{number}")), &version("v1"), now);
        begun.push((stream, now));
        let windows = origins.own_windows(now);
        let slots: HashSet<_> = windows.iter().map(|(window, _)| window % WINDOW_COUNT).collect();
        assert_eq!(slots.len(), windows.len(), "at {now:?}");
        let saved: Vec<_> =
            windows.iter().flat_map(|(window, _)| origins.window_streams(*window)).collect();
        let lengths: usize = windows.iter().map(|(_, length)| length).sum();
        assert_eq!(saved.len(), lengths);
        let known = begun.iter().filter(|(_, begun_at)| now.since(*begun_at) < ORIGIN_TTL);
        for (stream, begun_at) in known {
            assert!(saved.contains(&(*stream, version("v1"))), "of {begun_at:?} at {now:?}");
        }
    }
}

/// Guards against hosts that together write more often than the store takes.
#[test]
fn all_hosts_together_save_at_most_forty_times_a_second() {
    for hosts in [0, 1, 7, 24, 72, 370, 1000] {
        let saves_per_second = f64::from(hosts) / save_interval(hosts).as_secs_f64();
        assert!(saves_per_second <= 40.0, "{hosts} hosts: {saves_per_second}");
    }
}
