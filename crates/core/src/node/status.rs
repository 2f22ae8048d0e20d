//! What operators see of a host.

use serde::{Deserialize, Serialize};

use crate::{
    chart::ResidencyState,
    engine::EngineController,
    id::{EngineId, HallId, HostId, LogOffset, Revision},
    node::NodeCore,
};

/// A host's state, as `reelreel status` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The host.
    pub host: HostId,
    /// Its data hall.
    pub hall: HallId,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Where its planned stop stands.
    pub drain: String,
    /// The settings revision in force.
    pub revision: Revision,
    /// The next offset of the settings stream.
    pub next_offset: LogOffset,
    /// Why it stopped reading settings, if it did.
    pub halt: Option<String>,
    /// The host that gives turns at the weight store, as this host sees it.
    pub turns_host: HostId,
    /// Open requests.
    pub open_requests: usize,
    /// Idempotency keys remembered.
    pub keys: usize,
    /// Engines of the site that it knows.
    pub known_engines: usize,
    /// Plain servers of the site that it knows.
    pub known_servers: usize,
    /// Whether keys can be claimed: the claims stream was read to its end and is not away.
    pub claims_open: bool,
    /// The other hosts.
    pub members: Vec<MemberStatus>,
    /// The engines it owns or may come to own.
    pub engines: Vec<EngineStatus>,
}

/// Another host, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host.
    pub host: HostId,
    /// Its data hall.
    pub hall: HallId,
    /// What is believed of it.
    pub state: String,
}

/// An engine, as its owner sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Where ownership stands.
    pub state: String,
    /// The fence token, in hexadecimal.
    pub token: String,
    /// Permits that are out.
    pub permits: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// The adapters that are resident.
    pub residents: Vec<String>,
}

impl NodeCore {
    /// Returns what operators see of the host.
    pub fn status(&self) -> NodeStatus {
        let member = |entry: &crate::member::MemberEntry| MemberStatus {
            host: entry.update.host,
            hall: entry.update.hall,
            state: entry.update.state.name().to_owned(),
        };
        NodeStatus {
            host: self.config.host,
            hall: self.config.hall,
            ready: self.is_ready(),
            drain: self.drain.name().to_owned(),
            revision: self.settings.revision(),
            next_offset: self.settings.next_offset(),
            halt: self.settings.halt().map(ToString::to_string),
            turns_host: self.turns_host,
            open_requests: self.open_requests.len(),
            keys: self.claim_table.len(),
            known_engines: self.backends.engines.len(),
            known_servers: self.backends.servers.len(),
            claims_open: self.progress.claims_open(self.now()),
            members: self.members.others().map(member).collect(),
            engines: self
                .controllers
                .values()
                .map(|controller| self.controller_status(controller))
                .collect(),
        }
    }

    fn controller_status(&self, controller: &EngineController) -> EngineStatus {
        let residents = controller
            .residencies()
            .iter()
            .filter(|(_, residency)| residency.state == ResidencyState::Resident)
            .filter_map(|(adapter, _)| self.settings.tree().adapter_name(*adapter))
            .collect();
        EngineStatus {
            engine: controller.info().engine,
            state: controller.state().name().to_owned(),
            token: format!("{:x}", controller.token()),
            permits: controller.permit_count(),
            waiting: controller.waiting_count(),
            residents,
        }
    }
}
