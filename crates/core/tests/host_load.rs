//! The use of a host's own resources.

use std::time::Duration;

use reelreel_core::fleet::host_load::{HostLoad, HostResource, LoadSample};

const INTERVAL: Duration = Duration::from_millis(50);

/// Bytes that a link of 10 Mbit/s carries in an interval.
const LINK_BYTES: u64 = 62_500;

const CONNECTION_LIMIT: usize = 1000;

/// Samples of a host with a link of 10 Mbit/s, and the pressure after them.
struct PressureCase {
    name: &'static str,
    /// Delays of the event loop in milliseconds, one for each sample.
    loop_delays: &'static [u64],
    link_bytes: u64,
    connections: usize,
    resource: HostResource,
    is_overloaded: bool,
}

const CALM: PressureCase = PressureCase {
    name: "calm",
    loop_delays: &[1, 2, 0, 1, 3, 1],
    link_bytes: LINK_BYTES / 20,
    connections: 40,
    resource: HostResource::EventLoop,
    is_overloaded: false,
};

const CASES: &[PressureCase] = &[
    CALM,
    PressureCase { name: "a long task", loop_delays: &[1, 1, 400, 0, 1, 0], ..CALM },
    PressureCase { name: "a long task just before", loop_delays: &[1, 1, 2, 1, 400], ..CALM },
    PressureCase {
        name: "tasks that always wait",
        loop_delays: &[30, 60, 45, 80, 50, 40],
        is_overloaded: true,
        ..CALM
    },
    PressureCase {
        name: "a full link",
        loop_delays: &[1; 40],
        link_bytes: LINK_BYTES,
        resource: HostResource::Link,
        is_overloaded: true,
        ..CALM
    },
    PressureCase {
        name: "a link that was full for a moment",
        loop_delays: &[1; 4],
        link_bytes: LINK_BYTES,
        resource: HostResource::Link,
        ..CALM
    },
    PressureCase {
        name: "most connections",
        connections: 950,
        resource: HostResource::Connections,
        is_overloaded: true,
        ..CALM
    },
];

/// Guards against a host that takes one long task for overload, or that does not notice which of its resources is
/// used up.
#[test]
fn the_scarcest_resource_of_a_host_tells_its_pressure() {
    for PressureCase { name, loop_delays, link_bytes, connections, resource, is_overloaded } in
        CASES
    {
        let mut load = HostLoad::new(10.0, CONNECTION_LIMIT);
        for delay in *loop_delays {
            load.record(&LoadSample {
                interval: INTERVAL,
                loop_delay: Duration::from_millis(*delay),
                link_bytes: *link_bytes,
                connections: *connections,
            });
        }
        let pressure = load.pressure();
        assert_eq!(pressure.use_ratio > 1.0, *is_overloaded, "{name}: {pressure:?}");
        let names_resource = !is_overloaded || pressure.resource == *resource;
        assert!(names_resource, "{name}: {pressure:?}");
    }
}
