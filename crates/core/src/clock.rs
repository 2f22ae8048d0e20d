//! The project's one clock type, in milliseconds, and the sources that read it.

use std::{
    ops::{Add, Sub},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// A reading of a clock that never runs backwards, in milliseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClockMillis(u64);

impl ClockMillis {
    /// Wraps a number of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the reading in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this reading, or zero when `earlier` is later.
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

/// Returns a duration in whole milliseconds, at most `u64::MAX`.
pub fn duration_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the time for the borders; the decision core is handed readings instead.
pub trait ClockSource: Send + Sync {
    /// Returns the present reading.
    fn now(&self) -> ClockMillis;
}

/// Reads the operating system's clock that never runs backwards and goes on while the host is suspended.
///
/// The usual steady clock stands still meanwhile: a lease, a key's freshness or a peer's silence that is timed by it would be
/// believed for too long by as much.
#[derive(Debug, Clone)]
pub struct MonotonicClock {
    start: Duration,
}

/// What a clock shows when it starts. A peer tells of moments before the process began; where they could not be told apart from its
/// start, a host that has just started would take an old word for a new one, and serve withdrawn keys by it. No bound on how old a word
/// may be is near an hour, and zero still stands for "never".
const INITIAL_READING: Duration = Duration::from_hours(1);

impl MonotonicClock {
    /// Starts a clock at an hour.
    pub fn new() -> Self {
        Self { start: time_since_boot() }
    }
}

/// Returns the time since the host was started, that of its suspensions included.
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

/// A clock that a test moves by hand.
#[derive(Debug, Default)]
pub struct ManualClock {
    millis: AtomicU64,
}

impl ManualClock {
    /// Starts at `millis`.
    pub const fn new(millis: u64) -> Self {
        Self { millis: AtomicU64::new(millis) }
    }

    /// Moves the clock on.
    pub fn advance(&self, duration: Duration) {
        self.millis.fetch_add(duration_millis(duration), Ordering::Relaxed);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> ClockMillis {
        ClockMillis(self.millis.load(Ordering::Relaxed))
    }
}

/// A hybrid logical clock reading: wall time as long as it rises, a counter where it does not.
///
/// Readings order events over all processes so that a cause comes before its effect, even when the
/// hosts' wall clocks differ (Kulkarni et al., "Logical Physical Clocks", 2014).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch, the highest seen so far.
    pub wall_millis: u64,
    /// Orders events within one `wall_millis`.
    pub counter: u32,
}

impl HybridTimestamp {
    /// Returns the next reading at wall time `wall_millis`.
    #[must_use]
    pub const fn next(self, wall_millis: u64) -> Self {
        if wall_millis > self.wall_millis {
            Self { wall_millis, counter: 0 }
        } else {
            Self { wall_millis: self.wall_millis, counter: self.counter + 1 }
        }
    }

    /// Returns the next reading that also comes after a stamp received from another process.
    #[must_use]
    pub fn merge(self, received: Self, wall_millis: u64) -> Self {
        self.max(received).next(wall_millis)
    }
}
