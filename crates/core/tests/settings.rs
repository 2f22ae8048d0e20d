//! Tests of the settings tree: TOML files, inheritance, publications and snapshots.

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::settings::{
    ChangeRecord, ChangeRefusal, EditAction, FoldHalt, SettingKey, SettingOrigin, SettingValue,
    SettingsEdit, SettingsFold, SettingsPath, SettingsSnapshot, SettingsTree, SnapshotError,
    fold::LogRecord, read_tree, tree::ModelError,
};

const TREE: &str = r#"
worth = 2
[service.assist]
base_model = "base"
deadline_ms = 4000
[service.assist.organisation.north]
worth = 3.5
[service.assist.organisation.north.adapter.brakes]
version = 2
versions = [1, 2]
[service.assist.organisation.south.adapter.audits]
versions = [7]
[service.other.organisation.south.adapter.audits]
version = 1
[service.empty.organisation.west.adapter.bare]
worth = 1
"#;

fn tree() -> SettingsTree {
    read_tree(TREE).expect("the tree is valid")
}

struct SourceErrorCase {
    text: &'static str,
    /// Line, column and part of the message of each error.
    errors: &'static [(usize, usize, &'static str)],
}

const SOURCE_ERRORS: &[SourceErrorCase] = &[
    SourceErrorCase { text: "worth = \n", errors: &[(1, 9, "not valid TOML")] },
    SourceErrorCase { text: "wroth = 1\n", errors: &[(1, 1, "did you mean `worth`")] },
    SourceErrorCase { text: "worth = -1\n", errors: &[(1, 9, "a number from 0 to 1000000")] },
    SourceErrorCase { text: "version = 1\n", errors: &[(1, 1, "cannot be set at site level")] },
    SourceErrorCase {
        text: "[service.a]\nkind = \"engin\"\n",
        errors: &[(2, 8, "one of engine, plain")],
    },
    SourceErrorCase { text: "[service.\"a b\"]\n", errors: &[(1, 10, "is not a valid name")] },
    SourceErrorCase { text: "service = 3\n", errors: &[(1, 11, "must hold tables")] },
    SourceErrorCase {
        text: "[service.a.organisation.b.adapter.c]\nversion = 3\nversions = [1]\n",
        errors: &[(2, 11, "is not among `versions`")],
    },
    SourceErrorCase {
        text: "worth = true\nshare = \"x\"\n[service.a]\nqueue_limit = 1.5\nzzzz = 1\n",
        errors: &[
            (1, 9, "`worth` must be"),
            (2, 9, "`share` must be"),
            (4, 15, "`queue_limit` must be"),
            (5, 1, "unknown key `zzzz`"),
        ],
    },
];

#[test]
fn every_error_in_a_file_is_reported_with_its_position() {
    for case in SOURCE_ERRORS {
        let found = read_tree(case.text).expect_err(case.text);
        assert_eq!(found.len(), case.errors.len(), "{}: {found:?}", case.text);
        for (found, (line, column, part)) in found.iter().zip(case.errors) {
            assert_eq!((found.line, found.column), (*line, *column), "{found}");
            assert!(found.message.contains(part), "{found}");
        }
    }
}

#[test]
fn every_default_is_valid_for_its_key() {
    for key in SettingKey::ALL.iter().filter(|key| !key.default_text().is_empty()) {
        let value = key.default_value().unwrap_or_else(|| panic!("{} default", key.name()));
        assert!(key.validate(value).is_ok(), "{}", key.name());
        assert_eq!(SettingKey::find(key.name()), Some(*key));
    }
}

struct ValueCase {
    path: &'static str,
    key: SettingKey,
    value: SettingValue,
    from: Option<&'static str>,
}

#[test]
fn a_node_inherits_values_it_does_not_override() {
    let cases = [
        ValueCase {
            path: "assist/north/brakes",
            key: SettingKey::Worth,
            value: SettingValue::Float(3.5),
            from: Some("assist/north"),
        },
        ValueCase {
            path: "assist/south/audits",
            key: SettingKey::Worth,
            value: SettingValue::Float(2.0),
            from: Some("/"),
        },
        ValueCase {
            path: "assist/south/audits",
            key: SettingKey::DeadlineMs,
            value: SettingValue::Integer(4000),
            from: Some("assist"),
        },
        ValueCase {
            path: "other/south",
            key: SettingKey::QueueLimit,
            value: SettingValue::Integer(64),
            from: None,
        },
    ];
    let tree = tree();
    for case in cases {
        let path = SettingsPath::parse(case.path).expect("a path");
        let (value, origin) = tree.effective_value(&path, case.key).expect("a value");
        let from = match origin {
            SettingOrigin::Node(path) => Some(path.to_string()),
            SettingOrigin::Default => None,
        };
        assert_eq!((value, from.as_deref()), (case.value, case.from), "{}", case.path);
    }
}

struct ResolveCase {
    model: &'static str,
    /// The adapter name for engines, or a predicate on the error.
    found: Result<&'static str, fn(&ModelError) -> bool>,
}

#[test]
fn a_model_resolves_to_one_immutable_version_or_to_none() {
    let cases = [
        ResolveCase { model: "north/brakes", found: Ok("assist/north/brakes@2") },
        ResolveCase { model: "north/brakes@1", found: Ok("assist/north/brakes@1") },
        ResolveCase { model: "assist/south/audits", found: Ok("assist/south/audits@7") },
        ResolveCase {
            model: "south/audits",
            found: Err(|error| matches!(error, ModelError::Ambiguous(_))),
        },
        ResolveCase {
            model: "north/brakes@3",
            found: Err(|error| matches!(error, ModelError::UnknownVersion { version: 3, .. })),
        },
        ResolveCase {
            model: "north/nothing",
            found: Err(|error| matches!(error, ModelError::UnknownAdapter(_))),
        },
        ResolveCase {
            model: "assist/north/brakes/x",
            found: Err(|error| matches!(error, ModelError::Malformed(_))),
        },
        ResolveCase {
            model: "brakes",
            found: Err(|error| matches!(error, ModelError::Malformed(_))),
        },
        ResolveCase {
            model: "north/brakes@two",
            found: Err(|error| matches!(error, ModelError::Malformed(_))),
        },
        ResolveCase {
            model: "west/bare",
            found: Err(|error| matches!(error, ModelError::NoVersion(_))),
        },
    ];
    let mut tree = tree();
    tree.reindex();
    for case in cases {
        match (tree.resolve(case.model), case.found) {
            (Ok(found), Ok(name)) => {
                assert_eq!(tree.adapter_name(found.adapter).as_deref(), Some(name));
                assert_eq!(tree.adapter_key(name), Some(found.adapter));
            }
            (Err(error), Err(check)) => assert!(check(&error), "{}: {error}", case.model),
            (found, _) => panic!("{}: {found:?}", case.model),
        }
    }
}

#[test]
fn a_tree_round_trips_through_toml() {
    let tree = tree();
    let again = read_tree(&tree.to_toml()).expect("the written file is valid");
    assert!(tree.diff_edits(&again).is_empty(), "{:?}", tree.diff_edits(&again));
}

fn set_worth(path: &str, worth: f64) -> SettingsEdit {
    let path = SettingsPath::parse(path).expect("a path");
    let value = SettingValue::Float(worth);
    SettingsEdit { path, action: EditAction::Set(SettingKey::Worth, value) }
}

fn remove(path: &str) -> SettingsEdit {
    let path = SettingsPath::parse(path).expect("a path");
    SettingsEdit { path, action: EditAction::Remove }
}

fn record(id: &str, base_revision: u64, edits: Vec<SettingsEdit>) -> ChangeRecord {
    ChangeRecord {
        format: 1,
        change_id: id.to_owned(),
        base_revision,
        author: String::from("test"),
        message: String::new(),
        edits,
    }
}

fn log_record(offset: u64, payload: Vec<u8>) -> LogRecord {
    LogRecord { offset, written_millis: offset, payload }
}

fn fold_of(payloads: &[Vec<u8>]) -> SettingsFold {
    let mut fold = SettingsFold::default();
    for (offset, payload) in (0..).zip(payloads) {
        fold.fold(log_record(offset, payload.clone()));
    }
    fold
}

fn json(record: &ChangeRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record is JSON")
}

fn initial_publication() -> Vec<u8> {
    json(&record("first", 0, SettingsTree::default().diff_edits(&tree())))
}

struct ConflictCase {
    name: &'static str,
    /// Publications after the initial one, all based on revision 1.
    publications: Vec<Vec<SettingsEdit>>,
    accepted: Vec<bool>,
}

#[test]
fn one_conflicting_publication_is_accepted_and_the_others_are_refused() {
    let cases = [
        ConflictCase {
            name: "the same node",
            publications: vec![vec![set_worth("assist", 1.0)], vec![set_worth("assist", 2.0)]],
            accepted: vec![true, false],
        },
        ConflictCase {
            name: "different nodes",
            publications: vec![vec![set_worth("assist", 1.0)], vec![set_worth("other", 2.0)]],
            accepted: vec![true, true],
        },
        ConflictCase {
            name: "a change below a removed node",
            publications: vec![
                vec![remove("assist/north")],
                vec![set_worth("assist/north/brakes", 2.0)],
            ],
            accepted: vec![true, false],
        },
        ConflictCase {
            name: "a removal of a node with changes below",
            publications: vec![
                vec![set_worth("assist/north/brakes", 2.0)],
                vec![remove("assist/north")],
            ],
            accepted: vec![true, false],
        },
        ConflictCase {
            name: "edits of a publication are atomic",
            publications: vec![
                vec![set_worth("assist", 1.0)],
                vec![set_worth("other", 9.0), set_worth("assist", 2.0)],
                vec![set_worth("other", 5.0)],
            ],
            accepted: vec![true, false, true],
        },
        ConflictCase {
            name: "a duplicate append",
            publications: vec![vec![set_worth("assist", 1.0)], vec![set_worth("assist", 1.0)]],
            accepted: vec![true, false],
        },
    ];
    for case in cases {
        let mut payloads = vec![initial_publication()];
        for (index, edits) in case.publications.into_iter().enumerate() {
            payloads.push(json(&record(&format!("change-{index}"), 1, edits)));
        }
        let fold = fold_of(&payloads);
        let verdicts: Vec<_> = fold.verdicts().skip(1).collect();
        let accepted: Vec<bool> = verdicts.iter().map(|verdict| verdict.result.is_ok()).collect();
        assert_eq!(accepted, case.accepted, "{}: {verdicts:?}", case.name);
        for verdict in verdicts.iter().filter(|verdict| verdict.result.is_err()) {
            assert!(matches!(verdict.result, Err(ChangeRefusal::Conflict { .. })), "{verdict:?}");
        }
    }
}

#[test]
fn a_refused_publication_changes_nothing() {
    let bad = SettingValue::Integer(-5);
    let path = SettingsPath::parse("assist").expect("a path");
    let edit = SettingsEdit { path, action: EditAction::Set(SettingKey::DeadlineMs, bad) };
    let ahead = json(&record("ahead", 9, vec![set_worth("assist", 1.0)]));
    let payloads = [
        initial_publication(),
        json(&record("bad", 1, vec![set_worth("other", 8.0), edit])),
        ahead,
    ];
    let fold = fold_of(&payloads);
    assert_eq!(fold.revision(), 1);
    assert_eq!(fold.snapshot().tree, fold_of(&payloads[..1]).snapshot().tree);
    let verdicts: Vec<_> = fold.verdicts().map(|verdict| verdict.result.clone()).collect();
    assert!(matches!(verdicts[1], Err(ChangeRefusal::Invalid { .. })), "{verdicts:?}");
    assert!(matches!(verdicts[2], Err(ChangeRefusal::BaseAhead { base: 9, .. })), "{verdicts:?}");
}

#[test]
fn a_damaged_record_is_refused_and_folding_continues() {
    let good = json(&record("good", 1, vec![set_worth("assist", 1.0)]));
    let mut truncated = good.clone();
    truncated.truncate(good.len() / 2);
    let fold = fold_of(&[initial_publication(), truncated, good]);
    let verdicts: Vec<_> = fold.verdicts().map(|verdict| verdict.result.is_ok()).collect();
    assert_eq!(verdicts, [true, false, true]);
    assert_eq!(fold.revision(), 2);
}

#[test]
fn a_record_with_a_newer_format_stops_the_fold() {
    let newer = br#"{"format":2,"something":"else"}"#.to_vec();
    let good = json(&record("good", 1, vec![set_worth("assist", 1.0)]));
    let fold = fold_of(&[initial_publication(), newer, good]);
    assert_eq!(fold.revision(), 1);
    let halt = fold.halt().expect("the fold halted");
    assert_eq!(*halt, FoldHalt::NewerFormat { offset: 1, format: 2, revision: 1 });
    assert!(halt.to_string().contains("update this host"), "{halt}");
}

#[test]
fn a_gap_in_the_log_stops_the_fold_until_a_snapshot_covers_it() {
    let payloads = [
        initial_publication(),
        json(&record("a", 1, vec![set_worth("assist", 1.0)])),
        json(&record("b", 1, vec![set_worth("other", 1.0)])),
        json(&record("c", 3, vec![set_worth("assist", 7.0)])),
    ];
    let complete = fold_of(&payloads);
    let mut lagging = fold_of(&payloads[..1]);
    assert!(!lagging.fold(log_record(3, payloads[3].clone())), "a record after a gap is skipped");
    assert_eq!(lagging.revision(), 1);
    let snapshot = fold_of(&payloads[..3]).snapshot();
    let read = SettingsSnapshot::from_json(&snapshot.to_json()).expect("the snapshot parses");
    assert!(lagging.install_snapshot(read).expect("the digest matches"));
    assert!(lagging.fold(log_record(3, payloads[3].clone())));
    assert_eq!(lagging.snapshot(), complete.snapshot());
    assert_eq!(lagging.tree().adapter_count(), complete.tree().adapter_count());
}

#[test]
fn an_invalid_or_older_snapshot_is_not_installed() {
    let payloads = [initial_publication(), json(&record("a", 1, vec![set_worth("assist", 1.0)]))];
    let complete = fold_of(&payloads);
    let mut tampered = complete.snapshot();
    tampered.tree = tampered.tree.replace("3.5", "9.5");
    let mut fresh = SettingsFold::default();
    assert_eq!(fresh.install_snapshot(tampered), Err(SnapshotError::DigestMismatch(2)));
    assert_eq!(fresh.revision(), 0);
    let mut newer = complete.snapshot();
    newer.format = 2;
    assert_eq!(fresh.install_snapshot(newer), Err(SnapshotError::NewerFormat(2)));
    let older = fold_of(&payloads[..1]).snapshot();
    let mut ahead = complete;
    assert_eq!(ahead.install_snapshot(older), Ok(false));
    assert_eq!(ahead.revision(), 2);
    assert!(matches!(SettingsSnapshot::from_json(b"{"), Err(SnapshotError::Damaged(_))));
}

fn any_edit() -> impl Strategy<Value = SettingsEdit> {
    let name = prop::sample::select(vec!["a", "b", "c"]);
    let path =
        (name.clone(), name.clone(), name, 1..4usize).prop_map(|(one, two, three, depth)| {
            let path = [one, two, three][..depth].join("/");
            SettingsPath::parse(&path).expect("short names")
        });
    let action = prop_oneof![
        (0.0..9.0f64)
            .prop_map(|worth| { EditAction::Set(SettingKey::Worth, SettingValue::Float(worth)) }),
        Just(EditAction::Unset(SettingKey::Worth)),
        Just(EditAction::Create),
        Just(EditAction::Remove),
    ];
    (path, action).prop_map(|(path, action)| SettingsEdit { path, action })
}

fn any_log() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let publication = (0..12u64, prop::collection::vec(any_edit(), 1..4))
        .prop_map(|(base, edits)| json(&record("random", base, edits)));
    prop::collection::vec(publication, 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x5e77),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A snapshot at any offset and repeated records produce the same state as a single pass.
    #[test]
    fn snapshots_and_repeated_records_produce_the_same_tree(log in any_log(), cut in 0..24usize) {
        let complete = fold_of(&log);
        let cut = cut.min(log.len());
        let mut by_snapshot = SettingsFold::default();
        by_snapshot.install_snapshot(fold_of(&log[..cut]).snapshot()).expect("a valid snapshot");
        for _ in 0..2 {
            for (offset, payload) in (0..).zip(&log) {
                by_snapshot.fold(log_record(offset, payload.clone()));
            }
        }
        prop_assert_eq!(by_snapshot.snapshot(), complete.snapshot());
        let records = complete.records_from(0).expect("all records are retained");
        prop_assert_eq!(records.len(), log.len());
    }

    /// The revision never decreases, and rises by one for each accepted record.
    #[test]
    fn the_revision_never_decreases(log in any_log()) {
        let mut fold = SettingsFold::default();
        let mut last = 0;
        for (offset, payload) in (0..).zip(&log) {
            fold.fold(log_record(offset, payload.clone()));
            prop_assert!(fold.revision() == last || fold.revision() == last + 1);
            last = fold.revision();
        }
    }

    /// Applying the edits from `diff_edits` yields the target tree.
    #[test]
    fn diff_edits_turn_any_tree_into_any_other(one in any_log(), two in any_log()) {
        let (one, two) = (fold_of(&one), fold_of(&two));
        let edits = one.tree().diff_edits(two.tree());
        let mut reached = one.tree().clone();
        reached.apply_change(&record("towards", 0, edits), 99);
        let left = reached.diff_edits(two.tree());
        prop_assert!(left.is_empty(), "{left:?}");
    }
}

#[test]
fn the_example_trees_are_valid_and_their_models_resolve() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["dev.toml", "kigali.toml", "ljubljana.toml"] {
        let text = std::fs::read_to_string(format!("{folder}/{name}")).expect("an example");
        let mut tree = read_tree(&text).unwrap_or_else(|errors| panic!("{name}: {errors:?}"));
        tree.reindex();
        assert!(tree.adapter_count() >= 4, "{name}");
        for model in tree.model_names().map(str::to_owned).collect::<Vec<_>>() {
            assert!(tree.resolve(&model).is_ok(), "{name}: {model}");
        }
    }
}
