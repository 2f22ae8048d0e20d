//! Tests of many hosts: simultaneous start, restart of a hall, and a network partition of a hall.
//! Ownership must converge without excess orders to the engines or appends to the log.

use reelreel_core::{
    chart::EngineState,
    settings::{ChangeRecord, SettingsTree, read_tree},
};
use reelreel_fakes::{EngineConfig, FakeSite, FaultPlan, SiteAction, SiteConfig};

const HOSTS: u32 = 21;
const ENGINES: u32 = HOSTS * 16;
const STABLE_AT: u64 = 10_000;

fn site() -> FakeSite {
    let hall = |index: u32| 1 + u16::try_from(index % 3).expect("three halls");
    let mut shape = SiteConfig::new(7);
    shape.hosts = (1..=HOSTS).map(|host| (host, hall(host))).collect();
    shape.engines = (1..=ENGINES)
        .map(|engine| EngineConfig {
            engine,
            hall: hall(engine),
            service: String::from("assist"),
            slots: 4,
            streams: 16,
            checks_fence: true,
        })
        .collect();
    let mut site = FakeSite::new(shape, FaultPlan::default());
    let tree = read_tree("[service.assist]\n").expect("the tree is valid");
    site.schedule_action(
        1,
        SiteAction::Publish(ChangeRecord {
            format: 1,
            change_id: String::from("first"),
            base_revision: 0,
            author: String::new(),
            message: String::new(),
            edits: SettingsTree::default().diff_edits(&tree),
        }),
    );
    site.run_until(STABLE_AT);
    site
}

fn owned_count(site: &FakeSite) -> usize {
    site.cores()
        .flat_map(|(_, core)| core.engine_controllers())
        .filter(|control| control.state() == EngineState::Owned)
        .count()
}

#[test]
fn hosts_that_start_together_take_over_each_engine_once() {
    let site = site();
    assert_eq!(owned_count(&site), ENGINES as usize);
    let orders = site.evidence.orders;
    assert!(orders <= u64::from(ENGINES) * 11 / 10, "{orders} orders for {ENGINES} engines");
    assert!(site.evidence.appends <= 1, "{} appends", site.evidence.appends);
}

#[test]
fn a_restarted_hall_recovers_without_excess_orders() {
    let mut site = site();
    let orders = site.evidence.orders;
    for host in (1..=HOSTS).filter(|host| host % 3 == 0) {
        site.schedule_action(STABLE_AT, SiteAction::KillHost(host, 20_000));
    }
    site.run_until(STABLE_AT + 15_000);
    let reachable = ENGINES as usize * 2 / 3;
    assert_eq!(owned_count(&site), reachable, "the other halls keep their engines");
    site.run_until(STABLE_AT + 35_000);
    assert_eq!(owned_count(&site), ENGINES as usize, "all engines are owned again");
    let orders = site.evidence.orders - orders;
    assert!(orders <= u64::from(ENGINES), "{orders} orders for a third of {ENGINES} engines");
}

#[test]
fn a_partitioned_hall_keeps_its_engines_and_rejoins() {
    let mut site = site();
    let (orders, messages) = (site.evidence.orders, site.evidence.messages);
    site.schedule_action(STABLE_AT, SiteAction::PartitionHall(2, 60_000));
    site.run_until(STABLE_AT + 50_000);
    assert_eq!(owned_count(&site), ENGINES as usize, "each hall owns its own engines throughout");
    for (host, core) in site.cores() {
        let sees_no_host_beyond = core.members().live_count() <= HOSTS as usize * 2 / 3;
        assert!(sees_no_host_beyond, "host {host} considers hosts beyond the partition alive");
    }
    site.run_until(STABLE_AT + 100_000);
    for (host, core) in site.cores() {
        assert_eq!(core.members().live_count(), HOSTS as usize, "host {host}");
    }
    assert_eq!(site.evidence.orders, orders, "no engine changed its owner");
    let sent = (site.evidence.messages - messages) / u64::from(HOSTS) / 100;
    assert!(sent <= 12, "{sent} messages per host and second");
}
