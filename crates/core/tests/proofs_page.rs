//! Checks that docs/PROOFS.md names only existing tests and states the number of fault tables.

use std::{fs, path::Path};

fn read_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("the directory is readable").flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("target") {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("the source is UTF-8"));
        }
    }
}

#[test]
fn every_test_and_mutation_on_the_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/PROOFS.md")).expect("docs/PROOFS.md is readable");
    let mut text = String::new();
    for directory in ["crates", "platform"] {
        read_sources(&root.join(directory), &mut text);
    }
    let mut named = 0;
    for name in page.split('`').skip(1).step_by(2) {
        let is_test = name.contains('_') && name.chars().all(|c| c.is_lowercase() || c == '_');
        let is_mutation = name.chars().all(char::is_alphabetic) && name.len() > 8;
        if is_test && !name.ends_with("_ms") {
            named += 1;
            assert!(text.contains(&format!("fn {name}(")), "no test is named {name}");
        } else if is_mutation {
            assert!(text.contains(name), "nothing is named {name}");
        }
    }
    assert!(named > 15, "{named} tests are named");
    let tables = fs::read_dir(root.join("crates/core/tests/matrix"))
        .expect("the tables are readable")
        .count();
    assert!(page.contains(&format!("{tables} tables")), "there are {tables} tables");
}
