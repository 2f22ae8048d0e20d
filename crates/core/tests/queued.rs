//! Which requests join an engine's queue.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::fleet::queued::QueuedRequest;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request that wants its first event within 800 ms and has 6 s. Unit of all times: milliseconds.
struct QueueCase {
    name: &'static str,
    elapsed: u64,
    ahead: u64,
    reading: u64,
    returned: bool,
    refusal: Option<u64>,
}

const CASES: &[QueueCase] = &[
    QueueCase {
        name: "nothing ahead",
        elapsed: 0,
        ahead: 0,
        reading: 300,
        returned: false,
        refusal: None,
    },
    QueueCase {
        name: "as much as is allowed",
        elapsed: 0,
        ahead: 740,
        reading: 300,
        returned: false,
        refusal: None,
    },
    QueueCase {
        name: "too late",
        elapsed: 0,
        ahead: 741,
        reading: 300,
        returned: false,
        refusal: Some(741),
    },
    QueueCase {
        name: "after a wait",
        elapsed: 400,
        ahead: 341,
        reading: 300,
        returned: false,
        refusal: Some(341),
    },
    QueueCase {
        name: "late already",
        elapsed: 900,
        ahead: 0,
        reading: 300,
        returned: false,
        refusal: None,
    },
    QueueCase {
        name: "came back",
        elapsed: 900,
        ahead: 740,
        reading: 300,
        returned: true,
        refusal: None,
    },
    QueueCase {
        name: "to a long queue",
        elapsed: 0,
        ahead: 2200,
        reading: 300,
        returned: true,
        refusal: Some(2000),
    },
    QueueCase {
        name: "a prompt that takes long by itself",
        elapsed: 0,
        ahead: 0,
        reading: 4000,
        returned: false,
        refusal: None,
    },
];

#[test]
fn what_would_be_far_too_late_is_refused() {
    for case in CASES {
        let request = QueuedRequest {
            elapsed: millis(case.elapsed),
            target: millis(800),
            remaining: millis(6000),
            ahead: millis(case.ahead),
            reading: millis(case.reading),
            returned: case.returned,
        };
        assert_eq!(request.refusal(), case.refusal.map(millis), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// What is refused with some queue is refused with a longer one; an empty queue refuses nothing that has time.
    #[test]
    fn a_longer_queue_refuses_no_less(
        elapsed in 0..2000_u64,
        target in 100..2000_u64,
        remaining in 100..15_000_u64,
        ahead in 0..8000_u64,
        more in 0..8000_u64,
        reading in 0..3000_u64,
        returned: bool,
    ) {
        let request = QueuedRequest {
            elapsed: millis(elapsed),
            target: millis(target),
            remaining: millis(remaining),
            ahead: millis(ahead),
            reading: millis(reading),
            returned,
        };
        let longer = QueuedRequest { ahead: millis(ahead + more), ..request };
        prop_assert!(request.refusal().is_none() || longer.refusal().is_some());
        if let Some(time) = request.refusal() {
            prop_assert!(time >= millis(250) && time <= millis((remaining / 3).max(250) + 1));
        }
        let empty = QueuedRequest { ahead: Duration::ZERO, elapsed: Duration::ZERO, ..request };
        prop_assert!(empty.refusal().is_none() || reading > remaining);
    }
}
