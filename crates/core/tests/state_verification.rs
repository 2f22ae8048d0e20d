//! When a host's state is verified after restores of the store.

use std::net::SocketAddr;

use reelreel_core::{
    ClockMillis,
    fleet::state_verification::{StateAge, StateVerification, VerificationSource},
};

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Something that a host learns.
#[derive(Clone, Copy)]
enum Step {
    /// An era of the store, and how up to date the host's state is then.
    Era(u64, StateAge),
    CompleteState,
    VerifiedPeer,
    /// The restore record, requested at this time.
    RestoreRecord(u64),
    Tick,
}

struct VerificationCase {
    name: &'static str,
    /// The steps with their times. Unit: milliseconds.
    steps: &'static [(u64, Step)],
    source: Option<VerificationSource>,
    /// The earliest time of a read that confirms the configuration; `None` if no read does.
    confirmed_from: Option<u64>,
    verifies_others: bool,
}

const CASES: &[VerificationCase] = &[
    VerificationCase {
        name: "a store that was never restored",
        steps: &[(5, Step::CompleteState)],
        source: Some(VerificationSource::NeverRestored),
        confirmed_from: Some(0),
        verifies_others: true,
    },
    VerificationCase {
        name: "a start after a restore",
        steps: &[
            (5, Step::Era(1, StateAge::Outdated)),
            (6, Step::CompleteState),
            (4004, Step::Tick),
        ],
        source: None,
        confirmed_from: None,
        verifies_others: false,
    },
    VerificationCase {
        name: "a start after a restore, once the grace period is over",
        steps: &[
            (5, Step::Era(1, StateAge::Outdated)),
            (6, Step::CompleteState),
            (4005, Step::Tick),
        ],
        source: Some(VerificationSource::GracePeriod),
        confirmed_from: Some(4005),
        verifies_others: true,
    },
    VerificationCase {
        name: "a verified peer",
        steps: &[
            (5, Step::Era(1, StateAge::Outdated)),
            (300, Step::VerifiedPeer),
            (4005, Step::Tick),
        ],
        source: Some(VerificationSource::Peer(PEER)),
        confirmed_from: Some(0),
        verifies_others: true,
    },
    VerificationCase {
        name: "a restore record",
        steps: &[(5, Step::Era(1, StateAge::Outdated)), (300, Step::RestoreRecord(250))],
        source: Some(VerificationSource::RestoreRecord),
        confirmed_from: Some(250),
        verifies_others: true,
    },
    VerificationCase {
        name: "a restore while the host follows the store",
        steps: &[(5, Step::CompleteState), (900, Step::Era(1, StateAge::Recent))],
        source: Some(VerificationSource::NeverRestored),
        confirmed_from: Some(0),
        verifies_others: true,
    },
    VerificationCase {
        name: "a restore while the host was suspended or cut off",
        steps: &[
            (5, Step::CompleteState),
            (9000, Step::Era(1, StateAge::Outdated)),
            (9100, Step::CompleteState),
        ],
        source: None,
        confirmed_from: None,
        verifies_others: false,
    },
    VerificationCase {
        name: "a restore while the host was suspended or cut off for a short time",
        steps: &[(5, Step::CompleteState), (900, Step::Era(1, StateAge::Unconfirmed))],
        source: Some(VerificationSource::NeverRestored),
        confirmed_from: Some(0),
        verifies_others: false,
    },
    VerificationCase {
        name: "the same, and then a verified peer",
        steps: &[
            (5, Step::CompleteState),
            (900, Step::Era(1, StateAge::Unconfirmed)),
            (1000, Step::VerifiedPeer),
        ],
        source: Some(VerificationSource::NeverRestored),
        confirmed_from: Some(0),
        verifies_others: true,
    },
    VerificationCase {
        name: "the same, once the grace period is over",
        steps: &[
            (5, Step::CompleteState),
            (900, Step::Era(1, StateAge::Unconfirmed)),
            (4900, Step::Tick),
        ],
        source: Some(VerificationSource::NeverRestored),
        confirmed_from: Some(0),
        verifies_others: true,
    },
    VerificationCase {
        name: "a second restore before the first is settled",
        steps: &[
            (5, Step::Era(1, StateAge::Outdated)),
            (3000, Step::Era(2, StateAge::Outdated)),
            (5000, Step::Tick),
        ],
        source: None,
        confirmed_from: None,
        verifies_others: false,
    },
    VerificationCase {
        name: "an earlier era that is reported late",
        steps: &[
            (5, Step::Era(2, StateAge::Outdated)),
            (6, Step::VerifiedPeer),
            (90, Step::Era(1, StateAge::Outdated)),
        ],
        source: Some(VerificationSource::Peer(PEER)),
        confirmed_from: Some(0),
        verifies_others: true,
    },
];

/// Guards against a restored store that confirms a configuration with revoked keys.
#[test]
fn a_restored_store_verifies_no_state_by_itself() {
    for case in CASES {
        let mut verification = StateVerification::new(ClockMillis::default());
        for (millis, step) in case.steps {
            let now = ClockMillis::from_millis(*millis);
            match *step {
                Step::Era(era, age) => verification.begin_era(era, age, now),
                Step::CompleteState => verification.record_complete_state(),
                Step::VerifiedPeer => verification.record_verified_peer(PEER),
                Step::RestoreRecord(asked_at) => {
                    verification.record_restore_record(ClockMillis::from_millis(asked_at));
                }
                Step::Tick => verification.tick(now),
            }
        }
        assert_eq!(verification.source(), case.source, "{}", case.name);
        assert_eq!(verification.verifies_others(), case.verifies_others, "{}", case.name);
        let is_confirmed =
            |millis| verification.is_confirmed_by_read(ClockMillis::from_millis(millis));
        match case.confirmed_from {
            Some(millis) => {
                assert!(is_confirmed(millis), "{}", case.name);
                assert!(millis == 0 || !is_confirmed(millis - 1), "{}", case.name);
            }
            None => assert!(!is_confirmed(u64::MAX), "{}", case.name),
        }
    }
}
