//! A log that comes back from an older copy of itself: what it has lost, and what its hosts go on with.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis, NodeAction, NodeConfig, NodeCore, NodeEvent,
    claim::{ClaimItem, ClaimRecord},
    id::{KeyHash, LogOffset, RequestId, StoreEra, request_id},
    node::{ClockReading, LogStream},
    settings::{
        ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsFold,
        SettingsPath, fold::LogRecord,
    },
};

/// A publication on top of a revision; its number tells it apart.
fn publication(number: usize, base_revision: u64) -> Vec<u8> {
    #[expect(clippy::cast_precision_loss, reason = "a few publications")]
    let worth = 1.0 + number as f64;
    let action = EditAction::Set(SettingKey::Worth, SettingValue::Fraction(worth));
    let record = ChangeRecord {
        format: 1,
        change_id: format!("change-{number}"),
        base_revision,
        author: String::new(),
        message: String::new(),
        edits: vec![SettingsEdit { path: SettingsPath::site(), action }],
    };
    serde_json::to_vec(&record).expect("JSON")
}

/// One step of a history of the settings stream.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator publishes.
    Publish,
    /// The log comes back without its last records; the operator writes them again at once, or at the next step of this kind.
    Fall(usize),
    /// A host reads up to so many records.
    Read(usize, usize),
}

const HOSTS: usize = 3;

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Publish),
        2 => (0..4_usize).prop_map(Step::Fall),
        6 => (0..HOSTS, 1..4_usize).prop_map(|(host, count)| Step::Read(host, count)),
    ]
}

#[derive(Default)]
struct LogPlay {
    era: StoreEra,
    log: Vec<Vec<u8>>,
    owed: Vec<Vec<u8>>,
    published: usize,
    hosts: [SettingsFold; HOSTS],
}

impl LogPlay {
    fn take(&mut self, step: Step) {
        match step {
            Step::Publish => {
                self.log.append(&mut self.owed);
                let base_revision = self.log.len() as u64;
                self.log.push(publication(self.published, base_revision));
                self.published += 1;
            }
            Step::Fall(lost) => {
                self.era += 1;
                self.owed.splice(..0, self.log.split_off(self.log.len().saturating_sub(lost)));
            }
            Step::Read(host, count) => self.read(host, count),
        }
    }

    fn read(&mut self, host: usize, count: usize) {
        let fold = &mut self.hosts[host];
        fold.enter(self.era);
        let from = usize::try_from(fold.next_offset()).expect("a short log");
        for (offset, payload) in self.log.iter().enumerate().skip(from).take(count) {
            let (offset, payload) = (offset as LogOffset, payload.clone());
            fold.fold(LogRecord { offset, written_millis: 0, payload });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(410),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No host goes back to an older revision, and once the operator has written again what was lost, and all have read it, they agree.
    #[test]
    fn no_host_goes_back_and_all_agree_in_the_end(
        steps in proptest::collection::vec(any_step(), 1..60),
    ) {
        let mut play = LogPlay::default();
        let mut known = [0; HOSTS];
        for step in steps {
            play.take(step);
            for (host, known) in known.iter_mut().enumerate() {
                let revision = play.hosts[host].revision();
                prop_assert!(revision >= *known, "host {host} went from {known} to {revision}");
                *known = revision;
            }
        }
        play.take(Step::Publish);
        for host in 0..HOSTS {
            play.read(host, usize::MAX);
            let fold = &play.hosts[host];
            prop_assert_eq!(fold.revision(), play.log.len() as u64);
            prop_assert_eq!(fold.tree(), play.hosts[0].tree());
            prop_assert_eq!(fold.snapshot().digest, play.hosts[0].snapshot().digest);
        }
    }
}

const HOST: u32 = 1;

const KEY: KeyHash = 77;

fn reading(millis: u64) -> ClockReading {
    ClockReading { now: ClockMillis::from_millis(millis), wall_millis: millis }
}

fn claims_read(era: StoreEra, records: Vec<LogRecord>) -> NodeEvent {
    let end = records.last().map_or(0, |record| record.offset + 1);
    NodeEvent::LogRead { stream: LogStream::Claims, era, first: 0, records, end }
}

/// Returns the claims that a host appends.
fn appended_claims(orders: &[NodeAction]) -> Vec<(KeyHash, RequestId)> {
    let payloads = orders.iter().filter_map(|order| match order {
        NodeAction::Append { stream: LogStream::Claims, payload, .. } => Some(payload),
        _ => None,
    });
    let records = payloads
        .map(|payload| serde_json::from_slice::<ClaimRecord>(payload).expect("a record of claims"));
    records.flat_map(|record| record.claims).filter_map(|item| item.parse()).collect()
}

/// A key that had been claimed could be claimed once more, and its request ran twice, as soon as the log had lost the claim: hosts that
/// started since knew nothing of it.
#[test]
fn claims_that_the_log_has_lost_are_written_again_before_any_key_is_claimed() {
    let mut core = NodeCore::new(NodeConfig::new(HOST, 9, 1));
    core.start(reading(1));
    let own = request_id(HOST, 1, 5);
    let claim = ClaimRecord::new(vec![ClaimItem::new(KEY, own)], Vec::new());
    let record = LogRecord { offset: 0, written_millis: 1, payload: claim.to_json() };
    core.handle(reading(2), claims_read(0, vec![record]));
    assert!(core.status().claims_open);
    let mut orders = core.handle(reading(5000), claims_read(1, Vec::new()));
    let followed = |stream: LogStream| {
        orders.iter().any(
            |order| matches!(order, NodeAction::Follow { stream: told, from: 0 } if *told == stream),
        )
    };
    assert!(LogStream::ALL.into_iter().all(followed), "{orders:?}");
    assert!(!core.status().claims_open, "claims may still be missing");
    for millis in (5100..8900).step_by(100) {
        orders.extend(core.handle(reading(millis), NodeEvent::Tick));
    }
    assert_eq!(appended_claims(&orders), [(KEY, own)]);
    assert!(!core.status().claims_open);
    core.handle(reading(9100), NodeEvent::Tick);
    assert!(core.status().claims_open, "{:?}", Duration::from_millis(4100));
    // What an earlier era still tells is old.
    let late = LogRecord { offset: 3, written_millis: 1, payload: claim.to_json() };
    assert!(core.handle(reading(9200), claims_read(0, vec![late])).is_empty());
}
