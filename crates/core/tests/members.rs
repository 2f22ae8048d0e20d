//! Tests of membership, ownership, gossip, load scheduling and routing.

use std::{collections::BTreeSet, time::Duration};

use reelreel_core::{
    ClockMillis,
    chart::MemberState,
    gossip::GossipQueue,
    id::{AdapterKey, raised_token, takeover_token},
    load::{LoadScheduler, WeightStoreLimits},
    member::{MemberTable, MemberTimeouts, MemberUpdate},
    message::{LoadAsk, LoadTurn},
    owner::{OwnedRole, rendezvous, role_key},
    routing::{RouteCandidate, RouteChoice, choose_route},
};

const TIMES: MemberTimeouts = MemberTimeouts {
    ack_timeout: Duration::from_millis(800),
    suspicion_timeout: Duration::from_secs(3),
    dead_retention: Duration::from_mins(1),
};

fn update(host: u32, incarnation: u64, refutations: u32, state: MemberState) -> MemberUpdate {
    let address = format!("host-{host}");
    MemberUpdate { host, hall: 1, address, incarnation, refutations, state }
}

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

struct UpdateCase {
    name: &'static str,
    initial: (u64, u32, MemberState),
    received: (u64, u32, MemberState),
    expected: MemberState,
}

const UPDATES: &[UpdateCase] = &[
    UpdateCase {
        name: "a suspicion of the same incarnation is applied",
        initial: (5, 0, MemberState::Alive),
        received: (5, 0, MemberState::Suspect),
        expected: MemberState::Suspect,
    },
    UpdateCase {
        name: "a refutation ends the suspicion",
        initial: (5, 0, MemberState::Suspect),
        received: (5, 1, MemberState::Alive),
        expected: MemberState::Alive,
    },
    UpdateCase {
        name: "a stale update is ignored after a refutation",
        initial: (5, 1, MemberState::Alive),
        received: (5, 0, MemberState::Dead),
        expected: MemberState::Alive,
    },
    UpdateCase {
        name: "a new incarnation is alive regardless of earlier updates",
        initial: (5, 7, MemberState::Dead),
        received: (6, 0, MemberState::Alive),
        expected: MemberState::Alive,
    },
    UpdateCase {
        name: "a leaving host does not become alive again",
        initial: (5, 0, MemberState::Leaving),
        received: (5, 0, MemberState::Alive),
        expected: MemberState::Leaving,
    },
    UpdateCase {
        name: "the host list does not override a host's own update",
        initial: (5, 0, MemberState::Leaving),
        received: (0, 0, MemberState::Alive),
        expected: MemberState::Leaving,
    },
];

#[test]
fn the_update_with_the_highest_version_wins() {
    for case in UPDATES {
        let mut table = MemberTable::new(update(1, 1, 0, MemberState::Alive), TIMES);
        let (incarnation, refutations, state) = case.initial;
        table.apply_update(&update(2, incarnation, refutations, MemberState::Alive), at(1));
        table.apply_update(&update(2, incarnation, refutations, state), at(1));
        let (incarnation, refutations, state) = case.received;
        table.apply_update(&update(2, incarnation, refutations, state), at(2));
        let found = table.find(2).map(|entry| entry.update.state);
        assert_eq!(found, Some(case.expected), "{}", case.name);
    }
}

#[test]
fn an_unresponsive_host_is_suspected_then_dead_and_owns_until_dead() {
    let mut table = MemberTable::new(update(1, 1, 0, MemberState::Alive), TIMES);
    table.apply_update(&update(2, 1, 0, MemberState::Alive), at(0));
    table.record_heartbeat_sent(2, at(100));
    assert!(table.expire(at(800)).is_empty());
    assert_eq!(table.expire(at(1_000)), [2]);
    assert_eq!(table.eligible_owners(None).count(), 2, "a suspected host remains an owner");
    assert!(table.expire(at(3_900)).is_empty());
    assert_eq!(table.expire(at(4_100)), [2]);
    assert_eq!(table.eligible_owners(None).count(), 1);
    assert!(
        !table.record_contact(2, at(4_200)),
        "a dead host becomes alive only by its own update"
    );
    assert!(table.apply_update(&update(2, 1, 1, MemberState::Alive), at(4_300)));
    assert_eq!(table.eligible_owners(None).count(), 2);
}

#[test]
fn a_host_refutes_false_claims_about_itself() {
    let mut table = MemberTable::new(update(1, 9, 0, MemberState::Alive), TIMES);
    assert!(table.apply_update(&update(1, 9, 0, MemberState::Dead), at(1)));
    assert_eq!((table.own().refutations, table.own().state), (1, MemberState::Alive));
    assert!(
        !table.apply_update(&update(1, 8, 3, MemberState::Dead), at(1)),
        "the update is of an earlier incarnation"
    );
}

#[test]
fn removing_a_host_moves_only_its_engines() {
    let hosts: Vec<u32> = (1..=53).collect();
    let owner = |hosts: &[u32], engine: u64| {
        rendezvous(role_key(OwnedRole::Engine, engine), hosts.iter().copied())
    };
    let remaining_hosts: Vec<u32> = hosts.iter().copied().filter(|host| *host != 17).collect();
    let mut moved = 0;
    for engine in 0..860 {
        let before = owner(&hosts, engine);
        let after = owner(&remaining_hosts, engine);
        if before == Some(17) {
            moved += 1;
        } else {
            assert_eq!(before, after, "engine {engine}");
        }
    }
    assert!((4..=40).contains(&moved), "{moved} of 860 engines moved");
}

#[test]
fn a_raised_token_stays_below_the_next_takeover_token() {
    let mut own = takeover_token(0, 9);
    for _ in 0..1_000 {
        own = raised_token(own).expect("an epoch has at least a thousand raises");
    }
    let other = takeover_token(own, 3);
    assert!(other > own);
    assert!(raised_token(own).expect("the epoch has another raise") < other);
    let mut last = takeover_token(0, 1);
    while let Some(next) = raised_token(last) {
        last = next;
    }
    assert!(last < takeover_token(0, 2), "raises do not overflow into another host's tokens");
}

#[test]
fn gossip_reaches_nine_in_ten_hosts_in_a_few_rounds() {
    use std::collections::BTreeMap;
    const HOSTS: usize = 123;
    let mut queues: BTreeMap<usize, GossipQueue<u32>> = BTreeMap::new();
    let mut first = GossipQueue::default();
    first.add(7, HOSTS);
    queues.insert(0, first);
    let mut next = 1usize;
    let mut rounds = 0;
    while queues.len() < HOSTS && rounds < 12 {
        rounds += 1;
        let mut receivers = BTreeSet::new();
        for queue in queues.values_mut() {
            for _ in 0..3 {
                if queue.take(8).contains(&7) {
                    // A deterministic sequence in place of a random choice.
                    next = (next * 57 + 11) % 1009;
                    receivers.insert(next % HOSTS);
                }
            }
        }
        for host in receivers {
            queues.entry(host).or_insert_with(|| {
                let mut queue = GossipQueue::default();
                queue.add(7, HOSTS);
                queue
            });
        }
    }
    assert!(queues.len() >= HOSTS * 9 / 10, "{} of {HOSTS} in {rounds} rounds", queues.len());
}

fn key(adapter: u32) -> AdapterKey {
    AdapterKey { adapter, version: 1 }
}

fn ask(engine: u32, adapter: u32, value: f64) -> LoadAsk {
    LoadAsk { engine, adapter: key(adapter), value, running: false }
}

const LIMITS: WeightStoreLimits =
    WeightStoreLimits { loads_per_second: 3.0, parallel_loads: 1, fraction: 1.0 };

#[test]
fn turns_are_granted_one_at_a_time_by_highest_value() {
    let mut scheduler = LoadScheduler::default();
    scheduler.request_turn(1, &ask(1, 10, 1.0), at(1));
    scheduler.request_turn(2, &ask(2, 20, 5.0), at(1));
    scheduler.request_turn(1, &ask(1, 30, 3.0), at(1));
    let grants = scheduler.grant_turns(LIMITS, at(1));
    assert_eq!(grants.len(), 1);
    assert_eq!((grants[0].owner, grants[0].turn.adapter), (2, key(20)));
    assert!(scheduler.grant_turns(LIMITS, at(500)).is_empty(), "only one load runs at a time");
    assert_eq!(scheduler.queue_position(1, key(10)).before, 2);
    scheduler.release_turn(LoadTurn { engine: 2, adapter: key(20) }, at(600));
    let grants = scheduler.grant_turns(LIMITS, at(601));
    assert_eq!(grants.iter().map(|grant| grant.turn.adapter).collect::<Vec<_>>(), [key(30)]);
}

#[test]
fn a_turn_is_revoked_when_its_owner_stops_asking() {
    let mut scheduler = LoadScheduler::default();
    scheduler.request_turn(1, &ask(1, 10, 9.0), at(1));
    scheduler.request_turn(2, &ask(2, 20, 1.0), at(1));
    assert_eq!(scheduler.grant_turns(LIMITS, at(1)).len(), 1);
    for step in 1..8 {
        scheduler.request_turn(2, &ask(2, 20, 1.0), at(step * 500));
    }
    let grants = scheduler.grant_turns(LIMITS, at(3_600));
    assert_eq!(grants.iter().map(|grant| grant.owner).collect::<Vec<_>>(), [2]);
}

#[test]
fn grants_stay_within_the_weight_store_rate() {
    let mut scheduler = LoadScheduler::default();
    let limits = WeightStoreLimits { parallel_loads: 4, ..LIMITS };
    let mut grants = 0;
    for step in 0..600u32 {
        let now = at(u64::from(step) * 50 + 1);
        scheduler.request_turn(1, &ask(1, step, 1.0), now);
        for turn in scheduler.grant_turns(limits, now) {
            grants += 1;
            scheduler.release_turn(turn.turn, now);
        }
    }
    assert!((85..=96).contains(&grants), "{grants} loads in 30 s at 3 per second");
}

struct RouteCase {
    name: &'static str,
    holders: &'static [(u32, u16, u32)],
    engines: &'static [(u32, u16, u32)],
    choice: fn(Option<RouteChoice>) -> bool,
}

const ROUTES: &[RouteCase] = &[
    RouteCase {
        name: "the holder with the lower fill",
        holders: &[(1, 1, 60), (2, 1, 20)],
        engines: &[],
        choice: |choice| choice == Some(RouteChoice::Holder(2)),
    },
    RouteCase {
        name: "a holder in the own hall, when one in another hall is only slightly less full",
        holders: &[(1, 1, 30), (2, 2, 20)],
        engines: &[],
        choice: |choice| choice == Some(RouteChoice::Holder(1)),
    },
    RouteCase {
        name: "a holder in another hall rather than a load",
        holders: &[(2, 2, 90)],
        engines: &[(1, 1, 0), (2, 2, 90)],
        choice: |choice| choice == Some(RouteChoice::Holder(2)),
    },
    RouteCase {
        name: "a replica when all holders are overloaded",
        holders: &[(1, 1, 200)],
        engines: &[(1, 1, 200), (2, 1, 10), (3, 1, 300)],
        choice: |choice| choice == Some(RouteChoice::Replica(2)),
    },
    RouteCase {
        name: "the overloaded holder when no engine has capacity",
        holders: &[(1, 1, 200)],
        engines: &[(1, 1, 200), (3, 1, 300)],
        choice: |choice| choice == Some(RouteChoice::Holder(1)),
    },
    RouteCase {
        name: "the home engine when no engine holds the adapter",
        holders: &[],
        engines: &[(1, 1, 0), (2, 1, 0)],
        choice: |choice| matches!(choice, Some(RouteChoice::Home(_))),
    },
    RouteCase { name: "no engines", holders: &[], engines: &[], choice: |choice| choice.is_none() },
];

#[test]
fn requests_are_routed_to_holders_with_capacity() {
    for case in ROUTES {
        let candidates = |list: &[(u32, u16, u32)]| -> Vec<RouteCandidate> {
            let candidate = |(engine, hall, fill): &(u32, u16, u32)| RouteCandidate {
                engine: *engine,
                hall: *hall,
                fill: *fill,
            };
            list.iter().map(candidate).collect()
        };
        let choice = choose_route(key(4), &candidates(case.holders), &candidates(case.engines), 1);
        assert!((case.choice)(choice), "{}: {choice:?}", case.name);
    }
}
