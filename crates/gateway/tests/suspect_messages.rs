//! Messages for requests and prompt parts during which engines crashed, also of hosts of the version
//! before, and decoding of arbitrary bytes.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message as _;
use reelreel_core::fleet::quarantine::{
    ReportedCrash, RequestTrait, SuspectReport, TraitKind, TraitMark,
    tracker::MAX_REPORTS_PER_FRAME,
};
use reelreel_gateway::peers::{
    aggregate_frames::HostReportFrame,
    frame::PeerFrame,
    suspect_messages::{CrashMessage, SuspectMessage, decode_suspects, encode_suspects},
};

/// The message as hosts of the version before know it.
#[derive(Clone, PartialEq, prost::Message)]
struct EarlierSuspectMessage {
    #[prost(bytes = "bytes", tag = "1")]
    mark: bytes::Bytes,
    #[prost(string, optional, tag = "2")]
    organisation: Option<String>,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(message, repeated, tag = "4")]
    crashes: Vec<EarlierCrashMessage>,
    #[prost(uint64, optional, tag = "5")]
    cleared_ago: Option<u64>,
    #[prost(uint64, optional, tag = "6")]
    probed_ago: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EarlierCrashMessage {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    began_ago: u64,
    #[prost(uint64, tag = "3")]
    crashed_ago: u64,
}

fn any_report() -> impl Strategy<Value = SuspectReport> {
    let millis = || (0..u64::from(u32::MAX)).prop_map(Duration::from_millis);
    let requests = proptest::collection::vec(any::<u64>(), 0..=4);
    let crash = (any::<u64>(), millis(), millis(), requests).prop_map(
        |(incarnation, began_ago, crashed_ago, requests)| ReportedCrash {
            incarnation,
            began_ago,
            crashed_ago,
            requests,
        },
    );
    let kind = prop_oneof![Just(TraitKind::Request), Just(TraitKind::PromptPart)];
    let suspect = (kind, any::<TraitMark>()).prop_map(|(kind, mark)| RequestTrait { kind, mark });
    let times = (proptest::option::of(millis()), proptest::option::of(millis()));
    let crashes = proptest::collection::vec(crash, 0..8);
    let organisation = proptest::option::of("[a-z]{1,8}");
    (suspect, organisation, any::<u64>(), crashes, times).prop_map(
        |(suspect, organisation, version, crashes, (cleared_ago, probed_ago))| SuspectReport {
            suspect,
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
    fn hosts_of_the_version_before_ignore_what_is_new(report in any_report()) {
        let encoded = &encode_suspects(std::slice::from_ref(&report))[0];
        let earlier = EarlierSuspectMessage::decode(&encoded.encode_to_vec()[..]).expect("the message decodes");
        prop_assert_eq!(&earlier.mark[..], &report.suspect.mark.to_le_bytes()[..]);
        prop_assert_eq!(earlier.crashes.len(), report.crashes.len());
    }

    #[test]
    fn a_report_of_the_version_before_concerns_a_request(report in any_report()) {
        let encoded = &encode_suspects(std::slice::from_ref(&report))[0];
        let earlier = EarlierSuspectMessage::decode(&encoded.encode_to_vec()[..]).expect("the message decodes");
        let received = SuspectMessage::decode(&earlier.encode_to_vec()[..]).expect("the message decodes");
        let decoded = decode_suspects(&[received]);
        let mut expected = report;
        expected.suspect.kind = TraitKind::Request;
        for crash in &mut expected.crashes {
            crash.requests.clear();
        }
        prop_assert_eq!(decoded, vec![expected]);
    }

    #[test]
    fn a_report_of_an_unknown_kind_is_skipped(report in any_report(), kind in 2..=u32::MAX) {
        let mut messages = encode_suspects(&[report.clone(), report.clone()]);
        messages[0].kind = kind;
        prop_assert_eq!(decode_suspects(&messages), vec![report]);
    }

    #[test]
    fn no_more_than_four_requests_of_a_crash_are_decoded(requests in proptest::collection::vec(any::<u64>(), 0..40)) {
        let crash = CrashMessage { requests, ..CrashMessage::default() };
        let mark = vec![0; 16].into();
        let message = SuspectMessage { mark, crashes: vec![crash], ..SuspectMessage::default() };
        prop_assert!(decode_suspects(&[message])[0].crashes[0].requests.len() <= 4);
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
        requests: Vec::new(),
    };
    let report = SuspectReport {
        suspect: RequestTrait { kind: TraitKind::Request, mark: TraitMark::MAX },
        organisation: Some(Arc::from("hule930")),
        version: 4,
        crashes: vec![crash; 3],
        cleared_ago: None,
        probed_ago: Some(Duration::from_mins(15)),
    };
    let bytes = encode_suspects(&[report])[0].encoded_len();
    assert!(bytes < 100, "{bytes} bytes");
}

/// Bandwidth that a host has for control. Unit: bytes per second.
const CONTROL_BANDWIDTH: usize = 15_000;

/// Guards the control bandwidth of a host: a frame of reports on prompt parts, each with three crashes, takes at most
/// what the host has for a second.
#[test]
fn a_frame_of_reports_on_prompt_parts_fits_into_a_second() {
    let crash = ReportedCrash {
        incarnation: u64::MAX,
        began_ago: Duration::from_mins(15),
        crashed_ago: Duration::from_mins(15),
        requests: vec![u64::MAX; 4],
    };
    let report = SuspectReport {
        suspect: RequestTrait { kind: TraitKind::PromptPart, mark: TraitMark::MAX },
        organisation: None,
        version: 0,
        crashes: vec![crash; 3],
        cleared_ago: Some(Duration::from_mins(15)),
        probed_ago: Some(Duration::from_mins(15)),
    };
    let bytes = encode_suspects(&[report])[0].encoded_len() * MAX_REPORTS_PER_FRAME;
    assert!(bytes <= CONTROL_BANDWIDTH, "{bytes} bytes");
}
