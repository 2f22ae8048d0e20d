//! What hosts tell each other of a request under which engines ended.

use std::time::Duration;

use crate::{
    fleet::{
        WeightVersion,
        quarantine::{EngineIncarnationId, RequestMark},
    },
    organisation::OrganisationName,
};

/// An engine's end while it ran a request, by how long ago that was: hosts' clocks do not agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The life that ended.
    pub incarnation: EngineIncarnationId,
    /// How long ago the request was sent there.
    pub began_ago: Duration,
    /// How long ago the life ended.
    pub crashed_ago: Duration,
}

/// What a host knows of one request. Words are merged: in whichever order they come, and however often, the same is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request.
    pub mark: RequestMark,
    /// Who sends it, where keys tell.
    pub organisation: Option<OrganisationName>,
    /// The newest version of what it names at any of the ends.
    pub version: WeightVersion,
    /// The ends since it last ran whole.
    pub crashes: Vec<ReportedCrash>,
    /// How long ago it last ran whole, if it did.
    pub cleared_ago: Option<Duration>,
    /// How long ago it was last tried after it had been held back.
    pub probed_ago: Option<Duration>,
}
