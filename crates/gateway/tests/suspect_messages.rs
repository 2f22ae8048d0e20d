//! Messages for requests during which engines crashed, and decoding of arbitrary bytes.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message as _;
use reelreel_core::fleet::quarantine::{ReportedCrash, RequestMark, SuspectReport};
use reelreel_gateway::peers::{
    aggregate_frames::HostReportFrame,
    frame::PeerFrame,
    suspect_messages::{SuspectMessage, decode_suspects, encode_suspects},
};

fn any_report() -> impl Strategy<Value = SuspectReport> {
    let millis = || (0..u64::from(u32::MAX)).prop_map(Duration::from_millis);
    let crash =
        (any::<u64>(), millis(), millis()).prop_map(|(incarnation, began_ago, crashed_ago)| {
            ReportedCrash { incarnation, began_ago, crashed_ago }
        });
    let times = (proptest::option::of(millis()), proptest::option::of(millis()));
    let crashes = proptest::collection::vec(crash, 0..8);
    let organisation = proptest::option::of("[a-z]{1,8}");
    (any::<RequestMark>(), organisation, any::<u64>(), crashes, times).prop_map(
        |(mark, organisation, version, crashes, (cleared_ago, probed_ago))| SuspectReport {
            mark,
            organisation: organisation.map(Arc::from),
            version,
            crashes,
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
    fn reports_round_trip(reports in proptest::collection::vec(any_report(), 0..6)) {
        let frame = HostReportFrame { suspects: encode_suspects(&reports), ..HostReportFrame::default() };
        let frame = HostReportFrame::decode(&frame.encode_to_vec()[..]).expect("the encoded frame decodes");
        prop_assert_eq!(decode_suspects(&frame.suspects), reports);
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_decoders(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(frame) = PeerFrame::decode(&bytes[..]) {
            let _ = frame.encoded();
        }
        let message = SuspectMessage { mark: bytes.clone().into(), ..SuspectMessage::default() };
        prop_assert_eq!(decode_suspects(&[message]).len(), usize::from(bytes.len() == 16));
    }
}

/// Guards the control bandwidth of a host: a report takes less than a hundredth of its budget per second.
#[test]
fn an_encoded_report_is_shorter_than_a_hundred_bytes() {
    let crash = ReportedCrash {
        incarnation: u64::MAX,
        began_ago: Duration::from_mins(15),
        crashed_ago: Duration::from_mins(15),
    };
    let report = SuspectReport {
        mark: RequestMark::MAX,
        organisation: Some(Arc::from("hule930")),
        version: 4,
        crashes: vec![crash; 3],
        cleared_ago: None,
        probed_ago: Some(Duration::from_mins(15)),
    };
    let bytes = encode_suspects(&[report])[0].encoded_len();
    assert!(bytes < 100, "{bytes} bytes");
}
