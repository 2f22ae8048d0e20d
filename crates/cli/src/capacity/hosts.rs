//! Many hosts: idle cost, messages, time to settle after losses, time for a change to be in force.

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

/// Engines for each host, as at the size to design for: 6,000 for 370.
const ENGINES_PER_HOST: u32 = 16;

/// Hosts start within this time, in milliseconds.
const SETTLED: u64 = 20_000;

fn frame_bytes(message: &PeerMessage) -> u64 {
    let mut bytes = BytesMut::new();
    let stamp = HybridTimestamp { wall_millis: 1_800_000_000_000, counter: 7 };
    let frame = PeerFrame { from: 370, stamp, message: message.clone() };
    // A message that can not be written is no message; none is that large here.
    drop(FrameCodec::default().encode(frame, &mut bytes));
    bytes.len() as u64
}

/// Makes a site of that many hosts in halls of equal size.
fn site(hosts: u32, halls: u16) -> FakeSite {
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

/// Adds what single messages take on the wire.
fn frames(table: &mut CapacityTable) {
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
    frames(table);
    let sizes: &[u32] = if quick { &[7, 30] } else { &[7, 30, 123] };
    for hosts in sizes.iter().copied() {
        idle(table, hosts);
        change(table, hosts)?;
    }
    Ok(())
}

/// Measures how a site settles after losses and restarts.
pub(super) fn measure_losses(table: &mut CapacityTable, quick: bool) {
    let hosts = if quick { 30 } else { 123 };
    host_lost(table, hosts);
    hall_lost(table, hosts);
    rolling(table, hosts);
}

fn idle(table: &mut CapacityTable, hosts: u32) {
    const SECONDS: u64 = 30;
    let mut fakes = site(hosts, 3);
    let scale = format!("{hosts} hosts, {} engines, 3 halls", hosts * ENGINES_PER_HOST);
    fakes.run_until(SETTLED);
    let owned = owned_engines(&fakes);
    table.add("fakes: engines owned 20 s after a start of all", &scale, owned as f64, "engines");
    let orders = fakes.evidence.orders as f64 / f64::from(hosts * ENGINES_PER_HOST);
    table.add("fakes: orders per engine for that", &scale, orders, "orders");
    let (messages, bytes) = (fakes.evidence.messages, fakes.evidence.message_bytes);
    let reports = fakes.evidence.report_fetches;
    let begun = Instant::now();
    fakes.run_until(SETTLED + SECONDS * 1_000);
    let host_seconds = f64::from(hosts) * SECONDS as f64;
    let busy = begun.elapsed().as_secs_f64() * 1e6 / host_seconds;
    table.add("fakes: idle control, per host and second (with fakes)", &scale, busy, "us");
    let messages = (fakes.evidence.messages - messages) as f64 / host_seconds;
    table.add("fakes: idle messages sent, per host and second", &scale, messages, "messages");
    let bytes = (fakes.evidence.message_bytes - bytes) as f64 / host_seconds;
    table.add("fakes: idle bytes sent, per host and second", &scale, bytes, "bytes");
    let reports = (fakes.evidence.report_fetches - reports) as f64 / host_seconds;
    table.add("fakes: engine reports asked, per host and second", &scale, reports, "reports");
}

fn owned_engines(site: &FakeSite) -> usize {
    site.cores()
        .flat_map(|(_, core)| core.engine_controllers())
        .filter(|control| control.state() == EngineState::Owned)
        .count()
}

/// Publishes a change while one hall is cut off, and measures when it is in force.
fn change(table: &mut CapacityTable, hosts: u32) -> eyre::Result<()> {
    let mut fakes = site(hosts, 3);
    let scale = format!("{hosts} hosts");
    fakes.run_until(SETTLED);
    let path = SettingsPath::site().child("assist");
    let mut record = adapters_record(0);
    record.base_revision = 1;
    let value = SettingValue::Float(2.0);
    record.edits = vec![SettingsEdit { path, action: EditAction::Set(SettingKey::Worth, value) }];
    fakes.publish(&record);
    fakes.run_until(SETTLED + 15_000);
    let last = fakes.evidence.revision_changes.iter().filter(|forced| forced.revision == 2);
    let count = last.clone().count();
    eyre::ensure!(count == hosts as usize, "{count} of {hosts} hosts have the change");
    let last = last.map(|forced| forced.at).max().unwrap_or(0);
    let millis = last.saturating_sub(SETTLED) as f64;
    table.add("fakes: change in force on all hosts", scale, millis, "ms");
    Ok(())
}

/// Runs until as many engines are owned as there are, and returns how long that took.
fn until_owned(fakes: &mut FakeSite, engines: usize, at_most: u64) -> f64 {
    const STEP: u64 = 50;
    let begun = fakes.now;
    while owned_engines(fakes) < engines && fakes.now < begun + at_most {
        let next = fakes.now + STEP;
        fakes.run_until(next);
    }
    (fakes.now - begun) as f64
}

fn engines_of(hosts: u32) -> usize {
    (hosts * ENGINES_PER_HOST) as usize
}

fn host_lost(table: &mut CapacityTable, hosts: u32) {
    let mut fakes = site(hosts, 3);
    let scale = format!("{hosts} hosts, one killed");
    fakes.run_until(SETTLED);
    let orders = fakes.evidence.orders;
    fakes.schedule_action(SETTLED, SiteAction::KillHost(1, 1_000_000));
    fakes.run_until(SETTLED + 100);
    let settled = until_owned(&mut fakes, engines_of(hosts), 60_000);
    table.add("fakes: every engine owned again", &scale, settled, "ms");
    table.add("fakes: orders for that", &scale, (fakes.evidence.orders - orders) as f64, "orders");
}

fn hall_lost(table: &mut CapacityTable, hosts: u32) {
    let mut fakes = site(hosts, 3);
    let scale = format!("{hosts} hosts, a third restarted at once");
    fakes.run_until(SETTLED);
    let orders = fakes.evidence.orders;
    let (messages, bytes) = (fakes.evidence.messages, fakes.evidence.message_bytes);
    for host in (1..=hosts).filter(|host| host % 3 == 0) {
        fakes.schedule_action(SETTLED, SiteAction::KillHost(host, 10_000));
    }
    fakes.run_until(SETTLED + 10_000);
    let settled = until_owned(&mut fakes, engines_of(hosts), 60_000);
    table.add("fakes: every engine owned after the hosts are back", &scale, settled, "ms");
    table.add("fakes: orders for that", &scale, (fakes.evidence.orders - orders) as f64, "orders");
    let seconds = (fakes.now - SETTLED) as f64 / 1_000.0;
    let per_host = 1.0 / (f64::from(hosts) * seconds);
    let messages = (fakes.evidence.messages - messages) as f64 * per_host;
    table.add("fakes: messages meanwhile, per host and second", &scale, messages, "messages");
    let bytes = (fakes.evidence.message_bytes - bytes) as f64 * per_host;
    table.add("fakes: bytes meanwhile, per host and second", &scale, bytes, "bytes");
}

/// Restarts a tenth of the hosts, one each two seconds, and counts engines that changed hands.
fn rolling(table: &mut CapacityTable, hosts: u32) {
    let mut fakes = site(hosts, 3);
    let scale = format!("{hosts} hosts, a tenth restarted in turn");
    fakes.run_until(SETTLED);
    let orders = fakes.evidence.orders;
    let restarted = (hosts / 10).max(1);
    for index in 0..restarted {
        let at = SETTLED + u64::from(index) * 2_000;
        fakes.schedule_action(at, SiteAction::DrainHost(1 + index * 10));
    }
    fakes.run_until(SETTLED + u64::from(restarted) * 2_000 + 40_000);
    let orders = (fakes.evidence.orders - orders) as f64 / f64::from(restarted);
    table.add("fakes: take-over orders per planned restart", &scale, orders, "orders");
    let owned = owned_engines(&fakes) as f64;
    table.add("fakes: engines owned afterwards", &scale, owned, "engines");
}
