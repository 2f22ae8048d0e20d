//! Workloads on the quota of one organisation, and the operator's bound.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    organisation::{OrganisationName, quota::QuotaTolerance},
};

pub(crate) const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(8), overage: 0.1, extra: 11_000.0 };

/// The cost of one request. Unit: tokens.
pub(crate) const REQUEST_COST: u64 = 1500;

/// How long a host that is partitioned from all others goes on serving keys.
pub(crate) const PARTITION_GRACE_MS: u64 = 5000;

pub(crate) const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis + 1)
}

pub(crate) fn name() -> OrganisationName {
    Arc::from("north")
}

/// How demand is spread over the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    Even,
    /// A tenth of the hosts has nine tenths of the demand.
    Uneven,
    /// Uneven, on other hosts every three seconds.
    Moving,
}

/// A workload on a quota.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) hosts: usize,
    /// The rate of the limit. Unit: tokens per second.
    pub(crate) rate: f64,
    /// The demand as a fraction of the rate, each from a time on. Unit of time: milliseconds.
    pub(crate) demand: &'static [(u64, f64)],
    pub(crate) spread: Spread,
    /// From when until when a third of the hosts is partitioned from all others.
    pub(crate) partition: Option<(u64, u64)>,
    /// How long after the partition the ledger's host notices it. Unit: milliseconds.
    pub(crate) silence_noticed_after: u64,
    /// From when until when there is no ledger.
    pub(crate) ledger_lost: Option<(u64, u64)>,
    /// Whether another host takes over the ledger every two seconds, without its state.
    pub(crate) ledger_moves_often: bool,
    /// When all hosts and the ledger restart without state.
    pub(crate) restart_times: &'static [u64],
    /// When the limit is halved.
    pub(crate) halved: Option<u64>,
    /// The largest fraction of the quota that may be rejected.
    pub(crate) max_refused: f64,
}

pub(crate) const BASELINE: Scenario = Scenario {
    name: "even, half of the limit",
    hosts: 72,
    rate: 230_000.0,
    demand: &[(0, 0.55)],
    spread: Spread::Even,
    partition: None,
    silence_noticed_after: 0,
    ledger_lost: None,
    ledger_moves_often: false,
    restart_times: &[],
    halved: None,
    max_refused: 0.005,
};

pub(crate) const SCENARIOS: &[Scenario] = &[
    BASELINE,
    Scenario { name: "uneven", spread: Spread::Uneven, ..BASELINE },
    Scenario { name: "moving", spread: Spread::Moving, ..BASELINE },
    Scenario { name: "near the limit", demand: &[(0, 0.95)], max_refused: 0.03, ..BASELINE },
    Scenario {
        name: "small and uneven",
        rate: 2700.0,
        spread: Spread::Uneven,
        max_refused: 0.04,
        ..BASELINE
    },
    Scenario {
        name: "six times the usual load at once",
        demand: &[(0, 0.55), (5000, 3.3), (13_000, 0.55)],
        max_refused: 0.08,
        ..BASELINE
    },
    Scenario {
        name: "six times the usual load, uneven and moving",
        demand: &[(0, 0.55), (5000, 3.3), (13_000, 0.55)],
        spread: Spread::Moving,
        max_refused: 0.12,
        ..BASELINE
    },
    Scenario {
        name: "six times the usual load on a small quota",
        rate: 2700.0,
        demand: &[(0, 0.55), (5000, 3.3), (13_000, 0.55)],
        max_refused: 0.12,
        ..BASELINE
    },
    Scenario {
        name: "a hall partitioned",
        partition: Some((6000, 13_000)),
        max_refused: 0.05,
        ..BASELINE
    },
    Scenario {
        name: "six times the usual load, then a hall partitioned",
        demand: &[(0, 0.55), (5000, 3.3)],
        partition: Some((7000, 14_000)),
        max_refused: 0.15,
        ..BASELINE
    },
    Scenario {
        name: "a hall partitioned, then six times the usual load",
        demand: &[(0, 0.55), (7500, 3.3)],
        partition: Some((7000, 14_000)),
        max_refused: 0.15,
        ..BASELINE
    },
    Scenario {
        name: "the ledger is lost",
        spread: Spread::Uneven,
        ledger_lost: Some((6000, 9000)),
        max_refused: 0.08,
        ..BASELINE
    },
    Scenario {
        name: "the ledger is lost under six times the usual load",
        demand: &[(0, 0.55), (5000, 3.3)],
        ledger_lost: Some((7000, 10_000)),
        max_refused: 0.2,
        ..BASELINE
    },
    Scenario { name: "the ledger moves", ledger_moves_often: true, max_refused: 0.05, ..BASELINE },
    Scenario {
        name: "the ledger moves under six times the usual load",
        demand: &[(0, 3.3)],
        ledger_moves_often: true,
        max_refused: 0.25,
        ..BASELINE
    },
    Scenario {
        name: "370 hosts",
        hosts: 370,
        spread: Spread::Uneven,
        max_refused: 0.01,
        ..BASELINE
    },
    Scenario { name: "the limit is halved", halved: Some(9000), max_refused: 0.08, ..BASELINE },
];

/// Workloads during restarts.
pub(crate) const RESTART_SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "all killed under six times the usual load",
        demand: &[(0, 0.55), (5000, 3.3)],
        restart_times: &[7000],
        ledger_lost: Some((7000, 8500)),
        max_refused: 0.15,
        ..BASELINE
    },
    Scenario {
        name: "all killed three times under six times the usual load",
        demand: &[(0, 0.55), (5000, 3.3)],
        restart_times: &[7000, 9500, 12_000],
        max_refused: 0.15,
        ..BASELINE
    },
    Scenario {
        name: "all killed near the limit",
        demand: &[(0, 0.95)],
        restart_times: &[7000],
        ledger_lost: Some((7000, 8500)),
        max_refused: 0.15,
        ..BASELINE
    },
];

/// Workloads with a partitioned hall, which the ledger's host notices seconds later by its connections.
pub(crate) const SILENT_SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "six times the usual load, then a hall partitioned, noticed after 3 s",
        demand: &[(0, 0.55), (5000, 3.3)],
        partition: Some((7000, 14_000)),
        silence_noticed_after: 3000,
        max_refused: 0.16,
        ..BASELINE
    },
    Scenario {
        name: "six times the usual load, then a hall partitioned, not noticed",
        demand: &[(0, 0.55), (5000, 3.3)],
        partition: Some((9000, 14_000)),
        silence_noticed_after: 5000,
        max_refused: 0.15,
        ..BASELINE
    },
    Scenario {
        name: "eight times the usual load on a small quota, then a hall partitioned, not noticed",
        rate: 2700.0,
        demand: &[(0, 0.55), (5000, 4.4)],
        partition: Some((9000, 14_000)),
        silence_noticed_after: 5000,
        max_refused: 0.35,
        ..BASELINE
    },
];
