//! Organisations and their keys: which organisation owns a key, and that keys never appear in output.

use std::sync::Arc;

use reelreel_core::organisation::{
    KeyError, OrganisationDirectory, OrganisationEntry,
    key::{KeyDigest, PresentedKey},
    quota::{QuotaLimit, QuotaUnit},
};

fn organisation(name: &str) -> OrganisationEntry {
    OrganisationEntry { name: Arc::from(name), priority: None, quota: None }
}

fn digests(keys: &[&str]) -> Vec<KeyDigest> {
    keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect()
}

fn presented(key: &str) -> PresentedKey {
    PresentedKey::from_values([key.as_bytes()].into_iter())
}

struct OwnerCase {
    name: &'static str,
    key: PresentedKey,
    owner: Result<&'static str, KeyError>,
}

#[test]
fn a_key_identifies_the_one_organisation_that_lists_it() {
    let mut directory = OrganisationDirectory::default();
    directory.insert(organisation("north"), digests(&["n1", "n2", "n1", "all"]));
    directory.insert(organisation("south"), digests(&["s1", "both", "all"]));
    directory.insert(organisation("west"), digests(&["both", "all"]));
    directory.insert(organisation("keyless"), digests(&[]));
    let cases = [
        OwnerCase { name: "unique key", key: presented("n2"), owner: Ok("north") },
        OwnerCase {
            name: "listed twice by one organisation",
            key: presented("n1"),
            owner: Ok("north"),
        },
        OwnerCase { name: "of another organisation", key: presented("s1"), owner: Ok("south") },
        OwnerCase {
            name: "listed by two organisations",
            key: presented("both"),
            owner: Err(KeyError::Unknown),
        },
        OwnerCase {
            name: "listed by three organisations",
            key: presented("all"),
            owner: Err(KeyError::Unknown),
        },
        OwnerCase { name: "unlisted key", key: presented("x"), owner: Err(KeyError::Unknown) },
        OwnerCase { name: "empty key", key: presented(""), owner: Err(KeyError::Unreadable) },
        OwnerCase { name: "no key", key: PresentedKey::Missing, owner: Err(KeyError::Missing) },
    ];
    for case in cases {
        let owner = directory.identify(&case.key).map(|entry| entry.name.to_string());
        assert_eq!(owner, case.owner.map(ToOwned::to_owned), "{}", case.name);
    }
    assert_eq!(directory.ambiguous_keys().len(), 2);
}

#[test]
fn keys_never_appear_in_debug_output_or_errors() {
    let secret = "asnmgkcuyj8pjbvk9m68";
    let mut directory = OrganisationDirectory::default();
    directory.insert(organisation("north"), digests(&[secret]));
    let key = presented(secret);
    let error = directory.identify(&presented("x")).expect_err("an unknown key");
    for text in [format!("{directory:?}"), format!("{key:?}"), format!("{error} {error:?}")] {
        assert!(!text.contains(secret), "{text}");
    }
    assert_eq!(key.fingerprint().map(|text| text.len()), Some(8));
}

struct CostCase {
    unit: QuotaUnit,
    tokens: Option<u64>,
    cost: u64,
}

#[test]
fn requests_are_charged_in_the_unit_of_the_quota() {
    let cases = [
        CostCase { unit: QuotaUnit::Requests, tokens: Some(1540), cost: 1 },
        CostCase { unit: QuotaUnit::Requests, tokens: None, cost: 1 },
        CostCase { unit: QuotaUnit::Tokens { default_cost: 200 }, tokens: Some(1540), cost: 1540 },
        CostCase { unit: QuotaUnit::Tokens { default_cost: 200 }, tokens: None, cost: 200 },
    ];
    for case in cases {
        let limit = QuotaLimit { per_second: 1.0, burst: 1.0, unit: case.unit };
        assert_eq!(limit.cost(case.tokens), case.cost, "{:?}", case.unit);
    }
}
