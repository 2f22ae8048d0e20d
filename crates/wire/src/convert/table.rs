//! Conversions of heartbeats and of the tables that hosts synchronize.

use reelreel_core::{
    chart::MemberState,
    engine::EngineInfo,
    gossip::{DigestVersion, EngineDigest},
    id::HallId,
    member::MemberUpdate,
    message::{Heartbeat, SyncAsk, SyncReply},
    node::{HostEntry, HostKind, ServerInfo},
};

use super::{DecodeError, require};
use crate::peer;

impl From<MemberUpdate> for peer::Member {
    fn from(update: MemberUpdate) -> Self {
        let state = match update.state {
            MemberState::Alive => peer::MemberState::Alive,
            MemberState::Suspect => peer::MemberState::Suspect,
            MemberState::Dead => peer::MemberState::Dead,
            MemberState::Leaving => peer::MemberState::Leaving,
        };
        Self {
            host: update.host,
            hall: update.hall.into(),
            address: update.address,
            incarnation: update.incarnation,
            refutations: update.refutations,
            state: state.into(),
        }
    }
}

impl TryFrom<peer::Member> for MemberUpdate {
    type Error = DecodeError;

    fn try_from(member: peer::Member) -> Result<Self, DecodeError> {
        let state = match member.state() {
            peer::MemberState::Alive => MemberState::Alive,
            peer::MemberState::Suspect => MemberState::Suspect,
            peer::MemberState::Dead => MemberState::Dead,
            peer::MemberState::Leaving => MemberState::Leaving,
        };
        let hall = HallId::try_from(member.hall).ok();
        Ok(Self {
            host: member.host,
            hall: require(hall, "hall")?,
            address: member.address,
            incarnation: member.incarnation,
            refutations: member.refutations,
            state,
        })
    }
}

impl From<EngineDigest> for peer::Digest {
    fn from(digest: EngineDigest) -> Self {
        let EngineDigest { engine, incarnation, owner, token, sequence, serving, residents } =
            digest;
        let residents = residents.into_iter().map(Into::into).collect();
        Self { engine, incarnation, owner, token, sequence, serving, residents }
    }
}

impl From<peer::Digest> for EngineDigest {
    fn from(digest: peer::Digest) -> Self {
        let peer::Digest { engine, incarnation, owner, token, sequence, serving, residents } =
            digest;
        let residents = residents.into_iter().map(Into::into).collect();
        Self { engine, incarnation, owner, token, sequence, serving, residents }
    }
}

fn encode_members(updates: Vec<MemberUpdate>) -> Vec<peer::Member> {
    updates.into_iter().map(Into::into).collect()
}

fn decode_members(members: Vec<peer::Member>) -> Result<Vec<MemberUpdate>, DecodeError> {
    members.into_iter().map(MemberUpdate::try_from).collect()
}

impl From<Heartbeat> for peer::Heartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            sequence: heartbeat.sequence,
            sender: Some(heartbeat.sender.into()),
            revision: heartbeat.revision,
            era: heartbeat.era,
            next_offset: heartbeat.next_offset,
            table_hash: heartbeat.table_hash,
            members: encode_members(heartbeat.members),
            digests: heartbeat.digests.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<peer::Heartbeat> for Heartbeat {
    type Error = DecodeError;

    fn try_from(heartbeat: peer::Heartbeat) -> Result<Self, DecodeError> {
        Ok(Self {
            sequence: heartbeat.sequence,
            sender: require(heartbeat.sender, "sender")?.try_into()?,
            revision: heartbeat.revision,
            era: heartbeat.era,
            next_offset: heartbeat.next_offset,
            table_hash: heartbeat.table_hash,
            members: decode_members(heartbeat.members)?,
            digests: heartbeat.digests.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<SyncAsk> for peer::SyncAsk {
    fn from(ask: SyncAsk) -> Self {
        let version = |version: DigestVersion| peer::DigestVersion {
            engine: version.engine,
            incarnation: version.incarnation,
            token: version.token,
            sequence: version.sequence,
        };
        let digests = ask.digests.into_iter().map(version).collect();
        Self { digests, members: encode_members(ask.members), wants_backends: ask.wants_backends }
    }
}

impl TryFrom<peer::SyncAsk> for SyncAsk {
    type Error = DecodeError;

    fn try_from(ask: peer::SyncAsk) -> Result<Self, DecodeError> {
        let version = |version: peer::DigestVersion| DigestVersion {
            engine: version.engine,
            incarnation: version.incarnation,
            token: version.token,
            sequence: version.sequence,
        };
        let digests = ask.digests.into_iter().map(version).collect();
        let members = decode_members(ask.members)?;
        Ok(Self { digests, members, wants_backends: ask.wants_backends })
    }
}

impl From<SyncReply> for peer::SyncReply {
    fn from(reply: SyncReply) -> Self {
        let digests = reply.digests.into_iter().map(Into::into).collect();
        let backends = reply.backends.into_iter().filter_map(encode_backend).collect();
        Self { digests, members: encode_members(reply.members), backends }
    }
}

impl TryFrom<peer::SyncReply> for SyncReply {
    type Error = DecodeError;

    fn try_from(reply: peer::SyncReply) -> Result<Self, DecodeError> {
        let digests = reply.digests.into_iter().map(Into::into).collect();
        let backends = reply.backends.into_iter().map(decode_backend).collect::<Result<_, _>>()?;
        Ok(Self { digests, members: decode_members(reply.members)?, backends })
    }
}

/// Encodes a backend server; `None` for entry hosts, which are sent as members.
fn encode_backend(HostEntry { kind, leaving }: HostEntry) -> Option<peer::Backend> {
    match kind {
        HostKind::Entry { .. } => None,
        HostKind::Engine(info) => Some(peer::Backend {
            engine: true,
            id: info.engine,
            hall: info.hall.into(),
            service: info.service,
            address: info.address,
            slots: info.slots,
            streams: info.streams,
            checks_fence: info.checks_fence,
            incarnation: info.incarnation,
            leaving,
        }),
        HostKind::Server(info) => Some(peer::Backend {
            id: info.server,
            hall: info.hall.into(),
            service: info.service,
            address: info.address,
            incarnation: info.incarnation,
            leaving,
            ..peer::Backend::default()
        }),
    }
}

fn decode_backend(backend: peer::Backend) -> Result<HostEntry, DecodeError> {
    let hall = require(HallId::try_from(backend.hall).ok(), "hall")?;
    let peer::Backend { id, service, address, incarnation, leaving, .. } = backend;
    let kind = if backend.engine {
        HostKind::Engine(EngineInfo {
            engine: id,
            hall,
            service,
            address,
            slots: backend.slots,
            streams: backend.streams,
            checks_fence: backend.checks_fence,
            incarnation,
        })
    } else {
        HostKind::Server(ServerInfo { server: id, hall, service, address, incarnation })
    };
    Ok(HostEntry { kind, leaving })
}
