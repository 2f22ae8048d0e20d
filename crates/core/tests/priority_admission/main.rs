//! Admission by priority and by fair share while engines are short of slots.

mod simulation;

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::priority_admission::{
        EngineWait, PriorityAdmission, PriorityArrival, PriorityCause, PriorityDecision,
        priority_weight,
    },
    organisation::{OrganisationName, fair_share::FairShares},
};
use simulation::{DemandFactor, Record, Scenario, StreamKind, run};

const OFICINA: &[StreamKind] = &[
    StreamKind { priority: 0, latency_target: 500, timeout: 5000, part: 0.78 },
    StreamKind { priority: 1, latency_target: 800, timeout: 4000, part: 0.04 },
    StreamKind { priority: 2, latency_target: 2000, timeout: 10_000, part: 0.18 },
];
const COSECHA: &[StreamKind] = &[
    StreamKind { priority: 0, latency_target: 1000, timeout: 8000, part: 0.09 },
    StreamKind { priority: 1, latency_target: 600, timeout: 4000, part: 0.88 },
    StreamKind { priority: 2, latency_target: 800, timeout: 4000, part: 0.03 },
];

/// The largest loss that a more urgent kind, or an organisation beside a flood, may have: the
/// requirement on served fractions of kinds.
const MAX_LOSS: f64 = 0.05;

/// Seeds whose outcomes are added up.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

const fn hard(at: u64, factor: f64) -> f64 {
    if at >= 10_000 && at < 30_000 { factor } else { 1.0 }
}

const CALM: DemandFactor = |_, _, _| 1.0;
const BURST: DemandFactor = |at, _, priority| hard(at, if priority == 2 { 6.0 } else { 1.0 });
const FLOOD: DemandFactor = |at, first, _| hard(at, if first == 0 { 6.0 } else { 1.0 });
const TWICE: DemandFactor = |at, _, _| hard(at, 2.0);
const WAVE: DemandFactor = |at, _, _| 1.0 + 0.55 * (at as f64 / 2000.0).sin();

/// Who must be served as in calm times.
#[derive(PartialEq)]
enum Spared {
    Nobody,
    /// The most urgent kind.
    Urgent,
    /// Organisations other than the first.
    Others,
}

struct DemandCase(&'static str, &'static [StreamKind], usize, f64, DemandFactor, Spared);

/// Name, kinds, hosts, base demand relative to the capacity, factor on it, and who is spared.
const DEMAND_CASES: &[DemandCase] = &[
    DemandCase("calm", OFICINA, 10, 0.7, CALM, Spared::Nobody),
    DemandCase("burst of the least urgent", OFICINA, 10, 0.85, BURST, Spared::Urgent),
    DemandCase("burst with little room", OFICINA, 10, 0.95, BURST, Spared::Urgent),
    DemandCase("burst at three hosts", OFICINA, 3, 0.85, BURST, Spared::Urgent),
    DemandCase("wave", COSECHA, 10, 0.95, WAVE, Spared::Urgent),
    DemandCase("flood", OFICINA, 10, 0.85, FLOOD, Spared::Others),
    DemandCase("flood with little room", OFICINA, 10, 0.95, FLOOD, Spared::Others),
    DemandCase("flood, few urgent", COSECHA, 10, 0.95, FLOOD, Spared::Others),
    DemandCase("flood at three hosts", OFICINA, 3, 0.85, FLOOD, Spared::Others),
    DemandCase("twice the demand", OFICINA, 10, 0.85, TWICE, Spared::Nobody),
    DemandCase("twice the demand, little room", OFICINA, 10, 0.95, TWICE, Spared::Nobody),
    DemandCase("twice the demand, few urgent", COSECHA, 10, 0.85, TWICE, Spared::Urgent),
    DemandCase("twice the demand at three hosts", COSECHA, 3, 0.85, TWICE, Spared::Nobody),
];

fn record_of(case: &DemandCase, factor: DemandFactor) -> Record {
    let DemandCase(_, kinds, hosts, load, ..) = *case;
    let mut record = Record::default();
    for seed in SEEDS {
        let herd_start = u64::MAX;
        run(&Scenario { hosts, kinds, load, factor, herd_start, seed }, &mut record);
    }
    record
}

/// Guards against less urgent requests, or a flooding organisation, taking capacity from others,
/// and against kinds that starve.
#[test]
fn short_capacity_goes_to_urgent_requests_and_to_all_organisations() {
    for case in DEMAND_CASES {
        let DemandCase(name, _, _, load, factor, spared) = case;
        let (record, usual) = (record_of(case, *factor), record_of(case, CALM));
        let kind = |record: &Record, priority| record.served(|_, other| other == priority);
        let kinds = [0, 1, 2].map(|priority| kind(&record, priority));
        let all = record.served(|_, _| true);
        let others = |record: &Record| record.served(|organisation, _| organisation != 0);
        println!("{name}: all {all:.3}, kinds {kinds:.3?}, others {:.3}", others(&record));
        for (priority, served) in kinds.iter().enumerate() {
            assert!(4.0 * served > all, "{name}: priority {priority} starves");
            for less_urgent in &kinds[priority..] {
                assert!(served + MAX_LOSS > *less_urgent, "{name}: priority {priority}");
            }
        }
        let (urgent_loss, others_loss) =
            (kind(&usual, 0) - kinds[0], others(&usual) - others(&record));
        assert!(*spared != Spared::Urgent || urgent_loss < MAX_LOSS, "{name}: {urgent_loss}");
        assert!(*spared != Spared::Others || others_loss < MAX_LOSS, "{name}: {others_loss}");
        assert!(*load > 0.7 || usual.refusals == 0, "{name}: refusals in calm times");
    }
}

/// From the users' rule: least ratio of the served fractions while one host gets most requests and otherwise.
const MIN_SERVED_RATIO: f64 = 0.75;

const HALF_AGAIN: DemandFactor = |at, _, _| hard(at, 1.5);

struct HerdCase(&'static str, &'static [StreamKind], f64, DemandFactor);

/// Name, kinds, base demand relative to the capacity and factor on it, for loads of which one host gets nine tenths.
const HERD_CASES: &[HerdCase] = &[
    HerdCase("calm", OFICINA, 0.7, CALM),
    HerdCase("wave", COSECHA, 0.95, WAVE),
    HerdCase("half as many again", OFICINA, 0.6, HALF_AGAIN),
    HerdCase("half as many again, little room", OFICINA, 0.85, HALF_AGAIN),
    HerdCase("half as many again, few urgent", COSECHA, 0.85, HALF_AGAIN),
];

/// The same with more than half as many requests again.
const LARGER_HERD_CASES: &[HerdCase] = &[
    HerdCase("burst of the least urgent", OFICINA, 0.85, BURST),
    HerdCase("burst with little room", OFICINA, 0.95, BURST),
    HerdCase("flood", OFICINA, 0.85, FLOOD),
    HerdCase("flood with little room", OFICINA, 0.95, FLOOD),
    HerdCase("flood, few urgent", COSECHA, 0.95, FLOOD),
    HerdCase("twice the demand", OFICINA, 0.85, TWICE),
    HerdCase("twice the demand, little room", OFICINA, 0.95, TWICE),
    HerdCase("twice the demand, few urgent", COSECHA, 0.85, TWICE),
];

/// Fails if the first attempts of a load are served less often in a herd than evenly.
fn check_herds(cases: &[HerdCase]) {
    let mut failures = Vec::new();
    for HerdCase(name, kinds, load, factor) in cases {
        for hosts in [6, 20, 72] {
            let served = [u64::MAX, 7000].map(|herd_start| {
                let mut record = Record::default();
                for seed in SEEDS {
                    let (load, factor) = (*load, *factor);
                    run(&Scenario { hosts, kinds, load, factor, herd_start, seed }, &mut record);
                }
                (record.served_first(), record.served(|_, _| true))
            });
            let [(before, all_before), (herd, all_herd)] = served;
            let line = format!(
                "{name}, {hosts} hosts: first attempts {before:.3} evenly, {herd:.3} in the herd; \
                 all {all_before:.3}, {all_herd:.3}"
            );
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a shortage that hosts with few requests do not see: they admit clients that return, and the
/// host that gets most requests refuses the more.
#[test]
fn a_host_that_gets_most_requests_admits_as_many_as_all_did() {
    check_herds(HERD_CASES);
}

/// Guards against the same while capacity is far too short.
#[test]
fn a_host_that_gets_most_requests_of_a_flood_admits_as_many_as_all_did() {
    check_herds(LARGER_HERD_CASES);
}

fn arrival(priority: u8, open: u32, draw: u32) -> PriorityArrival<'static> {
    PriorityArrival {
        priority,
        organisation: None,
        tokens: 300,
        latency_target: Duration::from_millis(500),
        remaining: Duration::from_secs(3),
        engine_wait: Some(EngineWait { pending_prefill_time: Duration::ZERO, open, slots: 12 }),
        loaded: true,
        returning: false,
        hash: u64::from(draw) << 32 | u64::from(draw),
    }
}

/// Returns the admission after three seconds of ten requests a second that would wait long.
fn short_admission() -> PriorityAdmission {
    let mut admission = PriorityAdmission::default();
    admission.record_run(Duration::from_secs(1));
    for at in (0..3000).step_by(100) {
        admission.decide(&arrival(u8::from(at % 200 == 0), 24, 0), ClockMillis::from_millis(at));
    }
    admission
}

/// Guards against a level that stays low after a burst.
#[test]
fn everything_is_admitted_two_seconds_after_a_shortage() {
    let mut admission = short_admission();
    assert!(admission.level() < 0.5, "the shortage has no effect");
    for at in (3000..5000).step_by(100) {
        admission.decide(&arrival(0, 2, 0), ClockMillis::from_millis(at));
    }
    assert!(admission.level() >= 1.0, "{}", admission.level());
    let decision = admission.decide(&arrival(1, 24, u32::MAX), ClockMillis::from_millis(5000));
    assert_eq!(decision, PriorityDecision::Admit);
}

/// A request in a shortage, and the range of its retry time in milliseconds, or `None` if it is
/// admitted.
struct RefusalCase(&'static str, PriorityArrival<'static>, Option<(u64, u64)>);

/// Guards against refusals by busy engines where the chosen one is free, and against retry times
/// beyond a third of the remaining time or all at one moment.
#[test]
fn refused_requests_get_spread_retry_times_within_a_third_of_their_time() {
    let busy = arrival(1, 24, u32::MAX);
    let low_spread = PriorityArrival { hash: u64::from(u32::MAX) << 32, ..busy };
    let little_time = PriorityArrival { remaining: Duration::from_millis(300), ..busy };
    let (room, cold) = (arrival(1, 11, u32::MAX), PriorityArrival { loaded: false, ..busy });
    let cases = [
        RefusalCase("high hash", busy, Some((990, 1000))),
        RefusalCase("low spread", low_spread, Some((660, 670))),
        RefusalCase("little time left", little_time, Some((90, 100))),
        RefusalCase("free engine", room, None),
        RefusalCase("within the minimum", arrival(1, 24, 0), None),
        RefusalCase("adapter not loaded, all engines busy", cold, Some((900, 1000))),
        RefusalCase("not loaded, one free", PriorityArrival { loaded: false, ..room }, None),
    ];
    for RefusalCase(name, arrival, expected) in cases {
        let decision = short_admission().decide(&arrival, ClockMillis::from_millis(3000));
        let retry_after = match decision {
            PriorityDecision::Admit => None,
            PriorityDecision::Refuse { cause, retry_after } => {
                assert_eq!(cause, PriorityCause::PriorityLevel, "{name}");
                Some(duration_millis(retry_after))
            }
        };
        let within =
            |(from, to): (u64, u64)| retry_after.is_some_and(|at| (from..=to).contains(&at));
        assert!(expected.map_or(retry_after.is_none(), within), "{name}: {retry_after:?}");
    }
}

/// Requests of 100 tokens by organisation, the fraction that engines answer in time, and the
/// admitted fractions of the first and of the last organisation.
struct ShareCase(&'static str, &'static [u64], f64, (f64, f64));

const SHARE_CASES: &[ShareCase] = &[
    ShareCase("no shortage", &[600, 10], 1.0, (1.0, 1.0)),
    ShareCase("equal ones leave the order to priorities", &[50, 50, 50, 50], 0.8, (0.8, 0.8)),
    ShareCase("a flood gets 1.25 shares", &[300, 50, 50, 50], 20.0 / 45.0, (0.1961, 0.9412)),
    ShareCase("unused shares are lent", &[300, 10, 10, 10], 23.0 / 33.0, (0.6845, 0.8214)),
    ShareCase("a single organisation", &[50], 0.5, (0.5, 0.5)),
];

/// Guards against refusals of organisations within their shares, and against capacity that is held
/// for organisations that do not want it.
#[test]
fn capacity_is_shared_between_organisations() {
    for ShareCase(name, requested, fraction, expected) in SHARE_CASES {
        let (mut shares, now) = (FairShares::default(), ClockMillis::from_millis(1));
        let names: Vec<OrganisationName> =
            (0..requested.len()).map(|index| Arc::from(format!("o{index}"))).collect();
        for (organisation, requests) in names.iter().zip(*requested) {
            (0..*requests).for_each(|_| shares.record(organisation, 100, now));
        }
        shares.update(*fraction, now);
        let own = |name: Option<&OrganisationName>| shares.fraction(name, now).own;
        let (first, last) = (own(names.first()), own(names.last()));
        let error = (first - expected.0).abs().max((last - expected.1).abs());
        assert!(error < 0.001, "{name}: {first} and {last}");
    }
}

/// Guards against a flood whose refusals are reported as those of less urgent requests.
#[test]
fn a_request_above_its_share_is_refused_for_it() {
    let mut admission = PriorityAdmission::default();
    admission.record_run(Duration::from_secs(1));
    let (flooding, other) = (Arc::from("flooding"), Arc::from("other"));
    let request = |organisation, draw| PriorityArrival {
        organisation: Some(organisation),
        ..arrival(0, 24, draw)
    };
    for at in (0..600).step_by(10) {
        let organisation = if at % 100 == 0 { &other } else { &flooding };
        admission.decide(&request(organisation, 0), ClockMillis::from_millis(at));
    }
    let now = ClockMillis::from_millis(600);
    let draw = u32::MAX / 2;
    assert!(matches!(
        admission.decide(&request(&flooding, draw), now),
        PriorityDecision::Refuse { cause: PriorityCause::FairShare, .. }
    ));
    assert_eq!(admission.decide(&request(&other, draw), now), PriorityDecision::Admit);
}

/// Guards against weights that let urgent requests displace any number of others.
#[test]
fn weights_decrease_to_a_quarter() {
    let weights: Vec<f64> = (0..=u8::MAX).map(priority_weight).collect();
    assert!(weights.is_sorted_by(|one, next| one >= next));
    assert!(weights[0] >= 1.0 && weights[0] > weights[1] && weights[1] > weights[2]);
    assert!(weights.iter().all(|weight| *weight >= 0.25));
}
