//! Organisations and their keys: who holds which, and that no key is ever shown.

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

fn shown(key: &str) -> PresentedKey {
    PresentedKey::from_values([key.as_bytes()].into_iter())
}

struct HolderCase {
    name: &'static str,
    key: PresentedKey,
    holder: Result<&'static str, KeyError>,
}

#[test]
fn a_key_leads_to_the_one_organisation_that_lists_it() {
    let mut directory = OrganisationDirectory::default();
    directory.insert(organisation("north"), digests(&["n1", "n2", "n1", "all"]));
    directory.insert(organisation("south"), digests(&["s1", "both", "all"]));
    directory.insert(organisation("west"), digests(&["both", "all"]));
    directory.insert(organisation("keyless"), digests(&[]));
    let cases = [
        HolderCase { name: "a key", key: shown("n2"), holder: Ok("north") },
        HolderCase { name: "listed twice by one", key: shown("n1"), holder: Ok("north") },
        HolderCase { name: "of the second", key: shown("s1"), holder: Ok("south") },
        HolderCase { name: "of two", key: shown("both"), holder: Err(KeyError::Unknown) },
        HolderCase { name: "of three", key: shown("all"), holder: Err(KeyError::Unknown) },
        HolderCase { name: "of nobody", key: shown("x"), holder: Err(KeyError::Unknown) },
        HolderCase { name: "empty", key: shown(""), holder: Err(KeyError::Unreadable) },
        HolderCase { name: "none", key: PresentedKey::Missing, holder: Err(KeyError::Missing) },
    ];
    for case in cases {
        let holder = directory.identify(&case.key).map(|entry| entry.name.to_string());
        assert_eq!(holder, case.holder.map(ToOwned::to_owned), "{}", case.name);
    }
    assert_eq!(directory.ambiguous_keys().len(), 2);
}

#[test]
fn no_key_is_shown_by_what_holds_it() {
    let secret = "asnmgkcuyj8pjbvk9m68";
    let mut directory = OrganisationDirectory::default();
    directory.insert(organisation("north"), digests(&[secret]));
    let key = shown(secret);
    let error = directory.identify(&shown("x")).expect_err("an unknown key");
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
fn requests_count_by_the_unit_of_the_quota() {
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
