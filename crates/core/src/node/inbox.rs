//! Messages from other hosts, each to its handler.

use crate::{
    engine::Residency,
    id::HostId,
    message::{PeerMessage, PermitAsk, PermitRefusal, PermitRefused},
    node::NodeCore,
};

impl NodeCore {
    pub(super) fn take_message(&mut self, from: HostId, message: PeerMessage) {
        if self.members.record_contact(from, self.now()) {
            self.member_changed(from);
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.take_heartbeat(from, &heartbeat),
            PeerMessage::HeartbeatAck(heartbeat) => self.absorb(from, &heartbeat),
            PeerMessage::SyncAsk(ask) => self.take_sync_ask(from, &ask),
            PeerMessage::SyncReply(reply) => self.take_sync_reply(reply),
            PeerMessage::PermitAsk(ask) => self.take_ask(from, ask),
            PeerMessage::PermitQueued(queued) => self.take_queued(queued),
            PeerMessage::PermitGranted(granted) => self.take_granted(from, granted),
            PeerMessage::PermitRefused(refused) => self.take_refused(refused),
            PeerMessage::PermitDone(done) => {
                self.control(done.engine, |control, now, out| control.done(done, now, out));
            }
            PeerMessage::PermitCheck(check) => self.take_check(from, check),
            PeerMessage::LoadAsk(ask) => self.take_load_ask(from, &ask),
            PeerMessage::LoadPlace(place) => {
                self.control(place.engine, |control, now, out| control.place(place, now, out));
            }
            PeerMessage::LoadGrant(turn) => self.take_load_grant(from, turn),
            PeerMessage::LoadEnd(turn) => self.take_load_end(turn),
            PeerMessage::SettingsPull(pull) => self.take_pull(from, pull),
            PeerMessage::SettingsRecords(records) => self.take_records(records),
            PeerMessage::SettingsState(state) => self.take_state(&state),
        }
    }

    /// Takes an ask for a permit of an engine that this host may own.
    fn take_ask(&mut self, from: HostId, ask: PermitAsk) {
        let refuse = |reason| {
            PeerMessage::PermitRefused(PermitRefused {
                request: ask.request.request,
                attempt: ask.attempt,
                engine: ask.engine,
                reason,
                retry_after: None,
            })
        };
        if !self.controls.contains_key(&ask.engine) {
            self.send(from, refuse(PermitRefusal::NotOwner));
            return;
        }
        let left = |engine| {
            let view = self.backends.engines.get(&engine);
            view.is_some_and(|view| view.leave.holds())
        };
        if left(ask.engine) {
            self.send(from, refuse(PermitRefusal::Leaving));
            return;
        }
        if ask.may_load
            && !ask.replica
            && let Some(other) = self.held_elsewhere(&ask)
        {
            self.send(from, refuse(PermitRefusal::Elsewhere(other)));
            return;
        }
        self.control(ask.engine, |control, now, out| control.ask(from, ask, now, out));
    }

    /// Finds another engine that holds the adapter which this one would have to load.
    fn held_elsewhere(&self, ask: &PermitAsk) -> Option<crate::id::EngineId> {
        let adapter = ask.request.adapter;
        let control = self.controls.get(&ask.engine)?;
        if control.residencies().get(&adapter).is_some_and(Residency::is_here_or_coming) {
            return None;
        }
        let now = self.now();
        let open = |engine: &&crate::id::EngineId| {
            let view = self.backends.engines.get(*engine);
            view.is_some_and(|view| {
                let serving = view.digest.as_ref().is_some_and(|digest| digest.serving);
                view.open(now) && serving && self.members.hall_reachable(view.facts.hall)
            })
        };
        let others = self.backends.holders(adapter).iter();
        others.filter(|engine| **engine != ask.engine).find(open).copied()
    }
}
