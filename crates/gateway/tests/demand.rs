//! What a host tells a placer of its work at engines: what changed, what ended, and again after a while.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::{ClockMillis, fleet::work::EngineWork, placement::WorkBook};
use reelreel_gateway::demand::DemandCollector;

/// The work at one engine at one moment, and how many lines are told of it.
struct TellingStep {
    name: &'static str,
    /// The time. Unit: milliseconds.
    at: u64,
    /// Requests by adapter; none where nothing was counted since the last step.
    runs: Option<&'static [(&'static str, u32)]>,
    /// Whether a new placer is told.
    again: bool,
    told_engines: usize,
    told_runs: usize,
}

const STEPS: &[TellingStep] = &[
    TellingStep {
        name: "two adapters",
        at: 1010,
        runs: Some(&[("m/a", 2), ("m/b", 1)]),
        again: false,
        told_engines: 1,
        told_runs: 2,
    },
    TellingStep {
        name: "nothing new",
        at: 1060,
        runs: None,
        again: false,
        told_engines: 0,
        told_runs: 0,
    },
    TellingStep {
        name: "one ended, one came",
        at: 1110,
        runs: Some(&[("m/a", 2), ("m/c", 1)]),
        again: false,
        told_engines: 0,
        told_runs: 2,
    },
    TellingStep {
        name: "a new placer",
        at: 1160,
        runs: None,
        again: true,
        told_engines: 1,
        told_runs: 2,
    },
    TellingStep {
        name: "renewed",
        at: 2020,
        runs: None,
        again: false,
        told_engines: 1,
        told_runs: 2,
    },
    TellingStep {
        name: "another one comes shortly before the rest is due again",
        at: 2900,
        runs: Some(&[("m/a", 2), ("m/c", 1), ("m/b", 1)]),
        again: false,
        told_engines: 1,
        told_runs: 1,
    },
    TellingStep {
        name: "all of it once more",
        at: 3030,
        runs: Some(&[("m/a", 2), ("m/c", 1)]),
        again: false,
        told_engines: 1,
        told_runs: 3,
    },
    TellingStep {
        name: "all ended",
        at: 3100,
        runs: Some(&[]),
        again: false,
        told_engines: 1,
        told_runs: 2,
    },
    TellingStep {
        name: "nothing to renew",
        at: 9000,
        runs: None,
        again: false,
        told_engines: 0,
        told_runs: 0,
    },
];

#[test]
fn a_placer_hears_of_every_change_and_sums_up_what_holds() {
    let (service, engine) = (Arc::from("assist"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let mut book = WorkBook::default();
    let mut holding: BTreeMap<&str, u32> = BTreeMap::new();
    for step in STEPS {
        let now = ClockMillis::from_millis(step.at);
        if let Some(runs) = step.runs {
            holding = runs.iter().copied().collect();
            let open = holding.values().sum();
            let runs = holding.iter().map(|(key, open)| (Arc::from(*key), *open)).collect();
            collector.engine_work(
                &service,
                &engine,
                EngineWork { open, pending_prefill_tokens: 0 },
                runs,
            );
        }
        if step.again {
            collector.tell_again(&service);
        }
        let told = collector.drain(now).remove(&service).unwrap_or_default();
        assert_eq!(told.work.engines.len(), step.told_engines, "{}: engines", step.name);
        assert_eq!(told.work.runs.len(), step.told_runs, "{}: runs", step.name);
        book.note(&Arc::from("host"), &told.work, now);
        book.forget_old(now);
        for key in ["m/a", "m/b", "m/c"] {
            let expected = holding.get(key).copied().unwrap_or_default();
            assert_eq!(book.runs(&engine, key), expected, "{}: {key}", step.name);
        }
    }
}

#[test]
fn an_engine_that_is_listed_no_more_is_not_renewed() {
    let (service, engine) = (Arc::from("assist"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let runs = BTreeMap::from([(Arc::from("m/a"), 1)]);
    collector.engine_work(
        &service,
        &engine,
        EngineWork { open: 1, pending_prefill_tokens: 5 },
        runs,
    );
    assert_eq!(collector.drain(ClockMillis::from_millis(10)).len(), 1);
    collector.forget_engine(&engine);
    assert!(collector.drain(ClockMillis::from_millis(5000)).is_empty());
}

#[test]
fn a_host_that_falls_silent_counts_no_more() {
    let (host, engine) = (Arc::from("host"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let runs = BTreeMap::from([(Arc::from("m/a"), 3)]);
    let service = Arc::from("assist");
    collector.engine_work(
        &service,
        &engine,
        EngineWork { open: 3, pending_prefill_tokens: 900 },
        runs,
    );
    let told = collector.drain(ClockMillis::from_millis(10)).remove(&service).expect("told");
    let mut book = WorkBook::default();
    book.note(&host, &told.work, ClockMillis::from_millis(10));
    assert_eq!(book.total(&engine), EngineWork { open: 3, pending_prefill_tokens: 900 });
    book.forget_old(ClockMillis::from_millis(4000));
    assert_eq!(book.total(&engine), EngineWork::default());
    assert_eq!(book.runs(&engine, "m/a"), 0);
}
