//! Queue admission of requests at an engine.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::fleet::queue_admission::QueueCandidate;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request with a latency target of 800 ms and 6 s left. Unit of times: milliseconds.
struct QueueCase {
    name: &'static str,
    elapsed: u64,
    pending_prefill_time: u64,
    prefill_time: u64,
    client_retried: bool,
    retry_after: Option<u64>,
}

const CASES: &[QueueCase] = &[
    QueueCase {
        name: "nothing pending_prefill_time",
        elapsed: 0,
        pending_prefill_time: 0,
        prefill_time: 300,
        client_retried: false,
        retry_after: None,
    },
    QueueCase {
        name: "longest admissible queue",
        elapsed: 0,
        pending_prefill_time: 740,
        prefill_time: 300,
        client_retried: false,
        retry_after: None,
    },
    QueueCase {
        name: "queue too long",
        elapsed: 0,
        pending_prefill_time: 741,
        prefill_time: 300,
        client_retried: false,
        retry_after: Some(741),
    },
    QueueCase {
        name: "queue too long after a wait",
        elapsed: 400,
        pending_prefill_time: 341,
        prefill_time: 300,
        client_retried: false,
        retry_after: Some(341),
    },
    QueueCase {
        name: "late, but empty queue",
        elapsed: 900,
        pending_prefill_time: 0,
        prefill_time: 300,
        client_retried: false,
        retry_after: None,
    },
    QueueCase {
        name: "retried by the client",
        elapsed: 900,
        pending_prefill_time: 740,
        prefill_time: 300,
        client_retried: true,
        retry_after: None,
    },
    QueueCase {
        name: "retried by the client, queue too long",
        elapsed: 0,
        pending_prefill_time: 2200,
        prefill_time: 300,
        client_retried: true,
        retry_after: Some(2000),
    },
    QueueCase {
        name: "prefill that alone takes too long",
        elapsed: 0,
        pending_prefill_time: 0,
        prefill_time: 4000,
        client_retried: false,
        retry_after: None,
    },
];

#[test]
fn requests_expected_far_beyond_the_target_are_refused() {
    for case in CASES {
        let request = QueueCandidate {
            elapsed: millis(case.elapsed),
            latency_target: millis(800),
            remaining: millis(6000),
            pending_prefill_time: millis(case.pending_prefill_time),
            prefill_time: millis(case.prefill_time),
            client_retried: case.client_retried,
        };
        assert_eq!(request.refusal_retry_after(), case.retry_after.map(millis), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// A longer queue must not admit what a shorter one refuses, and an empty queue admits any
    /// request.
    #[test]
    fn a_longer_queue_refuses_no_less(
        elapsed in 0..2000_u64,
        latency_target in 100..2000_u64,
        remaining in 100..15_000_u64,
        pending_prefill_time in 0..8000_u64,
        additional in 0..8000_u64,
        prefill_time in 0..3000_u64,
        client_retried: bool,
    ) {
        let request = QueueCandidate {
            elapsed: millis(elapsed),
            latency_target: millis(latency_target),
            remaining: millis(remaining),
            pending_prefill_time: millis(pending_prefill_time),
            prefill_time: millis(prefill_time),
            client_retried,
        };
        let longer = QueueCandidate { pending_prefill_time: millis(pending_prefill_time + additional), ..request };
        prop_assert!(request.refusal_retry_after().is_none() || longer.refusal_retry_after().is_some());
        if let Some(time) = request.refusal_retry_after() {
            prop_assert!(time >= millis(250) && time <= millis((remaining / 3).max(250) + 1));
        }
        let empty = QueueCandidate { pending_prefill_time: Duration::ZERO, elapsed: Duration::ZERO, ..request };
        prop_assert!(empty.refusal_retry_after().is_none() || prefill_time > remaining);
    }
}
