//! Prefill speed learned from the time to the first event.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::fleet::prefill_speed::PrefillSpeed;

/// Samples of one service, and the resulting time for 10,000 tokens.
struct SpeedCase {
    name: &'static str,
    /// Prompt tokens, pending tokens ahead, and milliseconds to the first event; repeated in order.
    samples: &'static [(u64, u64, u64)],
    /// Minimum and maximum time for 10,000 tokens. Unit: milliseconds.
    expected: (u64, u64),
}

const CASES: &[SpeedCase] = &[
    SpeedCase { name: "no samples", samples: &[], expected: (0, 0) },
    SpeedCase { name: "constant", samples: &[(9000, 0, 300)], expected: (310, 360) },
    SpeedCase {
        name: "with pending tokens ahead",
        samples: &[(9000, 9000, 600)],
        expected: (310, 360),
    },
    SpeedCase {
        name: "one in four cached, one in four queued",
        samples: &[(9000, 0, 300), (9000, 0, 100), (9000, 0, 300), (9000, 0, 900)],
        expected: (290, 380),
    },
    SpeedCase {
        name: "short prompts are ignored",
        samples: &[(9000, 0, 300), (100, 0, 60)],
        expected: (310, 360),
    },
    SpeedCase { name: "prompt length not declared", samples: &[(1, 0, 60)], expected: (0, 0) },
];

fn trained_speed(samples: &[(u64, u64, u64)]) -> PrefillSpeed {
    let mut speed = PrefillSpeed::default();
    for (prompt, pending_tokens, millis) in samples.iter().cycle().take(samples.len() * 100) {
        speed.record(*prompt, *pending_tokens, Duration::from_millis(*millis));
    }
    speed
}

#[test]
fn the_prefill_speed_is_the_median_of_samples() {
    for case in CASES {
        let time = trained_speed(case.samples).time_for(10_000);
        let (least, most) = case.expected;
        let expected = Duration::from_millis(least)..=Duration::from_millis(most);
        assert!(expected.contains(&time), "{}: {time:?}", case.name);
    }
}

/// The first request to an adapter may include its load time; such an outlier must not distort the
/// speed for long.
#[test]
fn a_wrong_first_sample_is_outweighed_within_ten_requests() {
    for first in [(600, 0, 3000), (9000, 0, 5000), (9000, 0, 5)] {
        let mut speed = PrefillSpeed::default();
        let (prompt, pending_tokens, millis) = first;
        speed.record(prompt, pending_tokens, Duration::from_millis(millis));
        for _ in 0..10 {
            speed.record(9000, 0, Duration::from_millis(300));
        }
        let time = speed.time_for(9000);
        let expected = Duration::from_millis(250)..=Duration::from_millis(350);
        assert!(expected.contains(&time), "after {first:?}: {time:?}");
    }
}

#[test]
fn a_slowdown_is_learned_within_sixty_requests() {
    let mut speed = trained_speed(&[(9000, 0, 300)]);
    for _ in 0..60 {
        speed.record(9000, 0, Duration::from_millis(900));
    }
    assert!(speed.time_for(9000) > Duration::from_millis(800), "{:?}", speed.time_for(9000));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x4ead),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn more_tokens_never_take_less_time(
        samples in proptest::collection::vec((1u64..50_000, 0u64..90_000, 0u64..4000), 0..60),
        tokens in 0u64..100_000,
        additional in 0u64..100_000,
    ) {
        let mut speed = PrefillSpeed::default();
        for (prompt, pending_tokens, millis) in samples {
            speed.record(prompt, pending_tokens, Duration::from_millis(millis));
        }
        prop_assert!(speed.time_for(tokens) <= speed.time_for(tokens + additional));
        prop_assert!(speed.utilization_for(tokens as f64) <= speed.utilization_for((tokens + additional) as f64));
    }
}
