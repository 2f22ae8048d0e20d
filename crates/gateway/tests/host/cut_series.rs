//! Overlapping cuts of hosts from all engines, drawn from a seed, and the promises to clients.
//!
//! `REELREEL_CUT_SEEDS=50` plays that many seeds instead of the first.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    engine::StandInEngine,
    isolation::{LinkedFleet, MEASURED_TIME, MIN_SERVED_SHARE, RETURN_TIME, count, post},
    links::CutForm,
    site::wait_until,
};

/// Number of changes of the links in a series.
const CHANGES: u64 = 12;

/// Range of the time between two changes. Unit: milliseconds.
const PAUSE_MILLIS: (u64, u64) = (100, 900);

/// Pause between two requests to a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

const FORMS: [CutForm; 3] = [CutForm::Hang, CutForm::Reset, CutForm::RefuseNew];

/// Draws numbers from a seed.
struct SeededDraw {
    seed: u64,
    drawn: u64,
}

impl SeededDraw {
    fn below(&mut self, limit: u64) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) % limit
    }
}

/// The ids of requests that may run once, by the status that their clients got.
type IdsByStatus = BTreeMap<String, BTreeSet<String>>;

/// Sends requests to a host until `ended`; returns the ids of those that may run once.
fn send_until(fleet: &LinkedFleet, host: usize, seed: u64, ended: &AtomicBool) -> IdsByStatus {
    let mut ids = IdsByStatus::new();
    thread::scope(|scope| {
        let mut sent = Vec::new();
        for number in 0.. {
            if ended.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("series-{seed}-{host}-{number}");
            let host = &fleet.hosts[host].0;
            sent.push(scope.spawn(move || {
                let response = post(host, &id, number);
                (number, id, response.chars().skip(9).take(3).collect::<String>())
            }));
            thread::sleep(REQUEST_INTERVAL);
        }
        for request in sent {
            let (number, id, status) = request.join().expect("a response");
            if number.is_multiple_of(2) {
                ids.entry(status).or_default().insert(id);
            }
        }
    });
    ids
}

/// Changes the links of drawn hosts at drawn times.
fn change_links(fleet: &LinkedFleet, draw: &mut SeededDraw) {
    let hosts = fleet.hosts.len() as u64;
    for _ in 0..CHANGES {
        let first = draw.below(hosts);
        // Half of the changes are of a hall; hosts of the same parity share one.
        let is_hall = draw.below(2) == 0;
        let change = usize::try_from(draw.below(FORMS.len() as u64 + 1)).expect("small");
        for (index, (_, links)) in (0..).zip(&fleet.hosts) {
            if index == first || (is_hall && index % 2 == first % 2) {
                links.repair();
                if let Some(form) = FORMS.get(change) {
                    links.cut(*form);
                }
            }
        }
        let (min, max) = PAUSE_MILLIS;
        thread::sleep(Duration::from_millis(min + draw.below(max - min)));
    }
}

/// Plays a series and checks that nothing ran twice, that refused requests did not run, that no
/// engine counts as ended, and that all hosts serve again soon after it.
fn play(fleet: &LinkedFleet, seed: u64) {
    let ended = AtomicBool::new(false);
    let ids: Vec<IdsByStatus> = thread::scope(|scope| {
        let ended = &ended;
        let hosts = 0..fleet.hosts.len();
        let clients: Vec<_> =
            hosts.map(|host| scope.spawn(move || send_until(fleet, host, seed, ended))).collect();
        change_links(fleet, &mut SeededDraw { seed, drawn: 0 });
        fleet.hosts.iter().for_each(|(_, links)| links.repair());
        ended.store(true, Ordering::Relaxed);
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect()
    });
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in fleet.engines.iter().flat_map(StandInEngine::runs) {
        let id = run.head.fields.text(crate::codec::REQUEST).unwrap_or_default().to_owned();
        *runs.entry(id).or_default() += 1;
    }
    for (status, ids) in ids.iter().flatten() {
        for id in ids {
            let runs = runs.get(id).copied().unwrap_or_default();
            assert!(runs <= 1, "seed {seed}: {id} ran {runs} times");
            assert!(status != "503" || runs == 0, "seed {seed}: {id} ran and was refused");
            assert!(status != "200" || runs == 1, "seed {seed}: {id} was answered, not run");
        }
    }
    wait_until("all hosts are connected", || {
        fleet.hosts.iter().all(|(host, _)| !host.shared.links.is_isolated())
    });
    let ended = fleet.hosts_with(|host| count(&host.shared.metrics.quarantine.engines_ended));
    assert_eq!(ended, [""; 0], "seed {seed}");
    fleet.measure(&[], "return", RETURN_TIME);
    let began = Instant::now();
    let (_, served) = fleet.measure(&[], "after", MEASURED_TIME);
    assert!(served.share() >= MIN_SERVED_SHARE, "seed {seed}: {served:?} in {:?}", began.elapsed());
}

/// Guards against cuts that overlap, of hosts that forward for others among them.
#[test]
fn overlapping_cuts_break_no_promise_to_clients() {
    let seeds = std::env::var("REELREEL_CUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let fleet = LinkedFleet::start();
    for seed in 1..=seeds.unwrap_or(1) {
        play(&fleet, seed);
    }
}
