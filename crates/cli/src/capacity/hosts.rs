//! Measures many hosts: idle cost, messages, recovery time after losses and propagation time of a change.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use reelreel_core::{
    ClockMillis,
    chart::EngineState,
    clock::HybridTimestamp,
    id::{AdapterKey, takeover_token},
    message::{PeerMessage, PermitAsk, PermitDone, PermitGranted},
    request::PermitRequest,
    settings::{EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath},
};
use reelreel_fakes::{EngineConfig, FakeSite, FaultPlan, SiteAction, SiteConfig};
use reelreel_wire::{FrameCodec, PeerFrame};
use tokio_util::codec::Encoder;

use super::{CapacityTable, tree::adapters_record};

/// Engines per host at the design size of 6,000 engines and 370 hosts.
const ENGINES_PER_HOST: u32 = 16;

/// Time after which all hosts have started.
const SETTLE_MS: u64 = 20_000;

fn frame_bytes(message: &PeerMessage) -> u64 {
    let mut bytes = BytesMut::new();
    let stamp = HybridTimestamp { wall_millis: 1_800_000_000_000, counter: 7 };
    let frame = PeerFrame { from: 370, stamp, message: message.clone() };
    // Encoding fails only for messages over the frame limit; none here is that large.
    drop(FrameCodec::default().encode(frame, &mut bytes));
    bytes.len() as u64
}

/// Builds a site with hosts and engines spread evenly over the halls.
fn build_site(hosts: u32, halls: u16) -> FakeSite {
    let hall = |index: u32| 1 + u16::try_from(index % u32::from(halls)).unwrap_or_default();
    let mut shape = SiteConfig::new(u64::from(hosts));
    shape.hosts = (1..=hosts).map(|host| (host, hall(host))).collect();
    shape.engines = (1..=hosts * ENGINES_PER_HOST)
        .map(|engine| EngineConfig {
            engine,
            hall: hall(engine),
            service: String::from("assist"),
            slots: 8,
            streams: 64,
            checks_fence: true,
        })
        .collect();
    let mut site = FakeSite::new(shape, FaultPlan::default());
    site.schedule_action(1, SiteAction::Publish(adapters_record(1_000)));
    site.measure = Some(frame_bytes);
    site
}

/// Adds the encoded size of single messages.
fn measure_frames(table: &mut CapacityTable) {
    let (request, attempt, engine) = (u128::MAX / 3, 1, 2_000);
    let adapter = AdapterKey { adapter: 94_000, version: 1 };
    let permit = PermitRequest {
        request,
        service: 1,
        organisation: 1_000,
        adapter,
        worth: 1.0,
        share: 1.0,
        queue_limit: 64,
        stall_weight: 1.0,
        deadline: ClockMillis::default(),
    };
    let ask = PeerMessage::PermitAsk(PermitAsk {
        engine,
        attempt,
        max_wait: Duration::from_secs(10),
        request: permit,
        may_load: false,
        replica: false,
    });
    let token = takeover_token(0, 370);
    let granted = PeerMessage::PermitGranted(PermitGranted {
        request,
        attempt,
        engine,
        token,
        fill: 50,
        stalled: false,
    });
    let done = PeerMessage::PermitDone(PermitDone { request, attempt, engine, clean: true });
    for (name, message) in [("ask", ask), ("granted", granted), ("done", done)] {
        table.add("wire: a permit's message", name, frame_bytes(&message) as f64, "bytes");
    }
}

pub(super) fn measure(table: &mut CapacityTable, quick: bool) -> eyre::Result<()> {
    measure_frames(table);
    let sizes: &[u32] = if quick { &[7, 30] } else { &[7, 30, 123] };
    for hosts in sizes.iter().copied() {
        measure_idle(table, hosts);
        measure_change(table, hosts)?;
    }
    Ok(())
}

/// Measures how a site recovers from losses and restarts.
pub(super) fn measure_losses(table: &mut CapacityTable, quick: bool) {
    let hosts = if quick { 30 } else { 123 };
    measure_host_loss(table, hosts);
    measure_hall_loss(table, hosts);
    measure_rolling_restart(table, hosts);
}

fn measure_idle(table: &mut CapacityTable, hosts: u32) {
    const IDLE_SECONDS: u64 = 30;
    let mut site = build_site(hosts, 3);
    let scale = format!("{hosts} hosts, {} engines, 3 halls", hosts * ENGINES_PER_HOST);
    site.run_until(SETTLE_MS);
    let owned = owned_engines(&site);
    table.add("fakes: engines owned 20 s after a start of all", &scale, owned as f64, "engines");
    let orders = site.evidence.orders as f64 / f64::from(hosts * ENGINES_PER_HOST);
    table.add("fakes: orders per engine for that", &scale, orders, "orders");
    let (messages, bytes) = (site.evidence.messages, site.evidence.message_bytes);
    let reports = site.evidence.report_fetches;
    let started = Instant::now();
    site.run_until(SETTLE_MS + IDLE_SECONDS * 1_000);
    let host_seconds = f64::from(hosts) * IDLE_SECONDS as f64;
    let busy = started.elapsed().as_secs_f64() * 1e6 / host_seconds;
    table.add("fakes: idle control, per host and second (with fakes)", &scale, busy, "us");
    let messages = (site.evidence.messages - messages) as f64 / host_seconds;
    table.add("fakes: idle messages sent, per host and second", &scale, messages, "messages");
    let bytes = (site.evidence.message_bytes - bytes) as f64 / host_seconds;
    table.add("fakes: idle bytes sent, per host and second", &scale, bytes, "bytes");
    let reports = (site.evidence.report_fetches - reports) as f64 / host_seconds;
    table.add("fakes: engine reports asked, per host and second", &scale, reports, "reports");
}

fn owned_engines(site: &FakeSite) -> usize {
    site.cores()
        .flat_map(|(_, core)| core.engine_controllers())
        .filter(|controller| controller.state() == EngineState::Owned)
        .count()
}

/// Publishes a change and measures when it is in force on every host.
fn measure_change(table: &mut CapacityTable, hosts: u32) -> eyre::Result<()> {
    let mut site = build_site(hosts, 3);
    let scale = format!("{hosts} hosts");
    site.run_until(SETTLE_MS);
    let path = SettingsPath::site().child("assist");
    let mut record = adapters_record(0);
    record.base_revision = 1;
    let value = SettingValue::Float(2.0);
    record.edits = vec![SettingsEdit { path, action: EditAction::Set(SettingKey::Worth, value) }];
    site.publish(&record);
    site.run_until(SETTLE_MS + 15_000);
    let last = site.evidence.revision_changes.iter().filter(|forced| forced.revision == 2);
    let count = last.clone().count();
    eyre::ensure!(
        count == hosts as usize,
        "the change is in force on only {count} of {hosts} hosts"
    );
    let last = last.map(|forced| forced.at).max().unwrap_or(0);
    let millis = last.saturating_sub(SETTLE_MS) as f64;
    table.add("fakes: change in force on all hosts", scale, millis, "ms");
    Ok(())
}

/// Runs until `engines` engines are owned, for at most `limit_ms`, and returns the elapsed milliseconds.
fn run_until_owned(site: &mut FakeSite, engines: usize, limit_ms: u64) -> f64 {
    const STEP_MS: u64 = 50;
    let started = site.now;
    while owned_engines(site) < engines && site.now < started + limit_ms {
        let next = site.now + STEP_MS;
        site.run_until(next);
    }
    (site.now - started) as f64
}

fn engine_count(hosts: u32) -> usize {
    (hosts * ENGINES_PER_HOST) as usize
}

fn measure_host_loss(table: &mut CapacityTable, hosts: u32) {
    let mut site = build_site(hosts, 3);
    let scale = format!("{hosts} hosts, one killed");
    site.run_until(SETTLE_MS);
    let orders = site.evidence.orders;
    site.schedule_action(SETTLE_MS, SiteAction::KillHost(1, 1_000_000));
    site.run_until(SETTLE_MS + 100);
    let settled = run_until_owned(&mut site, engine_count(hosts), 60_000);
    table.add("fakes: every engine owned again", &scale, settled, "ms");
    table.add("fakes: orders for that", &scale, (site.evidence.orders - orders) as f64, "orders");
}

fn measure_hall_loss(table: &mut CapacityTable, hosts: u32) {
    let mut site = build_site(hosts, 3);
    let scale = format!("{hosts} hosts, a third restarted at once");
    site.run_until(SETTLE_MS);
    let orders = site.evidence.orders;
    let (messages, bytes) = (site.evidence.messages, site.evidence.message_bytes);
    for host in (1..=hosts).filter(|host| host % 3 == 0) {
        site.schedule_action(SETTLE_MS, SiteAction::KillHost(host, 10_000));
    }
    site.run_until(SETTLE_MS + 10_000);
    let settled = run_until_owned(&mut site, engine_count(hosts), 60_000);
    table.add("fakes: every engine owned after the hosts are back", &scale, settled, "ms");
    table.add("fakes: orders for that", &scale, (site.evidence.orders - orders) as f64, "orders");
    let seconds = (site.now - SETTLE_MS) as f64 / 1_000.0;
    let per_host = 1.0 / (f64::from(hosts) * seconds);
    let messages = (site.evidence.messages - messages) as f64 * per_host;
    table.add("fakes: messages meanwhile, per host and second", &scale, messages, "messages");
    let bytes = (site.evidence.message_bytes - bytes) as f64 * per_host;
    table.add("fakes: bytes meanwhile, per host and second", &scale, bytes, "bytes");
}

/// Restarts a tenth of the hosts, one every two seconds, and counts takeover orders.
fn measure_rolling_restart(table: &mut CapacityTable, hosts: u32) {
    let mut site = build_site(hosts, 3);
    let scale = format!("{hosts} hosts, a tenth restarted in turn");
    site.run_until(SETTLE_MS);
    let orders = site.evidence.orders;
    let restarted = (hosts / 10).max(1);
    for index in 0..restarted {
        let at = SETTLE_MS + u64::from(index) * 2_000;
        site.schedule_action(at, SiteAction::DrainHost(1 + index * 10));
    }
    site.run_until(SETTLE_MS + u64::from(restarted) * 2_000 + 40_000);
    let orders = (site.evidence.orders - orders) as f64 / f64::from(restarted);
    table.add("fakes: take-over orders per planned restart", &scale, orders, "orders");
    let owned = owned_engines(&site) as f64;
    table.add("fakes: engines owned afterwards", &scale, owned, "engines");
}
