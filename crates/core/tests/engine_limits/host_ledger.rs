//! The exchange between a host and the ledger, in particular on engines that only one of them knows as limited.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineName,
        announcement::Declared,
        limits::{
            ledger::LimitLedger,
            limit::{LimitDeclaration, RequestLimit},
            share::{LimitShare, PermitUse},
        },
    },
};

/// The interval of the host's updates and the ledger's grants.
const TICK: Duration = Duration::from_millis(50);

/// When the ledger's host lists the engine.
const LISTED_AFTER_MS: u64 = 2000;

#[test]
fn a_ledger_that_lists_the_engine_late_grants_permits_from_then_on() {
    let (engine, host): (EngineName, Arc<str>) = (Arc::from("e1"), Arc::from("h1"));
    let (mut share, mut ledger) = (LimitShare::default(), LimitLedger::default());
    let start = ClockMillis::from_millis(1000);
    let limit = Declared::Present(RequestLimit::new(4.0).expect("a limit"));
    share.receive_declaration(
        &engine,
        7,
        LimitDeclaration { limit, requested_at: start, absence_is_conclusive: true },
        start,
    );
    share.begin_wait(&engine, PermitUse::Waiting);
    let mut first_permit = None;
    for tick in 0..100u32 {
        let now = start + TICK * tick;
        share.record_ledger_frame(now);
        let update = share.take_pending(now);
        for report in &update.reports {
            ledger.receive(report, now);
        }
        for (engine, demand) in &update.demands {
            ledger.receive_demand(&host, engine, demand, now);
        }
        let is_listed = now >= start + Duration::from_millis(LISTED_AFTER_MS);
        ledger.retain(|_| is_listed.then_some(7), now);
        for report in ledger.take_changes(now) {
            share.receive(&report, now);
        }
        let grants = ledger.grant_permits(now).remove(&host).unwrap_or_default();
        share.receive_grants(&grants, now);
        if share.take(&engine, PermitUse::Waiting, now) {
            first_permit.get_or_insert(now.since(start));
        }
    }
    let first_permit = first_permit.expect("a permit");
    // One permit takes 250 ms at this rate, and the host's next demand and the ledger's reply come before it.
    assert!(
        first_permit <= Duration::from_millis(LISTED_AFTER_MS + 1000),
        "first permit after {first_permit:?}"
    );
}

#[test]
fn a_host_that_subscribes_during_recovery_learns_of_it() {
    let engine: EngineName = Arc::from("e1");
    let (mut share, mut ledger) = (LimitShare::default(), LimitLedger::default());
    let at = ClockMillis::from_millis;
    let declared = Declared::Present(RequestLimit::new(4.0).expect("a limit"));
    share.receive_declaration(
        &engine,
        7,
        LimitDeclaration { limit: declared, requested_at: at(900), absence_is_conclusive: true },
        at(1000),
    );
    let absent = LimitDeclaration {
        limit: Declared::Absent,
        requested_at: at(1200),
        absence_is_conclusive: true,
    };
    share.receive_declaration(&engine, 7, absent, at(1210));
    assert!(!share.declares_limit(&engine));
    // The transit time of the reports is not part of the reported ages.
    for report in share.take_pending(at(1210)).reports {
        ledger.receive(&report, at(1240));
    }
    let mut new_subscriber = LimitShare::default();
    for report in ledger.snapshot(at(1300)) {
        share.receive(&report, at(1330));
        new_subscriber.receive(&report, at(1330));
    }
    for (name, share) in
        [("a host that received the end", &share), ("a new subscriber", &new_subscriber)]
    {
        assert!(share.is_limited(&engine), "{name} needs permits until the limit is lifted");
        assert!(!share.declares_limit(&engine), "{name} knows that the engine declares no limit");
    }
    // Another ledger learns from their reports that the engine recovers, and continues from there.
    let mut next_ledger = LimitLedger::default();
    new_subscriber.resend_all();
    for report in new_subscriber.take_pending(at(1400)).reports {
        next_ledger.receive(&report, at(1430));
    }
    let mut seconds = 0u64;
    while next_ledger
        .take_changes(at(1430 + seconds * 1000))
        .iter()
        .all(|report| !report.is_lifted())
    {
        for tick in 0..20 {
            next_ledger.grant_permits(at(1430 + seconds * 1000 + tick * 50));
        }
        seconds += 1;
        assert!(seconds < 10, "the next ledger lifts the limit");
    }
}

#[test]
fn an_unconfirmed_ledger_reports_the_longer_wait() {
    let (engine, host): (EngineName, Arc<str>) = (Arc::from("e1"), Arc::from("h1"));
    let start = ClockMillis::from_millis(1000);
    let limit = Declared::Present(RequestLimit::new(2.0).expect("a limit"));
    for (confirmed, expected) in [(true, 500), (false, 1000)] {
        let (mut share, mut ledger) = (LimitShare::default(), LimitLedger::default());
        ledger.set_confirmed(confirmed);
        share.receive_declaration(
            &engine,
            7,
            LimitDeclaration { limit, requested_at: start, absence_is_conclusive: true },
            start,
        );
        share.begin_wait(&engine, PermitUse::Waiting);
        let update = share.take_pending(start);
        ledger.receive(&update.reports[0], start);
        ledger.receive_demand(&host, &engine, &update.demands[0].1, start);
        assert_eq!(ledger.next_due(start), Some(start + Duration::from_millis(expected)));
        let grants = ledger.grant_permits(start).remove(&host).expect("a grant with the wait");
        assert_eq!(grants[0].wait, Some(Duration::from_millis(expected)), "confirmed: {confirmed}");
    }
}
