//! Delivery of messages between hosts.

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
    site::{FakeSite, HALL_DELAY_MS, INTER_HALL_DELAY_MS, SiteEvent},
};

impl FakeSite {
    /// Schedules the delivery of a message between hosts, subject to the active faults.
    pub(crate) fn send_message(
        &mut self,
        from: HostId,
        to: HostId,
        stamp: HybridTimestamp,
        message: PeerMessage,
    ) {
        self.evidence.messages += 1;
        self.evidence.message_bytes += self.measure.map_or(0, |measure| measure(&message));
        if self.active.message_lost > 0 && self.rng.random_range(0..3) == 0 {
            return;
        }
        let hall = |site: &Self, id: HostId| site.hosts.get(&id).map(|host| host.hall);
        let same_hall = hall(self, from) == hall(self, to);
        let mut delay = if same_hall { HALL_DELAY_MS } else { INTER_HALL_DELAY_MS };
        if self.active.message_late > 0 {
            delay += 2_000;
        }
        if self.active.message_out_of_order > 0 {
            delay += self.rng.random_range(0..800);
        }
        if self.active.message_duplicated > 0 {
            let duplicate_delay = delay + self.rng.random_range(0..2_000);
            let message = message.clone();
            self.push(duplicate_delay, SiteEvent::Peer { from, to, stamp, message });
        }
        self.push(delay, SiteEvent::Peer { from, to, stamp, message });
    }

    pub(crate) fn deliver_message(
        &mut self,
        from: HostId,
        to: HostId,
        stamp: HybridTimestamp,
        message: PeerMessage,
    ) {
        let (Some(sender), Some(receiver)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return;
        };
        let crosses_halls = sender.hall != receiver.hall;
        let partitioned = |hall: &HallId| self.active.partitioned_halls.contains(hall);
        if sender.outbound_blocked > 0 || receiver.inbound_blocked > 0 {
            return;
        }
        if crosses_halls && (partitioned(&sender.hall) || partitioned(&receiver.hall)) {
            return;
        }
        let generation = receiver.generation;
        self.record_message_step(to, &message);
        let event = NodeEvent::PeerMessage { from, stamp, message };
        self.deliver_input(to, generation, HostInput::Event(event));
    }

    pub(crate) fn record_message_step(&mut self, to: HostId, message: &PeerMessage) {
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
        self.record_step(kind, Some(to), engine, request);
    }
}
