//! Words on requests under which engines ended, as they go in frames, and frames of any bytes.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message as _;
use reelreel_core::fleet::quarantine::{ReportedCrash, RequestMark, SuspectReport};
use reelreel_gateway::peers::{
    frame::PeerFrame,
    sum_frames::CountFrame,
    suspect_lines::{SuspectLine, read_suspects, write_suspects},
};

fn any_word() -> impl Strategy<Value = SuspectReport> {
    let millis = || (0..u64::from(u32::MAX)).prop_map(Duration::from_millis);
    let end =
        (any::<u64>(), millis(), millis()).prop_map(|(incarnation, began_ago, crashed_ago)| {
            ReportedCrash { incarnation, began_ago, crashed_ago }
        });
    let times = (proptest::option::of(millis()), proptest::option::of(millis()));
    let ends = proptest::collection::vec(end, 0..8);
    let organisation = proptest::option::of("[a-z]{1,8}");
    (any::<RequestMark>(), organisation, any::<u64>(), ends, times).prop_map(
        |(mark, organisation, version, ends, (cleared_ago, probed_ago))| SuspectReport {
            mark,
            organisation: organisation.map(Arc::from),
            version,
            crashes: ends,
            cleared_ago,
            probed_ago,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x0009_0a4b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn words_are_read_as_they_were_written(words in proptest::collection::vec(any_word(), 0..6)) {
        let frame = CountFrame { suspects: write_suspects(&words), ..CountFrame::default() };
        let frame = CountFrame::decode(&frame.encode_to_vec()[..]).expect("a frame");
        prop_assert_eq!(read_suspects(&frame.suspects), words);
    }

    #[test]
    fn no_bytes_end_who_reads_a_frame(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(frame) = PeerFrame::decode(&bytes[..]) {
            let _ = frame.encoded();
        }
        let line = SuspectLine { mark: bytes.clone().into(), ..SuspectLine::default() };
        prop_assert_eq!(read_suspects(&[line]).len(), usize::from(bytes.len() == 16));
    }
}

/// What a host is told of one request is less than a hundredth of what it may hear for control in a second.
#[test]
fn a_word_takes_less_than_a_hundred_bytes() {
    let end = ReportedCrash {
        incarnation: u64::MAX,
        began_ago: Duration::from_mins(15),
        crashed_ago: Duration::from_mins(15),
    };
    let word = SuspectReport {
        mark: RequestMark::MAX,
        organisation: Some(Arc::from("hule930")),
        version: 4,
        crashes: vec![end; 3],
        cleared_ago: None,
        probed_ago: Some(Duration::from_mins(15)),
    };
    let bytes = write_suspects(&[word])[0].encoded_len();
    assert!(bytes < 100, "{bytes} bytes");
}
