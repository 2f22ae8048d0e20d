//! Between the core's messages and the generated frames.

mod permit;
mod table;

use reelreel_core::{
    clock::HybridTimestamp,
    id::{AdapterKey, RequestId},
    message::{
        LoadAsk, LoadPlace, LoadTurn, PeerMessage, SettingsPull, SettingsRecords, SettingsState,
    },
    settings::fold::LogRecord,
};

use crate::{
    codec::PeerFrame,
    peer::{self, frame::Body},
};

/// A frame lacks something that its message needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("frame has no valid `{field}`; check that both hosts run a version that knows it")]
pub struct DecodeError {
    /// What is missing.
    pub field: &'static str,
}

/// Returns what a frame must have.
fn need<T>(value: Option<T>, field: &'static str) -> Result<T, DecodeError> {
    value.ok_or(DecodeError { field })
}

impl From<PeerFrame> for peer::Frame {
    fn from(PeerFrame { from, stamp, message }: PeerFrame) -> Self {
        Self {
            from,
            stamp_wall_millis: stamp.wall_millis,
            stamp_counter: stamp.counter,
            body: Some(body(message)),
        }
    }
}

impl TryFrom<peer::Frame> for PeerFrame {
    type Error = DecodeError;

    fn try_from(frame: peer::Frame) -> Result<Self, DecodeError> {
        let stamp =
            HybridTimestamp { wall_millis: frame.stamp_wall_millis, counter: frame.stamp_counter };
        let message = message(need(frame.body, "body")?)?;
        Ok(Self { from: frame.from, stamp, message })
    }
}

fn body(message: PeerMessage) -> Body {
    match message {
        PeerMessage::Heartbeat(heartbeat) => Body::Heartbeat(heartbeat.into()),
        PeerMessage::HeartbeatAck(heartbeat) => Body::HeartbeatAck(heartbeat.into()),
        PeerMessage::SyncAsk(ask) => Body::SyncAsk(ask.into()),
        PeerMessage::SyncReply(reply) => Body::SyncReply(reply.into()),
        PeerMessage::PermitAsk(ask) => Body::PermitAsk(ask.into()),
        PeerMessage::PermitQueued(queued) => Body::PermitQueued(queued.into()),
        PeerMessage::PermitGranted(granted) => Body::PermitGranted(granted.into()),
        PeerMessage::PermitRefused(refused) => Body::PermitRefused(refused.into()),
        PeerMessage::PermitDone(done) => Body::PermitDone(done.into()),
        PeerMessage::PermitCheck(check) => Body::PermitCheck(check.into()),
        PeerMessage::LoadAsk(ask) => Body::LoadAsk(ask.into()),
        PeerMessage::LoadPlace(place) => Body::LoadPlace(place.into()),
        PeerMessage::LoadGrant(turn) => Body::LoadGrant(turn.into()),
        PeerMessage::LoadEnd(turn) => Body::LoadEnd(turn.into()),
        PeerMessage::SettingsPull(pull) => {
            let SettingsPull { era, next_offset } = pull;
            Body::SettingsPull(peer::SettingsPull { next_offset, era })
        }
        PeerMessage::SettingsRecords(SettingsRecords { era, records }) => {
            let records = records.into_iter().map(Into::into).collect();
            Body::SettingsRecords(peer::SettingsRecords { records, era })
        }
        PeerMessage::SettingsState(SettingsState { era, snapshot }) => {
            Body::SettingsState(peer::SettingsState { snapshot, era })
        }
    }
}

fn message(body: Body) -> Result<PeerMessage, DecodeError> {
    Ok(match body {
        Body::Heartbeat(heartbeat) => PeerMessage::Heartbeat(heartbeat.try_into()?),
        Body::HeartbeatAck(heartbeat) => PeerMessage::HeartbeatAck(heartbeat.try_into()?),
        Body::SyncAsk(ask) => PeerMessage::SyncAsk(ask.try_into()?),
        Body::SyncReply(reply) => PeerMessage::SyncReply(reply.try_into()?),
        Body::PermitAsk(ask) => PeerMessage::PermitAsk(ask.try_into()?),
        Body::PermitQueued(queued) => PeerMessage::PermitQueued(queued.try_into()?),
        Body::PermitGranted(granted) => PeerMessage::PermitGranted(granted.try_into()?),
        Body::PermitRefused(refused) => PeerMessage::PermitRefused(refused.try_into()?),
        Body::PermitDone(done) => PeerMessage::PermitDone(done.try_into()?),
        Body::PermitCheck(check) => PeerMessage::PermitCheck(check.try_into()?),
        Body::LoadAsk(ask) => PeerMessage::LoadAsk(ask.try_into()?),
        Body::LoadPlace(place) => PeerMessage::LoadPlace(place.try_into()?),
        Body::LoadGrant(turn) => PeerMessage::LoadGrant(turn.try_into()?),
        Body::LoadEnd(turn) => PeerMessage::LoadEnd(turn.try_into()?),
        Body::SettingsPull(pull) => {
            let peer::SettingsPull { next_offset, era } = pull;
            PeerMessage::SettingsPull(SettingsPull { era, next_offset })
        }
        Body::SettingsRecords(peer::SettingsRecords { records, era }) => {
            let records = records.into_iter().map(Into::into).collect();
            PeerMessage::SettingsRecords(SettingsRecords { era, records })
        }
        Body::SettingsState(peer::SettingsState { snapshot, era }) => {
            PeerMessage::SettingsState(SettingsState { era, snapshot })
        }
    })
}

impl From<AdapterKey> for peer::Adapter {
    fn from(key: AdapterKey) -> Self {
        Self { adapter: key.adapter, version: key.version }
    }
}

impl From<peer::Adapter> for AdapterKey {
    fn from(adapter: peer::Adapter) -> Self {
        Self { adapter: adapter.adapter, version: adapter.version }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "splits the id into its halves")]
const fn request_name(request: RequestId) -> peer::RequestName {
    peer::RequestName { high: (request >> 64) as u64, low: request as u64 }
}

fn request_id(name: peer::RequestName) -> RequestId {
    (RequestId::from(name.high) << 64) | RequestId::from(name.low)
}

impl From<LoadAsk> for peer::LoadAsk {
    fn from(LoadAsk { engine, adapter, value, running }: LoadAsk) -> Self {
        Self { engine, adapter: Some(adapter.into()), value, running }
    }
}

impl TryFrom<peer::LoadAsk> for LoadAsk {
    type Error = DecodeError;

    fn try_from(ask: peer::LoadAsk) -> Result<Self, DecodeError> {
        let adapter = need(ask.adapter, "adapter")?.into();
        Ok(Self { engine: ask.engine, adapter, value: ask.value, running: ask.running })
    }
}

impl From<LoadPlace> for peer::LoadPlace {
    fn from(LoadPlace { engine, adapter, before, turn }: LoadPlace) -> Self {
        Self { engine, adapter: Some(adapter.into()), before, turn_millis: permit::millis(turn) }
    }
}

impl TryFrom<peer::LoadPlace> for LoadPlace {
    type Error = DecodeError;

    fn try_from(place: peer::LoadPlace) -> Result<Self, DecodeError> {
        let adapter = need(place.adapter, "adapter")?.into();
        let turn = std::time::Duration::from_millis(place.turn_millis);
        Ok(Self { engine: place.engine, adapter, before: place.before, turn })
    }
}

impl From<LoadTurn> for peer::LoadTurn {
    fn from(LoadTurn { engine, adapter }: LoadTurn) -> Self {
        Self { engine, adapter: Some(adapter.into()) }
    }
}

impl TryFrom<peer::LoadTurn> for LoadTurn {
    type Error = DecodeError;

    fn try_from(turn: peer::LoadTurn) -> Result<Self, DecodeError> {
        Ok(Self { engine: turn.engine, adapter: need(turn.adapter, "adapter")?.into() })
    }
}

impl From<LogRecord> for peer::LogRecord {
    fn from(LogRecord { offset, written_millis, payload }: LogRecord) -> Self {
        Self { offset, written_millis, payload }
    }
}

impl From<peer::LogRecord> for LogRecord {
    fn from(peer::LogRecord { offset, written_millis, payload }: peer::LogRecord) -> Self {
        Self { offset, written_millis, payload }
    }
}
