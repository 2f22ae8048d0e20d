//! The status of a host for operators.

use serde::{Deserialize, Serialize};

use crate::{
    chart::ResidencyState,
    engine::EngineController,
    id::{EngineId, HallId, HostId, LogOffset, Revision},
    node::NodeCore,
};

/// A host's status, as shown by `reelreel status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The host.
    pub host: HostId,
    /// Its data hall.
    pub hall: HallId,
    /// Whether it accepts callers.
    pub ready: bool,
    /// The state of its graceful shutdown.
    pub drain: String,
    /// The settings revision in force.
    pub revision: Revision,
    /// The next offset of the settings stream.
    pub next_offset: LogOffset,
    /// Why it stopped applying settings, if it did.
    pub halt: Option<String>,
    /// The host that grants load turns at the weight store, according to this host.
    pub turns_host: HostId,
    /// The number of open requests.
    pub open_requests: usize,
    /// The number of idempotency keys remembered.
    pub keys: usize,
    /// The number of known engines.
    pub known_engines: usize,
    /// The number of known plain servers.
    pub known_servers: usize,
    /// Whether idempotency keys can be claimed.
    pub claims_open: bool,
    /// The other hosts.
    pub members: Vec<MemberStatus>,
    /// The engines that it owns or may own.
    pub engines: Vec<EngineStatus>,
}

/// Another host as seen by this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host.
    pub host: HostId,
    /// Its data hall.
    pub hall: HallId,
    /// Its membership state.
    pub state: String,
}

/// An engine as seen by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// The state of its ownership.
    pub state: String,
    /// The fence token, in hexadecimal.
    pub token: String,
    /// The number of permits in use.
    pub permits: usize,
    /// The number of waiting requests.
    pub waiting: usize,
    /// The names of the resident adapters.
    pub residents: Vec<String>,
}

impl NodeCore {
    /// Returns the host's status.
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
            turns_host: self.scheduling_host,
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
