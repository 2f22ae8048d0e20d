//! Limits of plain services that all hosts learn together, without a network.

#[path = "../random/mod.rs"]
mod random;
mod simulation;

use std::time::Duration;

use reelreel_core::{
    ClockMillis,
    fleet::service_limit::{IntervalLoad, LoadSums, ServiceLimit},
};
use simulation::{Coordination, SERVER_CAPACITY, Scenario, Tally, simulate};

/// Hosts in the fleets of the design page, and in a small one.
const FLEETS: [usize; 3] = [6, 27, 68];

const SEEDS: [u64; 3] = [0x5eed_ad31, 0x5eed_0002, 0x5eed_0003];

/// From the design page: arrivals at full servers are under 1 in 20.
const MAX_FULL_FRACTION: f64 = 0.05;

/// From the design page: the minimum part of the peak that is answered in time beyond capacity.
const MIN_PART_OF_PEAK: f64 = 0.9;

/// Load on a service, with times in seconds.
struct LoadCase {
    name: &'static str,
    requests_per_second: f64,
    one_server: (f64, f64),
    no_coordinator: (f64, f64),
    /// Part of the hosts that are then cut off from it.
    cut_part: f64,
    counted: (f64, f64),
    slow_periods: bool,
    refusing_server: bool,
    /// Minimum part of the requests that are answered in time.
    min_in_time: f64,
    /// Maximum refusals for each request.
    max_refused: f64,
    max_full: f64,
}

const NEVER: (f64, f64) = (0.0, 0.0);

/// Enough servers, to change for each case.
const ENOUGH: LoadCase = LoadCase {
    name: "enough servers",
    requests_per_second: 403.0,
    one_server: NEVER,
    no_coordinator: NEVER,
    cut_part: 1.0,
    counted: (5.0, 35.0),
    slow_periods: false,
    refusing_server: false,
    min_in_time: 0.999,
    max_refused: 0.0,
    max_full: 0.0,
};

/// Two of three servers lost.
const LOST: LoadCase = LoadCase {
    name: "two of three servers lost, 403 requests per second",
    one_server: (10.0, 20.0),
    counted: (10.0, 20.0),
    slow_periods: true,
    min_in_time: 0.6,
    max_refused: 1.0,
    max_full: MAX_FULL_FRACTION,
    ..ENOUGH
};

const CASES: &[LoadCase] = &[
    ENOUGH,
    LoadCase {
        name: "enough servers with slow periods",
        slow_periods: true,
        min_in_time: 0.99,
        max_refused: 0.001,
        ..ENOUGH
    },
    LoadCase {
        name: "one of three servers refuses all requests, the others are enough",
        refusing_server: true,
        max_refused: 0.001,
        max_full: 0.5,
        ..ENOUGH
    },
    LoadCase {
        name: "two of three servers lost, 273 requests per second",
        requests_per_second: 273.0,
        min_in_time: 0.75,
        max_refused: 0.6,
        ..LOST
    },
    LOST,
    LoadCase {
        name: "half a second after two lost servers are back",
        one_server: (10.0, 20.0),
        counted: (20.5, 30.0),
        min_in_time: 0.99,
        max_refused: 0.01,
        ..ENOUGH
    },
    LoadCase {
        name: "no coordinator while two servers are lost",
        one_server: (10.0, 25.0),
        no_coordinator: (12.0, 20.0),
        counted: (13.0, 20.0),
        min_in_time: 0.5,
        max_refused: 1.5,
        max_full: 0.1,
        ..LOST
    },
    LoadCase {
        name: "a third of the hosts cut off while two servers are lost",
        one_server: (10.0, 25.0),
        no_coordinator: (8.0, 25.0),
        cut_part: 0.34,
        counted: (10.0, 25.0),
        ..LOST
    },
    LoadCase {
        name: "a new coordinator while two servers are lost",
        one_server: (10.0, 30.0),
        no_coordinator: (12.0, 20.0),
        counted: (20.0, 30.0),
        ..LOST
    },
    LoadCase {
        name: "no coordinator and enough servers",
        no_coordinator: (12.0, 30.0),
        counted: (12.0, 30.0),
        ..ENOUGH
    },
];

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "few hosts")]
const fn hosts_of(hosts: usize, part: f64) -> usize {
    (hosts as f64 * part) as usize
}

fn scenario(case: &LoadCase, hosts: usize, seed: u64) -> Scenario {
    Scenario {
        hosts,
        requests_per_second: case.requests_per_second,
        servers: 3,
        one_server: case.one_server.0..case.one_server.1,
        no_coordinator: case.no_coordinator.0..case.no_coordinator.1,
        cut_hosts: hosts_of(hosts, case.cut_part),
        slow_periods: case.slow_periods,
        refusing_server: case.refusing_server,
        coordination: Coordination::Fleet,
        herd_start: f64::INFINITY,
        counted: case.counted.0..case.counted.1,
        seed,
    }
}

fn part(count: u64, of: u64) -> f64 {
    count as f64 / of.max(1) as f64
}

fn print_row(name: &str, hosts: usize, tally: &Tally) {
    println!(
        "| {name} | {hosts} | {:.3} | {:.3} | {:.3} | {:.2} | {:.3} |",
        part(tally.in_time, tally.requests),
        part(tally.at_once, tally.requests),
        part(tally.late, tally.requests),
        part(tally.refused, tally.requests),
        part(tally.full, tally.sends),
    );
}

/// Guards against limits that lag behind the servers, and against refusals without need.
#[test]
fn a_fleet_admits_what_the_ready_servers_answer_in_time() {
    println!("| load | hosts | in time | at once | late | refused | at full servers |");
    for case in CASES {
        for (hosts, seed) in FLEETS.into_iter().flat_map(|hosts| SEEDS.map(|seed| (hosts, seed))) {
            let tally = simulate(&scenario(case, hosts, seed));
            print_row(case.name, hosts, &tally);
            let context = format!("{}, {hosts} hosts, seed {seed:x}: {tally:?}", case.name);
            assert!(part(tally.in_time, tally.requests) >= case.min_in_time, "{context}");
            assert!(part(tally.refused, tally.requests) <= case.max_refused, "{context}");
            assert!(part(tally.full, tally.sends) <= case.max_full, "{context}");
            let shortage = case.slow_periods || case.refusing_server;
            assert!(shortage || !tally.limited, "a limit without need: {context}");
        }
    }
}

/// Guards against a service that answers less in time the more requests arrive.
#[test]
fn overload_lowers_the_requests_served_in_time_by_at_most_a_tenth() {
    for coordination in [Coordination::Alone, Coordination::Fleet] {
        for (hosts, seed) in FLEETS.into_iter().flat_map(|hosts| SEEDS.map(|seed| (hosts, seed))) {
            let tallies = [0.7, 1.0, 1.5, 2.0, 3.0].map(|multiple| {
                let requests_per_second = SERVER_CAPACITY * multiple;
                let load = LoadCase { requests_per_second, slow_periods: true, ..ENOUGH };
                let scenario = scenario(&load, hosts, seed);
                let scenario = Scenario { coordination, servers: 1, ..scenario };
                let tally = simulate(&scenario);
                print_row(&format!("{coordination:?}, {multiple} of the capacity"), hosts, &tally);
                tally
            });
            if coordination == Coordination::Alone {
                continue;
            }
            let peak = tallies.iter().map(|tally| tally.in_time).max().expect("tallies");
            for tally in &tallies {
                assert!(part(tally.full, tally.sends) <= MAX_FULL_FRACTION, "{hosts}: {tally:?}");
            }
            for tally in &tallies[3..] {
                let of_peak = part(tally.in_time, peak);
                assert!(of_peak >= MIN_PART_OF_PEAK, "{hosts} hosts, {of_peak:.2}: {tallies:?}");
            }
        }
    }
}

/// From the users' rule: least ratio of the served fractions while one host gets most requests and otherwise.
const MIN_SERVED_RATIO: f64 = 0.75;

/// A load of which one host gets nine tenths.
struct HerdCase {
    name: &'static str,
    /// As a multiple of what the servers answer.
    load: f64,
    servers: usize,
    coordination: Coordination,
    slow_periods: bool,
    refusing_server: bool,
}

const HERD: HerdCase = HerdCase {
    name: "little room",
    load: 0.8,
    servers: 3,
    coordination: Coordination::Fleet,
    slow_periods: false,
    refusing_server: false,
};

const HERD_CASES: &[HerdCase] = &[
    HERD,
    HerdCase { name: "little room, each host alone", coordination: Coordination::Alone, ..HERD },
    HerdCase { name: "slow periods", slow_periods: true, ..HERD },
    HerdCase { name: "slow periods of one server", servers: 1, slow_periods: true, ..HERD },
    HerdCase {
        name: "slow periods of one server, each host alone",
        servers: 1,
        slow_periods: true,
        coordination: Coordination::Alone,
        ..HERD
    },
    HerdCase { name: "one of three refuses", load: 0.6, refusing_server: true, ..HERD },
    HerdCase { name: "too little room", load: 1.3, ..HERD },
];

/// Guards against refusals at the host that gets most requests while the servers have room.
#[test]
fn a_host_that_gets_most_requests_is_answered_as_often_as_all_were() {
    let mut failures = Vec::new();
    for case in HERD_CASES {
        for hosts in FLEETS {
            let at_once = [f64::INFINITY, 10.0].map(|herd_start| {
                let tallies = SEEDS.map(|seed| {
                    let load = LoadCase {
                        requests_per_second: SERVER_CAPACITY * case.servers as f64 * case.load,
                        slow_periods: case.slow_periods,
                        refusing_server: case.refusing_server,
                        counted: (13.0, 33.0),
                        ..ENOUGH
                    };
                    let (servers, coordination) = (case.servers, case.coordination);
                    let scenario = scenario(&load, hosts, seed);
                    simulate(&Scenario { servers, coordination, herd_start, ..scenario })
                });
                let sum = |count: fn(&Tally) -> u64| tallies.iter().map(count).sum::<u64>();
                part(sum(|tally| tally.at_once), sum(|tally| tally.requests))
            });
            let [before, herd] = at_once;
            let line =
                format!("{}, {hosts} hosts: {before:.3} evenly, {herd:.3} in the herd", case.name);
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a full service that gets all requests because one of its refusals is still on the
/// way when an interval ends.
#[test]
fn a_refusal_that_is_still_open_does_not_lift_the_limit_of_a_full_service() {
    struct OpenCase {
        admitted: u32,
        full: u32,
        open: u32,
    }
    let cases = [
        OpenCase { admitted: 2, full: 1, open: 1 },
        OpenCase { admitted: 2, full: 0, open: 2 },
        OpenCase { admitted: 1, full: 1, open: 1 },
        OpenCase { admitted: 4, full: 1, open: 3 },
    ];
    let interval = Duration::from_millis(100);
    for OpenCase { admitted, full, open } in cases {
        let mut now = ClockMillis::from_millis(1000);
        let mut limit = ServiceLimit::new(1, now);
        let mut update = |admitted, full, open| {
            now = now + interval;
            let sums = LoadSums { arrivals: 12, admitted, full, ..LoadSums::default() };
            let latency_target = Duration::from_millis(500);
            let load = IntervalLoad {
                sums,
                open,
                elapsed: interval,
                ready_servers: 1,
                slots: 16,
                latency_target,
            };
            limit.update(&load, now);
            limit.published(now).expect("a limit").rate
        };
        let full_rate = (0..5).map(|_| update(2, 2, 0)).fold(0.0, f64::max);
        let rate = update(admitted, full, open);
        assert!(rate <= 2.0 * full_rate, "{rate:.0} after {full_rate:.0} requests per second");
    }
}
