//! Dispatch of peer messages to their handlers.

use crate::{
    engine::Residency,
    id::HostId,
    message::{PeerMessage, PermitAsk, PermitRefusal, PermitRefused},
    node::NodeCore,
};

impl NodeCore {
    pub(super) fn handle_message(&mut self, from: HostId, message: PeerMessage) {
        if self.members.record_contact(from, self.now()) {
            self.member_changed(from);
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(from, &heartbeat),
            PeerMessage::HeartbeatAck(heartbeat) => self.merge_heartbeat(from, &heartbeat),
            PeerMessage::SyncAsk(ask) => self.handle_sync_ask(from, &ask),
            PeerMessage::SyncReply(reply) => self.handle_sync_reply(reply),
            PeerMessage::PermitAsk(ask) => self.handle_permit_ask(from, ask),
            PeerMessage::PermitQueued(queued) => self.handle_permit_queued(queued),
            PeerMessage::PermitGranted(granted) => self.handle_permit_granted(from, granted),
            PeerMessage::PermitRefused(refused) => self.handle_permit_refused(refused),
            PeerMessage::PermitDone(done) => {
                self.with_controller(done.engine, |controller, now, out| {
                    controller.handle_done(done, now, out);
                });
            }
            PeerMessage::PermitCheck(check) => self.handle_permit_check(from, check),
            PeerMessage::LoadAsk(ask) => self.handle_load_ask(from, &ask),
            PeerMessage::LoadPlace(place) => {
                self.with_controller(place.engine, |controller, now, out| {
                    controller.handle_load_place(place, now, out);
                });
            }
            PeerMessage::LoadGrant(turn) => self.handle_load_grant(from, turn),
            PeerMessage::LoadEnd(turn) => self.handle_load_end(turn),
            PeerMessage::SettingsPull(pull) => self.handle_settings_pull(from, pull),
            PeerMessage::SettingsRecords(records) => self.handle_settings_records(records),
            PeerMessage::SettingsState(state) => self.handle_settings_state(&state),
        }
    }

    /// Handles a permit ask for an engine that this host may own.
    fn handle_permit_ask(&mut self, from: HostId, ask: PermitAsk) {
        let refuse = |reason| {
            PeerMessage::PermitRefused(PermitRefused {
                request: ask.request.request,
                attempt: ask.attempt,
                engine: ask.engine,
                reason,
                retry_after: None,
            })
        };
        if !self.controllers.contains_key(&ask.engine) {
            self.send(from, refuse(PermitRefusal::NotOwner));
            return;
        }
        let is_leaving = |engine| {
            let view = self.backends.engines.get(&engine);
            view.is_some_and(|view| view.leaving_mark.is_set())
        };
        if is_leaving(ask.engine) {
            self.send(from, refuse(PermitRefusal::Leaving));
            return;
        }
        if ask.may_load
            && !ask.replica
            && let Some(other) = self.find_other_holder(&ask)
        {
            self.send(from, refuse(PermitRefusal::Elsewhere(other)));
            return;
        }
        self.with_controller(ask.engine, |controller, now, out| {
            controller.handle_ask(from, ask, now, out);
        });
    }

    /// Finds another engine that holds an adapter that the asked engine would have to load.
    fn find_other_holder(&self, ask: &PermitAsk) -> Option<crate::id::EngineId> {
        let adapter = ask.request.adapter;
        let controller = self.controllers.get(&ask.engine)?;
        if controller.residencies().get(&adapter).is_some_and(Residency::is_present_or_pending) {
            return None;
        }
        let now = self.now();
        let usable = |engine: &&crate::id::EngineId| {
            let view = self.backends.engines.get(*engine);
            view.is_some_and(|view| {
                let serving = view.digest.as_ref().is_some_and(|digest| digest.serving);
                view.accepts_requests(now) && serving && self.members.hall_reachable(view.info.hall)
            })
        };
        let others = self.backends.holders(adapter).iter();
        others.filter(|engine| **engine != ask.engine).find(usable).copied()
    }
}
