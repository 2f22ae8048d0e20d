//! Reports of suspects between hosts.

use std::time::Duration;

use crate::{
    fleet::{
        WeightVersion,
        quarantine::{EngineIncarnationId, RequestTrait},
    },
    organisation::OrganisationName,
};

/// A crash of an engine while it ran requests with a trait. Times are ages, since the hosts' clocks differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The incarnation that crashed.
    pub incarnation: EngineIncarnationId,
    /// How long ago the last of the requests was sent there.
    pub began_ago: Duration,
    /// How long ago the engine crashed.
    pub crashed_ago: Duration,
    /// Some of the interrupted requests, at most four, as the first eight bytes of their marks in little-endian
    /// order. Empty if the trait is that of one request.
    pub requests: Vec<u64>,
}

/// One host's state of one suspect. Merging reports is commutative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// What the interrupted requests had in common.
    pub suspect: RequestTrait,
    /// The organisation that sends the request, if keys identify one; `None` for other traits.
    pub organisation: Option<OrganisationName>,
    /// The newest version of the request's model at any of the crashes; zero for other traits.
    pub version: WeightVersion,
    /// The crashes since a request with the trait last succeeded.
    pub crashes: Vec<ReportedCrash>,
    /// How long ago a request with the trait last succeeded, if one did.
    pub cleared_ago: Option<Duration>,
    /// How long ago the trait was last probed after a quarantine.
    pub probed_ago: Option<Duration>,
}
