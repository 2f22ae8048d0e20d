//! Messages between hosts on their way.

use rand::RngExt;
use reelreel_core::{
    NodeEvent,
    clock::HybridTimestamp,
    id::{HallId, HostId},
    message::PeerMessage,
};

use crate::{
    fault::StepKind,
    host::HostInput,
    site::{Arrival, FAR, FakeSite, NEAR},
};

impl FakeSite {
    /// Puts a message between hosts on its way.
    pub(crate) fn post(
        &mut self,
        from: HostId,
        to: HostId,
        stamp: HybridTimestamp,
        message: PeerMessage,
    ) {
        self.evidence.messages += 1;
        self.evidence.message_bytes += self.measure.map_or(0, |measure| measure(&message));
        if self.active.lossy > 0 && self.rng.random_range(0..3) == 0 {
            return;
        }
        let hall = |site: &Self, id: HostId| site.hosts.get(&id).map(|host| host.hall);
        let near = hall(self, from) == hall(self, to);
        let mut delay = if near { NEAR } else { FAR };
        if self.active.late > 0 {
            delay += 2_000;
        }
        if self.active.disorder > 0 {
            delay += self.rng.random_range(0..800);
        }
        if self.active.doubled > 0 {
            let again = delay + self.rng.random_range(0..2_000);
            let message = message.clone();
            self.push(again, Arrival::Peer { from, to, stamp, message });
        }
        self.push(delay, Arrival::Peer { from, to, stamp, message });
    }

    pub(crate) fn deliver(
        &mut self,
        from: HostId,
        to: HostId,
        stamp: HybridTimestamp,
        message: PeerMessage,
    ) {
        let (Some(sender), Some(receiver)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return;
        };
        let crosses = sender.hall != receiver.hall;
        let cut = |hall: &HallId| self.active.cut_halls.contains(hall);
        if sender.mute > 0 || receiver.deaf > 0 {
            return;
        }
        if crosses && (cut(&sender.hall) || cut(&receiver.hall)) {
            return;
        }
        let life = receiver.life;
        self.step_of_message(to, &message);
        let event = NodeEvent::PeerMessage { from, stamp, message };
        self.input(to, life, HostInput::Event(event));
    }

    pub(crate) fn step_of_message(&mut self, to: HostId, message: &PeerMessage) {
        let (kind, engine, request) = match message {
            PeerMessage::PermitAsk(ask) => {
                (StepKind::PermitAskArrives, Some(ask.engine), Some(ask.request.request))
            }
            PeerMessage::PermitGranted(granted) => {
                (StepKind::PermitGrantArrives, Some(granted.engine), Some(granted.request))
            }
            PeerMessage::PermitDone(done) => {
                (StepKind::PermitDoneArrives, Some(done.engine), Some(done.request))
            }
            PeerMessage::LoadAsk(ask) => (StepKind::LoadAskArrives, Some(ask.engine), None),
            PeerMessage::LoadGrant(turn) => (StepKind::LoadGrantArrives, Some(turn.engine), None),
            PeerMessage::Heartbeat(_) => (StepKind::HeartbeatArrives, None, None),
            _ => return,
        };
        self.step(kind, Some(to), engine, request);
    }
}
