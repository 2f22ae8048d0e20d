//! Many hosts: a start of all, a hall restarted at once, a hall lost and regained. Ownership
//! settles, and neither engines nor log are run down.

use reelreel_core::{
    chart::EngineState,
    settings::{ChangeRecord, SettingsTree, read_tree},
};
use reelreel_fakes::{EngineShape, FakeSite, FaultPlan, SiteAction, SiteShape};

const HOSTS: u32 = 21;
const ENGINES: u32 = HOSTS * 16;
const SETTLED: u64 = 10_000;

fn site() -> FakeSite {
    let hall = |index: u32| 1 + u16::try_from(index % 3).expect("three halls");
    let mut shape = SiteShape::new(7);
    shape.hosts = (1..=HOSTS).map(|host| (host, hall(host))).collect();
    shape.engines = (1..=ENGINES)
        .map(|engine| EngineShape {
            engine,
            hall: hall(engine),
            service: String::from("assist"),
            slots: 4,
            streams: 16,
            checks_fence: true,
        })
        .collect();
    let mut site = FakeSite::new(shape, FaultPlan::default());
    let tree = read_tree("[service.assist]\n").expect("no mistakes");
    site.act_at(
        1,
        SiteAction::Publish(ChangeRecord {
            format: 1,
            change_id: String::from("first"),
            base_revision: 0,
            author: String::new(),
            message: String::new(),
            edits: SettingsTree::default().edits_towards(&tree),
        }),
    );
    site.run_until(SETTLED);
    site
}

fn owned(site: &FakeSite) -> usize {
    site.cores()
        .flat_map(|(_, core)| core.engine_controllers())
        .filter(|control| control.state() == EngineState::Owned)
        .count()
}

#[test]
fn hosts_that_start_together_take_each_engine_over_once() {
    let site = site();
    assert_eq!(owned(&site), ENGINES as usize);
    let orders = site.evidence.orders;
    assert!(orders <= u64::from(ENGINES) * 11 / 10, "{orders} orders for {ENGINES} engines");
    assert!(site.evidence.appends <= 1, "{} appends", site.evidence.appends);
}

#[test]
fn a_hall_restarted_at_once_settles_without_a_storm_of_orders() {
    let mut site = site();
    let orders = site.evidence.orders;
    for host in (1..=HOSTS).filter(|host| host % 3 == 0) {
        site.act_at(SETTLED, SiteAction::KillHost(host, 20_000));
    }
    site.run_until(SETTLED + 15_000);
    let reachable = ENGINES as usize * 2 / 3;
    assert_eq!(owned(&site), reachable, "the other halls keep theirs");
    site.run_until(SETTLED + 35_000);
    assert_eq!(owned(&site), ENGINES as usize, "all are owned again");
    let orders = site.evidence.orders - orders;
    assert!(orders <= u64::from(ENGINES), "{orders} orders for a third of {ENGINES} engines");
}

#[test]
fn a_hall_cut_off_keeps_its_engines_and_is_known_again_afterwards() {
    let mut site = site();
    let (orders, messages) = (site.evidence.orders, site.evidence.messages);
    site.act_at(SETTLED, SiteAction::CutHall(2, 60_000));
    site.run_until(SETTLED + 50_000);
    assert_eq!(owned(&site), ENGINES as usize, "each hall owns its own engines throughout");
    for (host, core) in site.cores() {
        let alone = core.members().live_count() <= HOSTS as usize * 2 / 3;
        assert!(alone, "host {host} believes hosts beyond the cut to be there");
    }
    site.run_until(SETTLED + 100_000);
    for (host, core) in site.cores() {
        assert_eq!(core.members().live_count(), HOSTS as usize, "host {host}");
    }
    assert_eq!(site.evidence.orders, orders, "no engine changed hands for it");
    let sent = (site.evidence.messages - messages) / u64::from(HOSTS) / 100;
    assert!(sent <= 12, "{sent} messages a host and second");
}
