//! Tests of settings and claims when the log is restored from an older copy and loses records.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis, NodeConfig, NodeCore, NodeEvent, NodeOrder,
    claim::{ClaimItem, ClaimRecord},
    id::{KeyHash, LogOffset, RequestId, StoreEra, request_id},
    node::{LogStream, NodeReading},
    settings::{
        ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsFold,
        SettingsPath, fold::LogRecord,
    },
};

/// Returns a publication based on a revision, with a distinct value for each number.
fn publication(number: usize, base_revision: u64) -> Vec<u8> {
    #[expect(clippy::cast_precision_loss, reason = "a few publications")]
    let worth = 1.0 + number as f64;
    let action = EditAction::Set(SettingKey::Worth, SettingValue::Float(worth));
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

/// One step of a generated history of the settings stream.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator publishes.
    Publish,
    /// The log is restored without its last records. The next `Publish` appends them again.
    Rollback(usize),
    /// A host (first field) reads up to the given number of records.
    Read(usize, usize),
}

const HOSTS: usize = 3;

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Publish),
        2 => (0..4_usize).prop_map(Step::Rollback),
        6 => (0..HOSTS, 1..4_usize).prop_map(|(host, count)| Step::Read(host, count)),
    ]
}

#[derive(Default)]
struct LogModel {
    era: StoreEra,
    log: Vec<Vec<u8>>,
    lost_records: Vec<Vec<u8>>,
    published: usize,
    hosts: [SettingsFold; HOSTS],
}

impl LogModel {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish => {
                self.log.append(&mut self.lost_records);
                let base_revision = self.log.len() as u64;
                self.log.push(publication(self.published, base_revision));
                self.published += 1;
            }
            Step::Rollback(lost) => {
                self.era += 1;
                self.lost_records
                    .splice(..0, self.log.split_off(self.log.len().saturating_sub(lost)));
            }
            Step::Read(host, count) => self.read(host, count),
        }
    }

    fn read(&mut self, host: usize, count: usize) {
        let fold = &mut self.hosts[host];
        fold.enter_era(self.era);
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

    /// Guards against a host that rolls back to an older revision, and against hosts that still
    /// differ after the lost records were published again and read by all.
    #[test]
    fn revisions_never_decrease_and_hosts_converge(
        steps in proptest::collection::vec(any_step(), 1..60),
    ) {
        let mut model = LogModel::default();
        let mut highest_revisions = [0; HOSTS];
        for step in steps {
            model.apply(step);
            for (host, highest) in highest_revisions.iter_mut().enumerate() {
                let revision = model.hosts[host].revision();
                prop_assert!(revision >= *highest, "host {host} went from {highest} to {revision}");
                *highest = revision;
            }
        }
        model.apply(Step::Publish);
        for host in 0..HOSTS {
            model.read(host, usize::MAX);
            let fold = &model.hosts[host];
            prop_assert_eq!(fold.revision(), model.log.len() as u64);
            prop_assert_eq!(fold.tree(), model.hosts[0].tree());
            prop_assert_eq!(fold.snapshot().digest, model.hosts[0].snapshot().digest);
        }
    }
}

const HOST: u32 = 1;

const KEY: KeyHash = 77;

fn reading(millis: u64) -> NodeReading {
    NodeReading { now: ClockMillis::from_millis(millis), wall_millis: millis }
}

fn claims_read_event(era: StoreEra, records: Vec<LogRecord>) -> NodeEvent {
    let end = records.last().map_or(0, |record| record.offset + 1);
    NodeEvent::LogRead { stream: LogStream::Claims, era, first: 0, records, end }
}

/// Returns the claims that a host appended.
fn appended_claims(orders: &[NodeOrder]) -> Vec<(KeyHash, RequestId)> {
    let payloads = orders.iter().filter_map(|order| match order {
        NodeOrder::Append { stream: LogStream::Claims, payload, .. } => Some(payload),
        _ => None,
    });
    let records = payloads
        .map(|payload| serde_json::from_slice::<ClaimRecord>(payload).expect("a record of claims"));
    records.flat_map(|record| record.claims).filter_map(|item| item.read()).collect()
}

/// Guards against a request that runs twice: a host that starts after the log has lost a claim could
/// claim its key again.
#[test]
fn claims_lost_by_the_log_are_rewritten_before_any_key_is_claimed() {
    let mut core = NodeCore::new(NodeConfig::new(HOST, 9, 1));
    core.start(reading(1));
    let own = request_id(HOST, 1, 5);
    let claim = ClaimRecord::new(vec![ClaimItem::new(KEY, own)], Vec::new());
    let record = LogRecord { offset: 0, written_millis: 1, payload: claim.to_json() };
    core.handle(reading(2), claims_read_event(0, vec![record]));
    assert!(core.status().claims_open);
    let mut orders = core.handle(reading(5000), claims_read_event(1, Vec::new()));
    let followed = |stream: LogStream| {
        orders.iter().any(
            |order| matches!(order, NodeOrder::Follow { stream: other, from: 0 } if *other == stream),
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
    // Records of an earlier era are ignored.
    let stale_record = LogRecord { offset: 3, written_millis: 1, payload: claim.to_json() };
    assert!(core.handle(reading(9200), claims_read_event(0, vec![stale_record])).is_empty());
}
