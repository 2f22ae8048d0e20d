//! Announcements that engines make about themselves in response headers.

use std::time::Duration;

use crate::fleet::limits::limit::RequestLimit;

/// Maximum cooldown that is honoured at a time. Afterwards one request probes the engine, so that
/// an erroneous value does not exclude it forever.
pub const MAX_COOLDOWN: Duration = Duration::from_mins(10);

/// A value that a response may declare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Declared<Value> {
    /// The response declares no value.
    #[default]
    Absent,
    /// The response declares this value.
    Present(Value),
    /// The response declares a malformed value, which has no effect.
    Unreadable,
}

impl<Value> Declared<Value> {
    /// Returns the value, if one is present.
    pub fn value(self) -> Option<Value> {
        match self {
            Self::Present(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }

    /// Returns this if it is present, or unreadable while `other` is absent; otherwise `other`.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::Present(_), _) | (Self::Unreadable, Self::Absent) => self,
            _ => other,
        }
    }
}

/// Announcement that an engine is leaving: it accepts no new requests and ends once its running
/// ones are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure;

/// Time for which an engine that rejected a request accepts none from the same host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cooldown(Duration);

impl Cooldown {
    /// Creates a cooldown of up to [`MAX_COOLDOWN`]; `None` unless `seconds` is positive.
    pub fn from_seconds(seconds: f64) -> Option<Self> {
        (seconds > 0.0).then(|| {
            let duration = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_COOLDOWN);
            Self(duration.min(MAX_COOLDOWN))
        })
    }

    /// Returns the length of the cooldown.
    pub const fn duration(self) -> Duration {
        self.0
    }
}

/// Announcement that an engine is brittle: it crashes when it has to reject more than this many
/// requests in a second for lack of room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionBound(u32);

impl RejectionBound {
    /// Wraps a number of rejections per second.
    pub const fn new(per_second: u32) -> Self {
        Self(per_second)
    }

    /// Returns the number of rejections per second that the engine survives.
    pub const fn per_second(self) -> u32 {
        self.0
    }
}

/// All announcements of one response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineAnnouncements {
    /// Request rate that the engine accepts from all hosts together.
    pub limit: Declared<RequestLimit>,
    /// Whether the engine is leaving.
    pub departure: Declared<Departure>,
    /// How long the engine accepts no requests from this host.
    pub cooldown: Declared<Cooldown>,
    /// Whether the engine is brittle.
    pub rejection_bound: Declared<RejectionBound>,
}

impl EngineAnnouncements {
    /// Returns the limit that follows from the announcements of an engine with `slots` slots.
    ///
    /// The waiting room of a brittle engine may shrink at any time; what it runs in its slots is
    /// never rejected for lack of room.
    pub fn effective_limit(&self, slots: u32) -> Declared<RequestLimit> {
        match (self.limit, self.rejection_bound) {
            (Declared::Present(limit), Declared::Present(_)) => {
                Declared::Present(limit.with_max_open(slots))
            }
            (Declared::Absent, Declared::Present(_)) => {
                Declared::Present(RequestLimit::open_only(slots))
            }
            (Declared::Absent, Declared::Unreadable) => Declared::Unreadable,
            (limit, _) => limit,
        }
    }

    /// Combines this with the announcements of an earlier response on the same connection; this one
    /// takes precedence.
    #[must_use]
    pub fn merged(self, earlier: Self) -> Self {
        Self {
            limit: self.limit.or(earlier.limit),
            departure: self.departure.or(earlier.departure),
            cooldown: self.cooldown.or(earlier.cooldown),
            rejection_bound: self.rejection_bound.or(earlier.rejection_bound),
        }
    }
}
