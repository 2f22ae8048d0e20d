//! What engines announce about themselves in the heads of their responses.

use std::time::Duration;

use crate::fleet::limits::limit::RequestLimit;

/// The longest cooldown that is honoured at a time. The engine is probed with one request afterwards, so that a
/// mistyped value does not take it out of service for good.
pub const MAX_COOLDOWN: Duration = Duration::from_mins(10);

/// What a response says on one matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Declared<Value> {
    /// Nothing.
    #[default]
    Absent,
    /// This value.
    Present(Value),
    /// Something that is no such value; it has no effect.
    Unreadable,
}

impl<Value> Declared<Value> {
    /// Returns the value, if there is one.
    pub fn value(self) -> Option<Value> {
        match self {
            Self::Present(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }

    /// Returns this, or `other` where this says nothing that can be read.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::Present(_), _) | (Self::Unreadable, Self::Absent) => self,
            _ => other,
        }
    }
}

/// An engine's statement that it is leaving: it takes no new requests, and ends after those that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure;

/// How long an engine that rejected a request wants none from the host that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cooldown(Duration);

impl Cooldown {
    /// Wraps a number of seconds, at most [`MAX_COOLDOWN`]; `None` unless it is above zero.
    pub fn from_seconds(seconds: f64) -> Option<Self> {
        (seconds > 0.0).then(|| {
            let duration = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_COOLDOWN);
            Self(duration.min(MAX_COOLDOWN))
        })
    }

    /// Returns its length.
    pub const fn duration(self) -> Duration {
        self.0
    }
}

/// Everything that one response announces about its engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineAnnouncements {
    /// How many requests it takes from all hosts together.
    pub limit: Declared<RequestLimit>,
    /// Whether it is leaving.
    pub departure: Declared<Departure>,
    /// How long it wants no requests from this host.
    pub cooldown: Declared<Cooldown>,
}

impl EngineAnnouncements {
    /// Returns what this and an earlier response over the same connection announce together.
    #[must_use]
    pub fn merged(self, earlier: Self) -> Self {
        Self {
            limit: self.limit.or(earlier.limit),
            departure: self.departure.or(earlier.departure),
            cooldown: self.cooldown.or(earlier.cooldown),
        }
    }
}
