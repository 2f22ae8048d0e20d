//! Fair queues and retry budgets.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    id::OrganisationId,
    limit::{FairQueue, QueuedItem, RetryBudget},
};

#[derive(Debug, Clone, PartialEq)]
struct Item {
    organisation: OrganisationId,
    share: f64,
    number: u32,
}

impl QueuedItem for Item {
    fn organisation(&self) -> OrganisationId {
        self.organisation
    }

    fn weight(&self) -> f64 {
        self.share
    }
}

fn item(organisation: OrganisationId, share: f64, number: u32) -> Item {
    Item { organisation, share, number }
}

struct ShareCase {
    name: &'static str,
    /// Organisation, share and how many items it queues.
    lanes: &'static [(OrganisationId, f64, u32)],
    taken: usize,
    /// How many items of the first organisation are among those taken.
    first: std::ops::RangeInclusive<usize>,
}

const SHARES: &[ShareCase] = &[
    ShareCase {
        name: "equal shares, unequal demand",
        lanes: &[(1, 1.0, 5), (2, 1.0, 500)],
        taken: 10,
        first: 4..=5,
    },
    ShareCase {
        name: "a double share",
        lanes: &[(1, 2.0, 500), (2, 1.0, 500)],
        taken: 300,
        first: 199..=201,
    },
    ShareCase { name: "alone", lanes: &[(1, 0.1, 50)], taken: 50, first: 50..=50 },
    ShareCase {
        name: "three organisations",
        lanes: &[(1, 1.0, 100), (2, 1.0, 100), (3, 1.0, 100)],
        taken: 99,
        first: 32..=34,
    },
];

#[test]
fn organisations_are_served_by_their_shares() {
    for case in SHARES {
        let mut queue = FairQueue::default();
        for (organisation, share, count) in case.lanes {
            for number in 0..*count {
                queue.push(item(*organisation, *share, number), u32::MAX).expect("no limit");
            }
        }
        let taken: Vec<Item> = (0..case.taken).filter_map(|_| queue.pop_ready(|_| true)).collect();
        let first = taken.iter().filter(|item| item.organisation == case.lanes[0].0).count();
        assert!(case.first.contains(&first), "{}: {first}", case.name);
    }
}

#[test]
fn an_organisation_that_was_idle_has_saved_nothing_up() {
    let mut queue = FairQueue::default();
    for number in 0..1000 {
        queue.push(item(1, 1.0, number), u32::MAX).expect("no limit");
    }
    for _ in 0..500 {
        queue.pop_ready(|_| true).expect("there is more");
    }
    for number in 0..1000 {
        queue.push(item(2, 1.0, number), u32::MAX).expect("no limit");
    }
    let next: Vec<Item> = (0..100).filter_map(|_| queue.pop_ready(|_| true)).collect();
    let late = next.iter().filter(|item| item.organisation == 2).count();
    assert!((49..=51).contains(&late), "{late}");
}

#[test]
fn a_full_lane_refuses_and_leaves_the_others_alone() {
    let mut queue = FairQueue::default();
    for number in 0..3 {
        queue.push(item(1, 1.0, number), 3).expect("room for three");
    }
    let (back, error) = queue.push(item(1, 1.0, 3), 3).expect_err("the lane is full");
    assert_eq!((back.number, error.queued), (3, 3));
    queue.push(item(2, 1.0, 0), 3).expect("another lane has room");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0xfa1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Nothing is lost or doubled, and an organisation's own items keep their order.
    #[test]
    fn a_queue_gives_back_what_it_took(
        items in prop::collection::vec((0..5u32, 1..40u32), 0..120),
        drained in 0..5u32,
    ) {
        let mut queue = FairQueue::default();
        for (number, (organisation, share)) in (0..).zip(&items) {
            let item = item(*organisation, f64::from(*share) / 10.0, number);
            queue.push(item, u32::MAX).expect("no limit");
        }
        let mut seen = queue.drain_where(|item| item.organisation == drained);
        prop_assert!(queue.iter().all(|item| item.organisation != drained));
        while let Some(item) = queue.pop_ready(|_| true) {
            let earlier = seen.iter().filter(|known| known.organisation == item.organisation);
            prop_assert!(earlier.clone().all(|known| known.number < item.number));
            seen.push(item);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(seen.len(), items.len());
    }
}

#[test]
fn retries_stay_a_share_of_the_tries_whatever_fails() {
    let mut budget = RetryBudget::default();
    let mut taken = 0;
    for millis in 0..20_000u64 {
        let now = ClockMillis::from_millis(millis) + Duration::from_millis(1);
        budget.record_attempt(now);
        taken += u32::from(budget.take(0.1, now));
    }
    assert!((1_900..2_200).contains(&taken), "{taken} retries for 20000 tries");
}
