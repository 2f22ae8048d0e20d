//! Reports of suspects between hosts.

use std::time::Duration;

use crate::{
    fleet::{
        WeightVersion,
        quarantine::{EngineIncarnationId, RequestMark},
    },
    organisation::OrganisationName,
};

/// A crash of an engine while it ran a request. Times are ages, since the hosts' clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The incarnation that crashed.
    pub incarnation: EngineIncarnationId,
    /// How long ago the request was sent there.
    pub began_ago: Duration,
    /// How long ago the engine crashed.
    pub crashed_ago: Duration,
}

/// One host's state of one suspect. Merging reports is commutative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request.
    pub mark: RequestMark,
    /// The organisation that sends it, if keys identify one.
    pub organisation: Option<OrganisationName>,
    /// The newest version of its model at any of the crashes.
    pub version: WeightVersion,
    /// The crashes since it last completed.
    pub crashes: Vec<ReportedCrash>,
    /// How long ago it last completed, if it did.
    pub cleared_ago: Option<Duration>,
    /// How long ago it was last probed after a quarantine.
    pub probed_ago: Option<Duration>,
}
