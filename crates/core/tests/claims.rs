//! Claims of idempotency keys: the claim table and the tracker of a host's own claims.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    claim::{ClaimItem, ClaimRecord, ClaimTable, ClaimTracker, ClaimVerdict, DecidedClaim},
    settings::fold::LogRecord,
};

const WINDOW: u64 = 1_000;

fn log_record(
    offset: u64,
    written_millis: u64,
    claims: &[(u128, u128)],
    releases: &[(u128, u128)],
) -> LogRecord {
    let items = |pairs: &[(u128, u128)]| {
        pairs.iter().map(|(key, request)| ClaimItem::new(*key, *request)).collect()
    };
    let payload = ClaimRecord::new(items(claims), items(releases)).to_json();
    LogRecord { offset, written_millis, payload }
}

/// Pairs of a key and a request.
type Pairs = &'static [(u128, u128)];

struct ClaimTableCase {
    name: &'static str,
    /// The time, claims and releases of each record.
    records: &'static [(u64, Pairs, Pairs)],
    /// For each claim in order: the claiming request and the request that holds the key.
    decided: &'static [(u128, u128)],
}

const CLAIM_TABLE_CASES: &[ClaimTableCase] = &[
    ClaimTableCase {
        name: "the first claim wins",
        records: &[(0, &[(7, 1)], &[]), (1, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 1)],
    },
    ClaimTableCase {
        name: "a duplicate append changes nothing",
        records: &[(0, &[(7, 1)], &[]), (1, &[(7, 1)], &[])],
        decided: &[(1, 1), (1, 1)],
    },
    ClaimTableCase {
        name: "a released key can be claimed again",
        records: &[(0, &[(7, 1)], &[]), (1, &[], &[(7, 1)]), (2, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 2)],
    },
    ClaimTableCase {
        name: "only the holder can release a claim",
        records: &[(0, &[(7, 1)], &[]), (1, &[], &[(7, 2)]), (2, &[(7, 3)], &[])],
        decided: &[(1, 1), (3, 1)],
    },
    ClaimTableCase {
        name: "an append after its release does not restore the claim",
        records: &[
            (0, &[(7, 1)], &[]),
            (1, &[], &[(7, 1)]),
            (2, &[(7, 1)], &[]),
            (3, &[(7, 2)], &[]),
        ],
        decided: &[(1, 1), (1, 1), (2, 2)],
    },
    ClaimTableCase {
        name: "a key expires after the window",
        records: &[(0, &[(7, 1)], &[]), (WINDOW + 1, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 2)],
    },
    ClaimTableCase {
        name: "a lost claim extends the lifetime of the key",
        records: &[(0, &[(7, 1)], &[]), (WINDOW, &[(7, 2)], &[]), (WINDOW + 9, &[(7, 3)], &[])],
        decided: &[(1, 1), (2, 1), (3, 1)],
    },
    ClaimTableCase {
        name: "a key is kept within the window",
        records: &[(0, &[(7, 1)], &[]), (WINDOW, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 1)],
    },
];

#[test]
fn claims_are_decided_by_log_order() {
    for case in CLAIM_TABLE_CASES {
        let mut table = ClaimTable::default();
        let mut decided = Vec::new();
        for (offset, (written, claims, releases)) in (0..).zip(case.records) {
            let record = log_record(offset, *written, claims, releases);
            decided.extend(table.apply(&record, WINDOW));
            assert!(table.apply(&record, WINDOW).is_empty(), "{}: applied twice", case.name);
        }
        let decided: Vec<(u128, u128)> =
            decided.iter().map(|claim| (claim.request, claim.holder)).collect();
        assert_eq!(decided, case.decided, "{}", case.name);
    }
}

fn now(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

/// Appends the pending claims and applies the record at once; returns the verdicts.
fn append(tracker: &mut ClaimTracker, table: &mut ClaimTable, at: u64) -> Vec<ClaimVerdict> {
    let Some((ticket, record)) = tracker.next_append(now(at)) else { return Vec::new() };
    let payload = record.to_json();
    let record = LogRecord { offset: table.next_offset(), written_millis: at, payload };
    tracker.append_ended(ticket, false);
    let decided = table.apply(&record, WINDOW);
    decided.into_iter().filter_map(|claim| tracker.apply_decision(claim, WINDOW)).collect()
}

#[test]
fn pending_claims_are_batched_into_one_append() {
    let mut tracker = ClaimTracker::new(Duration::from_millis(100));
    let mut table = ClaimTable::default();
    for request in 0..40 {
        tracker.track(request, request + 1000, None);
    }
    assert_eq!(append(&mut tracker, &mut table, 1).len(), 40);
    assert_eq!(table.next_offset(), 1);
    tracker.track(99, 5, None);
    assert!(append(&mut tracker, &mut table, 50).is_empty(), "no append before the interval ends");
    assert_eq!(append(&mut tracker, &mut table, 101), [ClaimVerdict::Won(99)]);
}

#[test]
fn a_lost_append_answer_is_resolved_from_the_log_without_a_retry() {
    let mut tracker = ClaimTracker::new(Duration::ZERO);
    let mut table = ClaimTable::default();
    tracker.track(1, 7, None);
    let (ticket, record) = tracker.next_append(now(1)).expect("a claim is pending");
    tracker.append_ended(ticket, false);
    assert!(tracker.next_append(now(500)).is_none(), "the claim is not appended again");
    let record = LogRecord { offset: 0, written_millis: 1, payload: record.to_json() };
    let verdicts: Vec<ClaimVerdict> = table
        .apply(&record, WINDOW)
        .into_iter()
        .filter_map(|claim| tracker.apply_decision(claim, WINDOW))
        .collect();
    assert_eq!(verdicts, [ClaimVerdict::Won(1)]);
}

#[test]
fn a_refused_append_is_retried() {
    let mut tracker = ClaimTracker::new(Duration::ZERO);
    tracker.track(1, 7, None);
    let (ticket, _) = tracker.next_append(now(1)).expect("a claim is pending");
    tracker.append_ended(ticket, true);
    let (again, record) = tracker.next_append(now(2)).expect("the claim is pending again");
    assert!(again > ticket);
    assert_eq!(record.claims, [ClaimItem::new(7, 1)]);
}

#[test]
fn a_claim_abandoned_in_flight_is_released_once_it_is_logged() {
    let mut tracker = ClaimTracker::new(Duration::ZERO);
    let mut table = ClaimTable::default();
    tracker.track(1, 7, None);
    let (ticket, record) = tracker.next_append(now(1)).expect("a claim is pending");
    tracker.append_ended(ticket, false);
    tracker.abandon(1);
    let record = LogRecord { offset: 0, written_millis: 1, payload: record.to_json() };
    for claim in table.apply(&record, WINDOW) {
        assert_eq!(tracker.apply_decision(claim, WINDOW), None, "an abandoned claim is never won");
    }
    assert!(append(&mut tracker, &mut table, 2).is_empty());
    tracker.track(2, 7, None);
    assert_eq!(append(&mut tracker, &mut table, 3), [ClaimVerdict::Won(2)]);
}

#[test]
fn a_key_older_than_the_claim_window_is_expired() {
    let mut tracker = ClaimTracker::new(Duration::ZERO);
    let mut table = ClaimTable::default();
    tracker.track(1, 7, Some(10));
    tracker.track(2, 8, Some(1_500));
    let verdicts = append(&mut tracker, &mut table, 2_000);
    assert_eq!(verdicts, [ClaimVerdict::Expired(1), ClaimVerdict::Won(2)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0xc1a1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A reader that missed only expired records never decides for a claim that lost elsewhere. It
    /// may refuse more claims, since it takes the first claim it reads as the holder.
    #[test]
    fn a_late_reader_grants_no_claim_that_others_refuse(
        records in prop::collection::vec((0..300u64, 0..6u128, 0..2u8), 1..60),
    ) {
        let mut written = 0;
        let mut log = Vec::new();
        for (offset, (pause, key, release)) in (0u64..).zip(&records) {
            written += pause;
            let request = u128::from(offset) + 100;
            let pair = [(*key, request)];
            let record = if *release == 0 {
                log_record(offset, written, &pair, &[])
            } else {
                log_record(offset, written, &pair, &pair)
            };
            log.push(record);
        }
        let mut early = ClaimTable::default();
        let early_decisions: Vec<_> = log.iter().map(|record| early.apply(record, WINDOW)).collect();
        let cut = log.iter().position(|record| record.written_millis > WINDOW);
        let Some(cut) = cut else { return Ok(()) };
        let begin = log[cut].written_millis - WINDOW;
        let first = log.iter().position(|record| record.written_millis >= begin).unwrap_or(0);
        let mut late = ClaimTable::default();
        let late_decisions: Vec<_> = log[first..].iter().map(|record| late.apply(record, WINDOW)).collect();
        for (early, late) in early_decisions[cut..].iter().flatten().zip(late_decisions[cut - first..].iter().flatten()) {
            let won = |claim: &DecidedClaim| claim.holder == claim.request;
            prop_assert!(!won(late) || won(early), "late: {late:?}, early: {early:?}");
        }
    }
}
