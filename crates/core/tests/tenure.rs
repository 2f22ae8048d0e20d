//! Permission to issue orders in a placement domain, and their fencing tokens.

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
    /// Answer to a join: whether the lease is listed, the token, when the join was sent and when it
    /// was answered.
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
        name: "no orders without the lease",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(false, 4, 10, 12)],
        checked_at: 20,
        token: None,
        state: TenureState::Absent,
    },
    TenureCase {
        name: "no wait if engines enforce fencing",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12)],
        checked_at: 13,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "wait if engines do not enforce fencing",
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
        name: "orders allowed after the wait",
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
        name: "token unchanged when other hosts join",
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
        name: "no orders after the holder was suspended",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12)],
        checked_at: 9000,
        token: None,
        state: TenureState::Lapsed,
    },
    TenureCase {
        name: "new tenure if a suspended holder has the lease in a later generation",
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
        name: "store unreachable, engines enforce fencing: holder continues",
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
        name: "store unreachable, engines do not enforce fencing: holder stops",
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
        name: "refused token is not reused",
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
        name: "refusal of an earlier token is ignored",
        rules: FENCED,
        steps: &[TenureStep::JoinAnswered(true, 4, 10, 12), TenureStep::TokenRefused(3)],
        checked_at: 600,
        token: Some(4),
        state: TenureState::Acting,
    },
    TenureCase {
        name: "later generation after a refusal begins a tenure with a wait",
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
        name: "orders with the new token after that wait",
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
        name: "no orders after leaving the group",
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
            // Hosts check their lease continuously, so also before and after the join.
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
    assert_eq!(tenure.acting_token(at(1300)), None, "would alternate with the holder in between");
    tenure.handle_join(true, 6, at(2500), at(2501));
    tenure.handle_join(true, 6, at(4000), at(4001));
    assert_eq!(tenure.acting_token(at(4300)), Some(6));
}

/// The last order arrived 0.46 s after it was issued, and the lease returned 3.02 s after that
/// order was issued. The wait must count from the order's end.
#[test]
fn returning_holder_wait_counts_from_its_last_order_end() {
    let at = ClockMillis::from_millis;
    let mut tenure = PlacerTenure::new(FENCED);
    tenure.handle_join(true, 96, at(10), at(11));
    assert_eq!(tenure.acting_token(at(1000)), Some(96));
    tenure.handle_join(false, 98, at(1300), at(1301));
    tenure.record_order_end(at(1460));
    tenure.handle_join(true, 99, at(4020), at(4021));
    assert_eq!(tenure.acting_token(at(4100)), None, "would alternate with the holder in between");
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

/// Group as kept by the store: lease holder, generation and the last join of each member.
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
    /// Regardless of lost joins and suspended hosts, no two hosts use the same token. If engines do
    /// not enforce fencing, no two hosts issue orders at the same time.
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
                // The join is lost.
                0 => tenures[member].handle_join_failure(at),
                // The join arrives and its answer is lost.
                1 => {
                    store.join(member, now);
                    tenures[member].handle_join_failure(at);
                }
                // The store reassigns the lease without a join. Only fencing by the engines
                // protects against this.
                2 if fenced => {
                    store.holder = Some((member + 1) % 3);
                    store.last_join[(member + 1) % 3] = now;
                    store.generation += 1;
                }
                // The host is suspended.
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
                    prop_assert_eq!(*first_host, host, "token {} used by two hosts", token);
                    acting_hosts.push(host);
                }
            }
            if !fenced {
                prop_assert!(acting_hosts.len() <= 1, "hosts {:?} may issue orders at the same time", acting_hosts);
            }
        }
    }
}
