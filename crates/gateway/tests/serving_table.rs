//! What is decided from the table that the control thread publishes.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::fleet::EngineEntry;
use reelreel_gateway::table::ServingTable;

fn entry(service: &str, born: u64, leaving: bool) -> EngineEntry {
    EngineEntry {
        name: Arc::from("i-1"),
        incarnation: born,
        service: Arc::from(service),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: Arc::from("hall"),
        slots: 4,
        leaving,
        sequence: 0,
        loaded_models: Vec::new(),
    }
}

/// An engine that was chosen, and what is known of it right before the send.
struct WorkCase {
    name: &'static str,
    born: u64,
    /// Service, life, and whether it leaves; absent where it is gone.
    listed: Option<(&'static str, u64, bool)>,
    takes: bool,
}

const WORK_CASES: &[WorkCase] = &[
    WorkCase { name: "as chosen", born: 7, listed: Some(("assist", 7, false)), takes: true },
    WorkCase { name: "it leaves", born: 7, listed: Some(("assist", 7, true)), takes: false },
    WorkCase { name: "it is gone", born: 7, listed: None, takes: false },
    WorkCase { name: "another life", born: 7, listed: Some(("assist", 8, false)), takes: false },
    WorkCase { name: "lives untold", born: 0, listed: Some(("assist", 8, false)), takes: true },
    WorkCase { name: "another service", born: 7, listed: Some(("plain", 7, false)), takes: false },
];

#[test]
fn an_engine_that_was_chosen_takes_work_only_as_it_is_listed_now() {
    for case in WORK_CASES {
        let listed = case.listed.map(|(service, born, leaving)| entry(service, born, leaving));
        let engines: HashMap<_, _> = listed
            .map(|entry| (Arc::clone(&entry.service), vec![Arc::new(entry)]))
            .into_iter()
            .collect();
        let table = ServingTable { engines, ..ServingTable::default() };
        let chosen = entry("assist", case.born, false);
        assert_eq!(table.takes_work(&chosen), case.takes, "{}", case.name);
    }
}
