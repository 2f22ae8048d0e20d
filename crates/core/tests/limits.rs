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
    weight: f64,
    number: u32,
}

impl QueuedItem for Item {
    fn organisation(&self) -> OrganisationId {
        self.organisation
    }

    fn weight(&self) -> f64 {
        self.weight
    }
}

fn item(organisation: OrganisationId, weight: f64, number: u32) -> Item {
    Item { organisation, weight, number }
}

struct WeightCase {
    name: &'static str,
    /// The organisation, its weight and the number of items that it queues.
    flows: &'static [(OrganisationId, f64, u32)],
    taken: usize,
    /// How many of the popped items belong to the first organisation.
    first_count: std::ops::RangeInclusive<usize>,
}

const WEIGHTS: &[WeightCase] = &[
    WeightCase {
        name: "equal weights, unequal demand",
        flows: &[(1, 1.0, 5), (2, 1.0, 500)],
        taken: 10,
        first_count: 4..=5,
    },
    WeightCase {
        name: "a double weight",
        flows: &[(1, 2.0, 500), (2, 1.0, 500)],
        taken: 300,
        first_count: 199..=201,
    },
    WeightCase {
        name: "one organisation",
        flows: &[(1, 0.1, 50)],
        taken: 50,
        first_count: 50..=50,
    },
    WeightCase {
        name: "three organisations",
        flows: &[(1, 1.0, 100), (2, 1.0, 100), (3, 1.0, 100)],
        taken: 99,
        first_count: 32..=34,
    },
];

#[test]
fn organisations_are_served_by_their_weights() {
    for case in WEIGHTS {
        let mut queue = FairQueue::default();
        for (organisation, weight, count) in case.flows {
            for number in 0..*count {
                queue.push(item(*organisation, *weight, number), u32::MAX).expect("no limit");
            }
        }
        let taken: Vec<Item> = (0..case.taken).filter_map(|_| queue.pop_ready(|_| true)).collect();
        let first_count = taken.iter().filter(|item| item.organisation == case.flows[0].0).count();
        assert!(case.first_count.contains(&first_count), "{}: {first_count}", case.name);
    }
}

#[test]
fn an_idle_organisation_accumulates_no_credit() {
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
    let late_count = next.iter().filter(|item| item.organisation == 2).count();
    assert!((49..=51).contains(&late_count), "{late_count}");
}

#[test]
fn a_full_flow_rejects_items_and_others_still_accept_them() {
    let mut queue = FairQueue::default();
    for number in 0..3 {
        queue.push(item(1, 1.0, number), 3).expect("room for three");
    }
    let (rejected, error) = queue.push(item(1, 1.0, 3), 3).expect_err("the flow is full");
    assert_eq!((rejected.number, error.queued), (3, 3));
    queue.push(item(2, 1.0, 0), 3).expect("another flow has room");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0xfa1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No item is lost or duplicated, and each organisation's items keep their order.
    #[test]
    fn a_queue_returns_every_item_once_and_in_order(
        items in prop::collection::vec((0..5u32, 1..40u32), 0..120),
        drained in 0..5u32,
    ) {
        let mut queue = FairQueue::default();
        for (number, (organisation, weight)) in (0..).zip(&items) {
            let item = item(*organisation, f64::from(*weight) / 10.0, number);
            queue.push(item, u32::MAX).expect("no limit");
        }
        let mut popped = queue.drain_where(|item| item.organisation == drained);
        prop_assert!(queue.iter().all(|item| item.organisation != drained));
        while let Some(item) = queue.pop_ready(|_| true) {
            let earlier = popped.iter().filter(|other| other.organisation == item.organisation);
            prop_assert!(earlier.clone().all(|other| other.number < item.number));
            popped.push(item);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(popped.len(), items.len());
    }
}

#[test]
fn retries_stay_a_fixed_fraction_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let mut taken = 0;
    for millis in 0..20_000u64 {
        let now = ClockMillis::from_millis(millis) + Duration::from_millis(1);
        budget.record_attempt(now);
        taken += u32::from(budget.take(0.1, now));
    }
    assert!((1_900..2_200).contains(&taken), "{taken} retries for 20000 attempts");
}
