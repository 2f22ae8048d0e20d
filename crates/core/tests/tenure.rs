//! Who may give orders in a placement domain, and with which token.

use std::time::Duration;

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    chart::TenureState,
    placement::{LeaseRules, PlacerTenure},
};

const FENCED: LeaseRules = LeaseRules {
    time_to_live: Duration::from_secs(2),
    handover_wait: Duration::from_secs(3),
    engines_enforce_fencing: true,
};

const UNFENCED: LeaseRules = LeaseRules { engines_enforce_fencing: false, ..FENCED };

enum TenureStep {
    /// A join sent at the first time is answered at the second.
    JoinAnswered(bool, u64, u64, u64),
    JoinFailed(u64),
    TokenRefused(u64),
    Left,
}

struct TenureCase {
    name: &'static str,
    rules: LeaseRules,
    steps: &'static [TenureStep],
    checked_at: u64,
    token: Option<u64>,
    state: TenureState,
}

const CASES: &[TenureCase] = &[
    TenureCase {
        name: "without the lease no order",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(false, 4, 10, 12)],
        checked_at: 20,
        token: None,
        state: TenureState::Absent,
    },
    TenureCase {
        name: "engines that check tokens need no wait",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12)],
        checked_at: 13,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "engines that do not check tokens need one",
        rules: UNFENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinAnswered(true, 4, 1500, 1501),
        ],
        checked_at: 3000,
        token: None,
        state: TenureState::Waiting,
    },
    TenureCase {
        name: "after the wait the holder acts",
        rules: UNFENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinAnswered(true, 4, 1500, 1501),
            TenureStep::JoinAnswered(true, 4, 2900, 2901),
        ],
        checked_at: 3013,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "the token stays while others join",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinAnswered(true, 9, 600, 601),
        ],
        checked_at: 700,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "a frozen holder gives no order when it wakes",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12)],
        checked_at: 9000,
        token: None,
        state: TenureState::Lapsed,
    },
    TenureCase {
        name: "a frozen holder that still has the lease in a later generation begins anew",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinAnswered(true, 7, 9000, 9003),
        ],
        checked_at: 9004,
        token: Some(7),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "a holder that the store does not answer goes on where engines check",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinFailed(1900),
            TenureStep::JoinFailed(2600),
        ],
        checked_at: 2700,
        token: Some(4),
        state: TenureState::Lapsed,
    },
    TenureCase {
        name: "and stops where they do not",
        rules: UNFENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::JoinFailed(1900),
            TenureStep::JoinFailed(3600),
        ],
        checked_at: 3700,
        token: None,
        state: TenureState::LapsedWaiting,
    },
    TenureCase {
        name: "a refused token is not used again",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::TokenRefused(4),
            TenureStep::JoinAnswered(true, 4, 500, 501),
        ],
        checked_at: 600,
        token: None,
        state: TenureState::Refused,
    },
    TenureCase {
        name: "the refusal of an earlier token does not end the tenure",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12), TenureStep::TokenRefused(3)],
        checked_at: 600,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "after a refusal a later generation begins a new tenure, which waits the other out",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::TokenRefused(4),
            TenureStep::JoinAnswered(true, 6, 500, 501),
        ],
        checked_at: 600,
        token: None,
        state: TenureState::Waiting,
    },
    TenureCase {
        name: "and then acts with the new token",
        rules: FENCED,
        steps: &[
            TenureStep::JoinAnswered(true, 4, 10, 12),
            TenureStep::TokenRefused(4),
            TenureStep::JoinAnswered(true, 6, 500, 501),
            TenureStep::JoinAnswered(true, 6, 2000, 2001),
            TenureStep::JoinAnswered(true, 6, 3400, 3401),
        ],
        checked_at: 3600,
        token: Some(6),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "who gives the lease up gives no order",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12), TenureStep::Left],
        checked_at: 20,
        token: None,
        state: TenureState::Absent,
    },
];

fn apply(tenure: &mut PlacerTenure, step: &TenureStep) {
    let at = ClockMillis::from_millis;
    match *step {
        TenureStep::JoinAnswered(listed, generation, sent_at, now) => {
            // The host looks at its lease all the time.
            tenure.acting_token(at(sent_at));
            tenure.handle_join(listed, generation, at(sent_at), at(now));
            tenure.acting_token(at(now));
        }
        TenureStep::JoinFailed(now) => tenure.handle_join_failure(at(now)),
        TenureStep::TokenRefused(token) => tenure.handle_token_refusal(token),
        TenureStep::Left => tenure.handle_leave(),
    }
}

#[test]
fn orders_require_a_current_lease() {
    for case in CASES {
        let mut tenure = PlacerTenure::new(case.rules);
        for step in case.steps {
            apply(&mut tenure, step);
        }
        let token = tenure.acting_token(ClockMillis::from_millis(case.checked_at));
        assert_eq!(token, case.token, "{}", case.name);
        assert_eq!(tenure.state(), case.state, "{}", case.name);
    }
}

#[test]
fn returning_holder_waits_after_another_tenure() {
    let at = ClockMillis::from_millis;
    let mut tenure = PlacerTenure::new(FENCED);
    tenure.handle_join(true, 4, at(10), at(11));
    assert_eq!(tenure.acting_token(at(500)), Some(4));
    tenure.handle_join(false, 5, at(600), at(601));
    tenure.handle_join(true, 6, at(1200), at(1201));
    assert_eq!(tenure.acting_token(at(1300)), None, "it would take turns with the holder between");
    tenure.handle_join(true, 6, at(2500), at(2501));
    tenure.handle_join(true, 6, at(4000), at(4001));
    assert_eq!(tenure.acting_token(at(4300)), Some(6));
}

/// The last order of a tenure reached its engine 0.46 s after it was given; another holder acted, and
/// 3.02 s after the order was given the lease came back.
#[test]
fn returning_holder_wait_counts_from_its_last_order_end() {
    let at = ClockMillis::from_millis;
    let mut tenure = PlacerTenure::new(FENCED);
    tenure.handle_join(true, 96, at(10), at(11));
    assert_eq!(tenure.acting_token(at(1000)), Some(96));
    tenure.handle_join(false, 98, at(1300), at(1301));
    tenure.record_order_end(at(1460));
    tenure.handle_join(true, 99, at(4020), at(4021));
    assert_eq!(tenure.acting_token(at(4100)), None, "it would take turns with the holder between");
    tenure.handle_join(true, 99, at(5500), at(5501));
    tenure.handle_join(true, 99, at(7000), at(7001));
    assert_eq!(tenure.acting_token(at(7100)), Some(99));
}

#[test]
fn old_order_ending_during_the_wait_does_not_shorten_it() {
    let at = ClockMillis::from_millis;
    let mut tenure = PlacerTenure::new(FENCED);
    tenure.handle_join(true, 4, at(10), at(11));
    assert_eq!(tenure.acting_token(at(1000)), Some(4));
    tenure.handle_join(false, 5, at(1100), at(1101));
    tenure.handle_join(true, 6, at(1200), at(1201));
    tenure.record_order_end(at(1250));
    assert_eq!(tenure.acting_token(at(1300)), None);
}

#[test]
fn wait_covers_orders_delivered_after_their_timeout() {
    let at = ClockMillis::from_millis;
    let mut tenure = PlacerTenure::new(FENCED);
    tenure.handle_join(true, 4, at(10), at(11));
    assert_eq!(tenure.acting_token(at(1000)), Some(4));
    tenure.handle_join(false, 5, at(1200), at(1201));
    tenure.handle_join(true, 6, at(4100), at(4101));
    assert_eq!(tenure.acting_token(at(4200)), None);
}

/// A group as the store keeps it: members, their last joins, and who was dealt the lease.
struct StoreGroup {
    holder: Option<usize>,
    generation: u64,
    last_join: [u64; 3],
    time_to_live_ms: u64,
}

impl StoreGroup {
    fn expire(&mut self, now: u64) {
        if let Some(holder) = self.holder
            && now >= self.last_join[holder] + self.time_to_live_ms
        {
            self.holder = None;
            self.generation += 1;
        }
    }

    fn join(&mut self, member: usize, now: u64) -> (bool, u64) {
        self.last_join[member] = now;
        if self.holder.is_none() {
            self.holder = Some(member);
            self.generation += 1;
        }
        (self.holder == Some(member), self.generation)
    }
}

proptest! {
    /// Whatever joins are lost and whoever freezes: no two hosts ever act with one token, and
    /// where engines don't check tokens no two act at the same time.
    #[test]
    fn no_two_hosts_act_with_one_token(
        fenced in any::<bool>(),
        steps in proptest::collection::vec((0usize..3, 0u8..10, 1u64..900), 1..200),
    ) {
        let rules = if fenced { FENCED } else { UNFENCED };
        let mut store =
            StoreGroup { holder: None, generation: 0, last_join: [0; 3], time_to_live_ms: 2000 };
        let mut tenures: Vec<PlacerTenure> = (0..3).map(|_| PlacerTenure::new(rules)).collect();
        let mut host_by_token: std::collections::HashMap<u64, usize> = std::collections::HashMap::new();
        let mut now = 1;
        for (member, event, elapsed_ms) in steps {
            now += elapsed_ms;
            let at = ClockMillis::from_millis(now);
            store.expire(now);
            match event {
                // The join is lost on its way.
                0 => tenures[member].handle_join_failure(at),
                // It arrives and its answer is lost.
                1 => {
                    store.join(member, now);
                    tenures[member].handle_join_failure(at);
                }
                // The store deals anew at once, unasked; only tokens that engines check cover that.
                2 if fenced => {
                    store.holder = Some((member + 1) % 3);
                    store.last_join[(member + 1) % 3] = now;
                    store.generation += 1;
                }
                // The host is frozen meanwhile.
                2 | 3 => {}
                _ => {
                    let (listed, generation) = store.join(member, now);
                    tenures[member].handle_join(listed, generation, at, at);
                }
            }
            let mut acting_hosts = Vec::new();
            for (host, tenure) in tenures.iter_mut().enumerate() {
                if let Some(token) = tenure.acting_token(at) {
                    let first_host = host_by_token.entry(token).or_insert(host);
                    prop_assert_eq!(*first_host, host, "token {} has two users", token);
                    acting_hosts.push(host);
                }
            }
            if !fenced {
                prop_assert!(acting_hosts.len() <= 1, "{:?} act at the same time", acting_hosts);
            }
        }
    }
}
