//! Measures the cost of one core's decisions on a request: routing, permit and completion.

use reelreel_core::{
    ClockMillis, NodeConfig, NodeCore, NodeEvent,
    clock::HybridTimestamp,
    engine::EngineInfo,
    gossip::EngineDigest,
    id::{AdapterKey, EngineId, RequestId, request_id},
    message::{PeerMessage, SyncReply},
    node::{ClockReading, HostEntry, HostKind, HostListChange, LogStream},
    request::{ArrivedRequest, RequestTarget},
};
use reelreel_fakes::{CallerRequest, EngineConfig, FakeSite, FaultPlan, SiteAction, SiteConfig};

use super::{
    CapacityTable, allocated_bytes, micros_per_item,
    tree::{adapter_path, adapters_record, log_record},
};

/// Number of requests timed.
const REQUESTS: usize = 4_000;

/// Hosts in the data hall.
const HALL_HOSTS: u32 = 53;

/// Resident adapters per engine.
const RESIDENTS: u32 = 8;

pub(super) fn measure(table: &mut CapacityTable, quick: bool) -> eyre::Result<()> {
    let adapters = if quick { 10_000 } else { 94_000 };
    for engines in [125, 500, 2_000] {
        measure_routing(table, engines, adapters, adapters / 20)?;
    }
    measure_routing(table, 2_000, 1_000, 50)?;
    measure_open_requests(table)?;
    measure_complete_requests(table)
}

fn clock_reading(millis: u64) -> ClockReading {
    ClockReading { now: ClockMillis::from_millis(millis), wall_millis: millis }
}

/// Builds a core that knows a hall's hosts, engines and adapters and owns no engine.
fn build_core(engines: u32, adapters: usize) -> eyre::Result<NodeCore> {
    let mut core = NodeCore::new(NodeConfig::new(1_000, 9, 1));
    core.start(clock_reading(1));
    let records = vec![log_record(0, &adapters_record(adapters))?];
    let log_read =
        |stream, records, end| NodeEvent::LogRead { stream, era: 0, first: 0, records, end };
    core.handle(clock_reading(2), log_read(LogStream::Settings, records, 1));
    core.handle(clock_reading(2), log_read(LogStream::Claims, Vec::new(), 0));
    let host = |host: u32| HostEntry {
        kind: HostKind::Entry { host, hall: 1, address: format!("10.0.0.{host}:7000") },
        leaving: false,
    };
    let engine = |engine: EngineId| HostEntry {
        kind: HostKind::Engine(EngineInfo {
            engine,
            hall: 1,
            service: String::from("assist"),
            address: format!("10.1.0.{engine}:8000"),
            slots: RESIDENTS,
            streams: 64,
            checks_fence: true,
            incarnation: 1,
        }),
        leaving: false,
    };
    let entries = (1..=HALL_HOSTS).map(host).chain((1..=engines).map(engine)).collect();
    core.handle(
        clock_reading(3),
        NodeEvent::HostListChanged(HostListChange { entries, ..HostListChange::default() }),
    );
    core.handle(clock_reading(3_000), NodeEvent::Tick);
    Ok(core)
}

fn arrival_event(number: usize, model: String) -> (RequestId, NodeEvent) {
    let id = request_id(1_000, 1, u32::try_from(number).unwrap_or_default());
    let arrived = ArrivedRequest {
        id,
        target: RequestTarget::Model(model),
        max_wait: None,
        repeatable: None,
        key: None,
        max_tokens: None,
    };
    (id, NodeEvent::RequestArrived(arrived))
}

/// Times `REQUESTS` arrivals, each followed by its cancellation.
fn time_arrivals(core: &mut NodeCore, from: usize, adapter: impl Fn(usize) -> usize) -> f64 {
    let (micros, ()) = micros_per_item(REQUESTS, || {
        for number in 0..REQUESTS {
            let (id, event) = arrival_event(from + number, adapter_path(adapter(number)));
            core.handle(clock_reading(3_001), event);
            core.handle(clock_reading(3_001), NodeEvent::CallerGone(id));
        }
    });
    micros
}

fn measure_routing(
    table: &mut CapacityTable,
    engines: u32,
    adapters: usize,
    resident: usize,
) -> eyre::Result<()> {
    let size = format!("{engines} engines, {adapters} adapters");
    let before = allocated_bytes();
    let mut core = build_core(engines, adapters)?;
    let cold = time_arrivals(&mut core, 0, |number| number * 7919 % adapters);
    table.add("core: arrival of a cold adapter's request, and its end", &size, cold, "us");
    let bytes_with_tree = allocated_bytes();
    let digest = |engine: EngineId| EngineDigest {
        engine,
        incarnation: 1,
        owner: 1 + engine % HALL_HOSTS,
        token: 1 << 40,
        sequence: 1,
        serving: true,
        residents: (0..RESIDENTS)
            .map(|slot| resident_adapter(engine * RESIDENTS + slot, resident))
            .collect(),
    };
    let digests = (1..=engines).map(digest).collect();
    let reply = SyncReply { digests, ..SyncReply::default() };
    let stamp = HybridTimestamp::default();
    let event = NodeEvent::PeerMessage { from: 1, stamp, message: PeerMessage::SyncReply(reply) };
    let (sync, _) = micros_per_item(engines as usize, || core.handle(clock_reading(3_001), event));
    table.add("core: full exchange taken in, per engine", &size, sync, "us");
    let bytes_per_engine = (allocated_bytes() - bytes_with_tree).max(0.0) / f64::from(engines);
    table.add("core: memory of digests, per engine", &size, bytes_per_engine, "bytes");
    let total_bytes = allocated_bytes() - before;
    table.add("core: memory with tree and table", &size, total_bytes / 1e6, "MB");
    let warm = time_arrivals(&mut core, REQUESTS, |number| number * 31 % resident);
    table.add("core: arrival of a resident adapter's request, and its end", &size, warm, "us");
    let (tick, ()) = micros_per_item(200, || {
        for step in 0..200u64 {
            core.handle(clock_reading(3_002 + step), NodeEvent::Tick);
        }
    });
    table.add("core: a tick without work", &size, tick, "us");
    Ok(())
}

/// Returns the adapter in a slot. Node ids count the service and each organisation before its adapters.
fn resident_adapter(slot: u32, resident: usize) -> AdapterKey {
    let index = slot % u32::try_from(resident).unwrap_or(1);
    let per_organisation = 50;
    let adapter =
        2 + index / per_organisation * (per_organisation + 1) + index % per_organisation + 1;
    AdapterKey { adapter, version: 1 }
}

/// Measures the memory of waiting requests.
fn measure_open_requests(table: &mut CapacityTable) -> eyre::Result<()> {
    for count in [1_000, 10_000, 50_000] {
        let mut core = build_core(125, 1_000)?;
        let before = allocated_bytes();
        for number in 0..count {
            let (_, event) = arrival_event(number, adapter_path(number % 1_000));
            core.handle(clock_reading(3_001), event);
        }
        let bytes_per_request = (allocated_bytes() - before) / count as f64;
        let size = format!("{count} open requests");
        table.add("core: memory of an open request", size, bytes_per_request, "bytes");
    }
    Ok(())
}

/// Times complete requests through one host and one engine, including the fakes.
fn measure_complete_requests(table: &mut CapacityTable) -> eyre::Result<()> {
    let mut shape = SiteConfig::new(1);
    shape.hosts = vec![(1, 1)];
    shape.engines = vec![EngineConfig {
        engine: 1,
        hall: 1,
        service: String::from("assist"),
        slots: RESIDENTS,
        streams: 512,
        checks_fence: true,
    }];
    let mut site = FakeSite::new(shape, FaultPlan::default());
    site.schedule_action(1, SiteAction::Publish(adapters_record(8)));
    let calls: u32 = 20_000;
    for number in 0..calls {
        let call = CallerRequest {
            host: Some(1),
            adapter: adapter_path(number as usize % 8),
            version: None,
            key: None,
            repeatable: Some(true),
            max_wait_ms: 20_000,
            tokens: 20,
        };
        site.schedule_request(10_000 + u64::from(number), call);
    }
    site.run_until(9_999);
    let (micros, ()) = micros_per_item(calls as usize, || site.run_until(40_000));
    let answered = site.evidence.callers.values().filter(|caller| caller.outcome.is_some()).count();
    eyre::ensure!(answered == calls as usize, "only {answered} of {calls} calls were answered");
    table.add("core and fakes: a whole request, entry and owner", "20000 requests", micros, "us");
    Ok(())
}
