//! Monotonic and hybrid logical clocks, in milliseconds.

use std::{
    ops::{Add, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock reading, in milliseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClockMillis(u64);

impl ClockMillis {
    /// Creates a reading from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the reading in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this reading.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockMillis {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration_millis(duration)))
    }
}

impl Sub<Duration> for ClockMillis {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration_millis(duration)))
    }
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub fn duration_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A clock for the I/O layers. The decision core does not read clocks; it is passed readings.
pub trait ClockSource: Send + Sync {
    /// Returns the current reading.
    fn now(&self) -> ClockMillis;
}

/// A monotonic clock that also advances while the host is suspended (`CLOCK_BOOTTIME`).
///
/// `CLOCK_MONOTONIC` stops during suspension, so that leases, key freshness and peer timeouts timed
/// by it would last too long by the time suspended.
#[derive(Debug, Clone)]
pub struct MonotonicClock {
    start: Duration,
}

/// The reading of a new clock. It is above zero so that times before the process start, as reported
/// by peers, remain representable: clamped to the start, stale data would look fresh, and withdrawn
/// keys would be served. All age limits are far below this value. A reading of zero means "never".
const INITIAL_READING: Duration = Duration::from_hours(1);

impl MonotonicClock {
    /// Creates a clock that starts at `INITIAL_READING`.
    pub fn new() -> Self {
        Self { start: time_since_boot() }
    }
}

/// Returns the time since the host booted, including time suspended.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for MonotonicClock {
    fn now(&self) -> ClockMillis {
        ClockMillis(duration_millis(INITIAL_READING + time_since_boot().saturating_sub(self.start)))
    }
}

/// A clock that tests advance manually.
#[derive(Debug, Default)]
pub struct ManualClock {
    millis: AtomicU64,
}

impl ManualClock {
    /// Creates a clock that reads `millis`.
    pub const fn new(millis: u64) -> Self {
        Self { millis: AtomicU64::new(millis) }
    }

    /// Advances the clock.
    pub fn advance(&self, duration: Duration) {
        self.millis.fetch_add(duration_millis(duration), Ordering::Relaxed);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockMillis {
        ClockMillis(self.millis.load(Ordering::Relaxed))
    }
}

/// A hybrid logical clock timestamp: the wall time, and a counter for when it does not advance.
///
/// Timestamps order the events of all processes consistently with causality, even if the wall
/// clocks of the hosts differ (Kulkarni et al., "Logical Physical Clocks", 2014).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HybridTimestamp {
    /// Highest wall time seen so far, in milliseconds since the Unix epoch.
    pub wall_millis: u64,
    /// Orders events with the same `wall_millis`.
    pub counter: u32,
}

impl HybridTimestamp {
    /// Returns the next timestamp at wall time `wall_millis`.
    #[must_use]
    pub const fn next(self, wall_millis: u64) -> Self {
        if wall_millis > self.wall_millis {
            Self { wall_millis, counter: 0 }
        } else {
            Self { wall_millis: self.wall_millis, counter: self.counter + 1 }
        }
    }

    /// Returns the next timestamp, which is also later than one received from another process.
    #[must_use]
    pub fn merge(self, received: Self, wall_millis: u64) -> Self {
        self.max(received).next(wall_millis)
    }
}
