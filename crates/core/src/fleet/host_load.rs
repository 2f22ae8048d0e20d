//! How close a host is to the limits of its own processor, link and descriptors.

use std::{collections::VecDeque, time::Duration};

/// Delay of the event loop at which the processor counts as used up: a fifth of the tightest latency targets.
const LOOP_DELAY_LIMIT: Duration = Duration::from_millis(20);

/// Part of the link that may be used. The rest is for headers of packets, bursts, and traffic of other hosts.
const LINK_USE_LIMIT: f64 = 0.75;

/// Part of the permitted client connections that may be open.
const CONNECTION_USE_LIMIT: f64 = 0.9;

/// Number of samples whose minimum is the standing delay of the event loop. A single late sample shows one long
/// task, after which nothing waits.
const DELAY_SAMPLES: usize = 2;

/// Weight of the latest sample in the use of the link.
const LINK_USE_WEIGHT: f64 = 0.15;

/// Interval below which a sample says nothing about a rate.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(1);

/// A resource of the host that requests use up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HostResource {
    /// The processor, as seen by the event loop.
    EventLoop,
    /// The network link, in the busier direction.
    Link,
    /// Descriptors for client connections.
    Connections,
}

impl HostResource {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EventLoop => "event_loop",
            Self::Link => "link",
            Self::Connections => "connections",
        }
    }
}

/// What a host used in a short interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Length of the interval.
    pub interval: Duration,
    /// How late the event loop ran a task that was due.
    pub loop_delay: Duration,
    /// Bytes carried in the busier direction of the link.
    pub link_bytes: u64,
    /// Number of open client connections.
    pub connections: usize,
}

/// The use of a resource, relative to what may be used of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourcePressure {
    /// The resource.
    pub resource: HostResource,
    /// One if all that may be used is in use.
    pub use_ratio: f64,
}

impl ResourcePressure {
    fn max(self, other: Self) -> Self {
        if other.use_ratio > self.use_ratio { other } else { self }
    }
}

/// The recent use of a host's resources.
#[derive(Debug, Clone)]
pub struct HostLoad {
    /// Capacity of the link in each direction. Unit: bytes per second.
    link_capacity: f64,
    /// Maximum number of client connections.
    connection_limit: usize,
    loop_delays: VecDeque<Duration>,
    /// Smoothed use of the link, as a part of its capacity.
    link_use: f64,
    connections: usize,
}

impl HostLoad {
    /// Creates the load of an idle host, with its link's capacity in Mbit/s and its maximum number of client
    /// connections.
    pub fn new(link_mbps: f64, connection_limit: usize) -> Self {
        Self {
            link_capacity: link_mbps * 1e6 / 8.0,
            connection_limit,
            loop_delays: VecDeque::with_capacity(DELAY_SAMPLES),
            link_use: 0.0,
            connections: 0,
        }
    }

    /// Records a sample.
    pub fn record(&mut self, sample: &LoadSample) {
        if self.loop_delays.len() == DELAY_SAMPLES {
            self.loop_delays.pop_front();
        }
        self.loop_delays.push_back(sample.loop_delay);
        self.connections = sample.connections;
        if self.link_capacity > 0.0 && sample.interval >= MIN_SAMPLE_INTERVAL {
            let rate = sample.link_bytes as f64 / sample.interval.as_secs_f64();
            self.link_use += LINK_USE_WEIGHT * (rate / self.link_capacity - self.link_use);
        }
    }

    /// Returns the delay that tasks of the event loop had in all of the last samples.
    pub fn standing_delay(&self) -> Duration {
        if self.loop_delays.len() < DELAY_SAMPLES {
            return Duration::ZERO;
        }
        self.loop_delays.iter().min().copied().unwrap_or_default()
    }

    /// Returns the smoothed use of the link, as a part of its capacity.
    pub const fn link_use(&self) -> f64 {
        self.link_use
    }

    /// Returns the pressure on the processor or the link, whichever is closer to its limit: what open requests use.
    pub fn request_pressure(&self) -> ResourcePressure {
        let delay = self.standing_delay().div_duration_f64(LOOP_DELAY_LIMIT);
        let event_loop = ResourcePressure { resource: HostResource::EventLoop, use_ratio: delay };
        let use_ratio = self.link_use / LINK_USE_LIMIT;
        event_loop.max(ResourcePressure { resource: HostResource::Link, use_ratio })
    }

    /// Returns the pressure on the resource that is closest to its limit.
    pub fn pressure(&self) -> ResourcePressure {
        let connections = self.connections as f64 / self.connection_limit.max(1) as f64;
        let use_ratio = connections / CONNECTION_USE_LIMIT;
        self.request_pressure()
            .max(ResourcePressure { resource: HostResource::Connections, use_ratio })
    }
}
