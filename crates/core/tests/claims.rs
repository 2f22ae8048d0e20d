//! Claims of idempotency keys: the fold over the log and one host's own book.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    claim::{ClaimBook, ClaimItem, ClaimRecord, ClaimTable, ClaimVerdict, DecidedClaim},
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

/// Keys and requests.
type Pairs = &'static [(u128, u128)];

struct FoldCase {
    name: &'static str,
    /// When each record was written, what it claims and what it releases.
    records: &'static [(u64, Pairs, Pairs)],
    /// For each claim in order: the request that claimed and the one that holds the key.
    decided: &'static [(u128, u128)],
}

const FOLDS: &[FoldCase] = &[
    FoldCase {
        name: "the first claim wins",
        records: &[(0, &[(7, 1)], &[]), (1, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 1)],
    },
    FoldCase {
        name: "a doubled append changes nothing",
        records: &[(0, &[(7, 1)], &[]), (1, &[(7, 1)], &[])],
        decided: &[(1, 1), (1, 1)],
    },
    FoldCase {
        name: "a released key can be claimed again",
        records: &[(0, &[(7, 1)], &[]), (1, &[], &[(7, 1)]), (2, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 2)],
    },
    FoldCase {
        name: "only the holder releases",
        records: &[(0, &[(7, 1)], &[]), (1, &[], &[(7, 2)]), (2, &[(7, 3)], &[])],
        decided: &[(1, 1), (3, 1)],
    },
    FoldCase {
        name: "an append that comes after its release does not revive the claim",
        records: &[
            (0, &[(7, 1)], &[]),
            (1, &[], &[(7, 1)]),
            (2, &[(7, 1)], &[]),
            (3, &[(7, 2)], &[]),
        ],
        decided: &[(1, 1), (1, 1), (2, 2)],
    },
    FoldCase {
        name: "a key is forgotten after its window",
        records: &[(0, &[(7, 1)], &[]), (WINDOW + 1, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 2)],
    },
    FoldCase {
        name: "a claim that loses keeps the key remembered",
        records: &[(0, &[(7, 1)], &[]), (WINDOW, &[(7, 2)], &[]), (WINDOW + 9, &[(7, 3)], &[])],
        decided: &[(1, 1), (2, 1), (3, 1)],
    },
    FoldCase {
        name: "a key is remembered within its window",
        records: &[(0, &[(7, 1)], &[]), (WINDOW, &[(7, 2)], &[])],
        decided: &[(1, 1), (2, 1)],
    },
];

#[test]
fn the_log_decides_alike_for_everybody() {
    for case in FOLDS {
        let mut fold = ClaimTable::default();
        let mut decided = Vec::new();
        for (offset, (written, claims, releases)) in (0..).zip(case.records) {
            let record = log_record(offset, *written, claims, releases);
            decided.extend(fold.fold(&record, WINDOW));
            assert!(fold.fold(&record, WINDOW).is_empty(), "{}: folded twice", case.name);
        }
        let decided: Vec<(u128, u128)> =
            decided.iter().map(|claim| (claim.request, claim.holder)).collect();
        assert_eq!(decided, case.decided, "{}", case.name);
    }
}

fn now(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

/// Appends what waits and folds it at once; returns the verdicts.
fn append(book: &mut ClaimBook, fold: &mut ClaimTable, at: u64) -> Vec<ClaimVerdict> {
    let Some((ticket, record)) = book.next_append(now(at)) else { return Vec::new() };
    let payload = record.to_json();
    let record = LogRecord { offset: fold.next_offset(), written_millis: at, payload };
    book.append_ended(ticket, false);
    let decided = fold.fold(&record, WINDOW);
    decided.into_iter().filter_map(|claim| book.decided(claim, WINDOW)).collect()
}

#[test]
fn many_claims_go_into_one_append() {
    let mut book = ClaimBook::new(Duration::from_millis(100));
    let mut fold = ClaimTable::default();
    for request in 0..40 {
        book.enter(request, request + 1000, None);
    }
    assert_eq!(append(&mut book, &mut fold, 1).len(), 40);
    assert_eq!(fold.next_offset(), 1);
    book.enter(99, 5, None);
    assert!(append(&mut book, &mut fold, 50).is_empty(), "not before the interval ends");
    assert_eq!(append(&mut book, &mut fold, 101), [ClaimVerdict::Won(99)]);
}

#[test]
fn a_lost_answer_is_settled_by_the_log_and_never_appended_again() {
    let mut book = ClaimBook::new(Duration::ZERO);
    let mut fold = ClaimTable::default();
    book.enter(1, 7, None);
    let (ticket, record) = book.next_append(now(1)).expect("a claim waits");
    book.append_ended(ticket, false);
    assert!(book.next_append(now(500)).is_none(), "the claim is not appended again");
    let record = LogRecord { offset: 0, written_millis: 1, payload: record.to_json() };
    let verdicts: Vec<ClaimVerdict> = fold
        .fold(&record, WINDOW)
        .into_iter()
        .filter_map(|claim| book.decided(claim, WINDOW))
        .collect();
    assert_eq!(verdicts, [ClaimVerdict::Won(1)]);
}

#[test]
fn a_refused_append_is_tried_again() {
    let mut book = ClaimBook::new(Duration::ZERO);
    book.enter(1, 7, None);
    let (ticket, _) = book.next_append(now(1)).expect("a claim waits");
    book.append_ended(ticket, true);
    let (again, record) = book.next_append(now(2)).expect("it waits again");
    assert!(again > ticket);
    assert_eq!(record.claims, [ClaimItem::new(7, 1)]);
}

#[test]
fn a_claim_given_up_before_it_shows_up_is_released_when_it_does() {
    let mut book = ClaimBook::new(Duration::ZERO);
    let mut fold = ClaimTable::default();
    book.enter(1, 7, None);
    let (ticket, record) = book.next_append(now(1)).expect("a claim waits");
    book.append_ended(ticket, false);
    book.give_up(1);
    let record = LogRecord { offset: 0, written_millis: 1, payload: record.to_json() };
    for claim in fold.fold(&record, WINDOW) {
        assert_eq!(book.decided(claim, WINDOW), None, "given up is never won");
    }
    assert!(append(&mut book, &mut fold, 2).is_empty());
    book.enter(2, 7, None);
    assert_eq!(append(&mut book, &mut fold, 3), [ClaimVerdict::Won(2)]);
}

#[test]
fn a_key_older_than_keys_are_remembered_is_refused() {
    let mut book = ClaimBook::new(Duration::ZERO);
    let mut fold = ClaimTable::default();
    book.enter(1, 7, Some(10));
    book.enter(2, 8, Some(1_500));
    let verdicts = append(&mut book, &mut fold, 2_000);
    assert_eq!(verdicts, [ClaimVerdict::Expired(1), ClaimVerdict::Won(2)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0xc1a1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A reader that begins late, and missed only what has expired, lets nobody win whom the
    /// others refuse. It may refuse more: a claim that lost looks to it like the first.
    #[test]
    fn a_late_reader_lets_nobody_win_whom_others_refuse(
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
        let all: Vec<_> = log.iter().map(|record| early.fold(record, WINDOW)).collect();
        let cut = log.iter().position(|record| record.written_millis > WINDOW);
        let Some(cut) = cut else { return Ok(()) };
        let begin = log[cut].written_millis - WINDOW;
        let first = log.iter().position(|record| record.written_millis >= begin).unwrap_or(0);
        let mut late = ClaimTable::default();
        let seen: Vec<_> = log[first..].iter().map(|record| late.fold(record, WINDOW)).collect();
        for (early, late) in all[cut..].iter().flatten().zip(seen[cut - first..].iter().flatten()) {
            let won = |claim: &DecidedClaim| claim.holder == claim.request;
            prop_assert!(!won(late) || won(early), "{late:?} against {early:?}");
        }
    }
}
