//! How the body of an engine's response ended.

use reelreel_http::{BodyFraming, ReadError};

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// At the announced length or after the last chunk.
    Announced,
    /// With its connection, which delimits it. A body that was cut short ends in the same way.
    Closed,
    /// Within an event of a stream.
    WithinEvent,
    /// Before the announced length or the last chunk, or in a malformed chunk.
    Truncated,
    /// With a failure of the connection.
    Reset,
    /// Not at all: this host closed the connection, because it took its links to engines for cut.
    Abandoned,
}

impl BodyEnd {
    /// Returns the end of a body that was read up to the end that its framing defines.
    pub const fn of_framing(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::UntilClose => Self::Closed,
            BodyFraming::Empty | BodyFraming::Length(_) | BodyFraming::Chunked => Self::Announced,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Closed => "closed",
            Self::WithinEvent => "within_event",
            Self::Truncated => "truncated",
            Self::Reset => "reset",
            Self::Abandoned => "abandoned",
        }
    }
}

impl From<&ReadError> for BodyEnd {
    fn from(error: &ReadError) -> Self {
        match error {
            ReadError::Socket(_) => Self::Reset,
            ReadError::Closed
            | ReadError::TruncatedHead
            | ReadError::Head(_)
            | ReadError::Body(_) => Self::Truncated,
        }
    }
}

/// The framing of a response's body, and how the body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// The framing that the response's head announced.
    pub framing: BodyFraming,
    /// How the body ended.
    pub end: BodyEnd,
}
