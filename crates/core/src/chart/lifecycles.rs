//! The lifecycles and their charts.

super::lifecycle! {
    /// A host's ownership of an engine.
    EngineState, "engine.toml", {
        /// This host is not the owner.
        Foreign = "foreign",
        /// This host is the assigned owner; a previous owner of an engine without a fence may still
        /// act.
        Waiting = "waiting",
        /// The order that raises the fence is in flight.
        TakingOver = "taking_over",
        /// The fence is raised; a report written after that is awaited before anything is unloaded.
        Settling = "settling",
        /// Permits are granted and loads ordered.
        Owned = "owned",
        /// The engine is leaving: running requests finish, none are started.
        Leaving = "leaving",
    },
    /// Events of engine ownership.
    EngineEvent {
        /// This host became the assigned owner.
        Assigned = "assigned",
        /// Another host became the assigned owner.
        Unassigned = "unassigned",
        /// The wait for a previous owner is over; there is none for an engine that checks fences.
        HandoverOver = "handover_over",
        /// The engine accepted the raise of the fence.
        FenceRaised = "fence_raised",
        /// The engine has accepted a higher token than this host's.
        FenceLost = "fence_lost",
        /// A report written after the fence was raised arrived.
        Settled = "settled",
        /// The engine restarted: a new incarnation, with nothing loaded.
        Restarted = "restarted",
        /// The engine was found to be leaving.
        LeaveSeen = "leave_seen",
    }
}

super::lifecycle! {
    /// The residency of an adapter version on an engine.
    ResidencyState, "residency.toml", {
        /// Not loaded, and no load is requested.
        Absent = "absent",
        /// A turn at the weight store was asked for.
        Queued = "queued",
        /// The turn was granted; a slot is being freed.
        Clearing = "clearing",
        /// The load order is in flight.
        Loading = "loading",
        /// Loaded; permits are granted.
        Resident = "resident",
        /// Its slot is needed: running requests finish, no permits are granted.
        Draining = "draining",
        /// It is idle and the unload order is in flight; no permits are granted.
        Unloading = "unloading",
        /// The last load failed; it is not retried before its back-off ends.
        Failed = "failed",
    },
    /// Events of a residency.
    ResidencyEvent {
        /// The adapter is wanted on this engine.
        Wanted = "wanted",
        /// No request waits for it any more, or its load was postponed.
        Unwanted = "unwanted",
        /// The turn was granted.
        TurnCame = "turn_came",
        /// A slot is free for it.
        SlotFree = "slot_free",
        /// The engine reported it as loaded.
        Loaded = "loaded",
        /// The load failed.
        LoadFailed = "load_failed",
        /// A more valuable load needs its slot.
        Closed = "closed",
        /// Its slot is no longer needed.
        Reopened = "reopened",
        /// Its unload was ordered.
        Evicted = "evicted",
        /// The engine reported it as unloaded.
        Gone = "gone",
        /// The back-off has ended.
        BackoffOver = "backoff_over",
    }
}

super::lifecycle! {
    /// A caller's request on the host that received it.
    RequestState, "request.toml", {
        /// Its idempotency key is being claimed in the platform's log.
        Claiming = "claiming",
        /// A permit is being asked for; nothing was sent to a backend server.
        Asking = "asking",
        /// A backend server may have the request.
        Dispatched = "dispatched",
        /// An earlier attempt was interrupted and may have run; a permit for another is being asked
        /// for.
        AskingAgain = "asking_again",
        /// A backend server may have the request, after an earlier attempt that may have run.
        DispatchedAgain = "dispatched_again",
        /// The complete answer was passed on.
        Answered = "answered",
        /// The request did not run.
        NotRun = "not_run",
        /// The request may have run, and its answer is incomplete.
        Unknown = "unknown",
    },
    /// Events of a request.
    RequestEvent {
        /// The key is claimed, or there is none.
        Claimed = "claimed",
        /// A permit was granted and the request was passed to its traffic thread.
        Permitted = "permitted",
        /// The traffic thread or the engine reported that it did not run; another permit may be
        /// asked for.
        NeverRan = "never_ran",
        /// The complete answer was passed on.
        AnswerEnded = "answer_ended",
        /// The exchange broke off after bytes may have reached the backend server.
        Broke = "broke",
        /// A repeatable request that was interrupted before any answer byte is retried.
        Retried = "retried",
        /// The request was refused, passed its deadline, or lost its caller.
        GivenUp = "given_up",
    }
}

impl RequestState {
    /// Returns whether a permit is being asked for.
    pub const fn is_asking(self) -> bool {
        matches!(self, Self::Asking | Self::AskingAgain)
    }

    /// Returns whether a backend server may have the request.
    pub const fn is_dispatched(self) -> bool {
        matches!(self, Self::Dispatched | Self::DispatchedAgain)
    }
}

super::lifecycle! {
    /// A load turn on the host that grants the turns at the weight store.
    LoadState, "load.toml", {
        /// The engine's owner asks for the turn.
        Waiting = "waiting",
        /// The turn is granted.
        Running = "running",
        /// The load completed or failed, or its ask was dropped.
        Ended = "ended",
    },
    /// Events of a load turn.
    LoadEvent {
        /// It is the most valuable load and the store's limits allow it.
        Granted = "granted",
        /// The owner reported the end of the load.
        Finished = "finished",
        /// The owner no longer renews its ask.
        Dropped = "dropped",
        /// The owner no longer renews the turn.
        TimedOut = "timed_out",
    }
}

super::lifecycle! {
    /// One host's claim of an idempotency key.
    ClaimState, "claim.toml", {
        /// Waits for the next append.
        Pending = "pending",
        /// The append was sent; the log decides, since the answer may be lost.
        Sent = "sent",
        /// It is the first claim of its key in the log.
        Won = "won",
        /// Another claim of the key is the first in the log.
        Lost = "lost",
        /// Abandoned before it was decided; it is released if it appears in the log as the first.
        Abandoned = "abandoned",
    },
    /// Events of a claim.
    ClaimEvent {
        /// It was added to an append.
        Appended = "appended",
        /// The platform refused the append; nothing was written.
        AppendRefused = "append_refused",
        /// It was read from the log as the first claim.
        SeenFirst = "seen_first",
        /// It was read from the log after another claim.
        SeenLater = "seen_later",
        /// The request ended without running.
        Abandoned = "abandoned",
    }
}

super::lifecycle! {
    /// The membership state of a host, as seen by another one.
    MemberState, "member.toml", {
        /// Answers heartbeats, or is reported alive by others.
        Alive = "alive",
        /// Missed a heartbeat; may still refute the suspicion.
        Suspect = "suspect",
        /// Did not refute the suspicion in time.
        Dead = "dead",
        /// Announced that it is shutting down.
        Leaving = "leaving",
    },
    /// Events of a member.
    MemberEvent {
        /// It sent a message.
        Heard = "heard",
        /// It did not answer a heartbeat in time.
        Missed = "missed",
        /// The time to refute is over.
        TimedOut = "timed_out",
        /// It announced that it is shutting down.
        Left = "left",
        /// It returned with a new incarnation.
        Returned = "returned",
    }
}

super::lifecycle! {
    /// An operator's publication of settings, as seen by its publisher.
    PublicationState, "publication.toml", {
        /// Checked against the settings tree and not yet sent.
        Checked = "checked",
        /// Sent to the log; the answer may be lost.
        Sent = "sent",
        /// It was read from the log and accepted.
        Accepted = "accepted",
        /// It was read from the log and refused, or was not written.
        Refused = "refused",
    },
    /// Events of a publication.
    PublicationEvent {
        /// The append was sent.
        Appended = "appended",
        /// It was read from the log and accepted.
        SeenAccepted = "seen_accepted",
        /// It was read from the log and refused.
        SeenRefused = "seen_refused",
        /// The platform refused the append; nothing was written.
        AppendRefused = "append_refused",
    }
}

super::lifecycle! {
    /// A host's graceful shutdown.
    DrainState, "drain.toml", {
        /// Serves callers.
        Serving = "serving",
        /// Refuses new requests and hands its engines over.
        HandingOver = "handing_over",
        /// Owns no engines; waits for the last requests to end.
        Finishing = "finishing",
        /// The process may exit.
        Stopped = "stopped",
    },
    /// Events of a graceful shutdown.
    DrainEvent {
        /// The shutdown was requested.
        StopAsked = "stop_asked",
        /// All engines were handed over.
        HandedOver = "handed_over",
        /// The last request ended.
        StreamsEnded = "streams_ended",
    }
}

super::lifecycle! {
    /// A host's tenure of the lease of a placement domain.
    TenureState, "tenure.toml", {
        /// This host does not hold the lease.
        Absent = "absent",
        /// This host holds the lease; orders of the previous holder may still arrive.
        Waiting = "waiting",
        /// This host issues orders.
        Acting = "acting",
        /// The lease was not confirmed in time; another host may hold it.
        Lapsed = "lapsed",
        /// Like `Lapsed`, but lapsed while still waiting.
        LapsedWaiting = "lapsed_waiting",
        /// An engine has seen a later holder's token; this tenure issues no more orders.
        Refused = "refused",
    },
    /// Events of a tenure.
    TenureEvent {
        /// The lease was assigned to this host.
        Listed = "listed",
        /// The lease is no longer assigned to this host.
        Unlisted = "unlisted",
        /// The previous holder can no longer act.
        WaitOver = "wait_over",
        /// The lease was not confirmed within its time to live.
        Lapsed = "lapsed",
        /// The lease was confirmed in time, under the same tenure.
        Confirmed = "confirmed",
        /// An engine refused the tenure's token.
        Refused = "refused",
        /// Another host may have held the lease meanwhile; a new tenure begins.
        Renewed = "renewed",
    }
}

super::lifecycle! {
    /// Whether a host's configuration is recent enough to authenticate API keys with it.
    FreshnessState, "freshness.toml", {
        /// It is not yet confirmed as the newest.
        Unknown = "unknown",
        /// It was recently confirmed as the newest.
        Fresh = "fresh",
        /// It was confirmed too long ago: keys may have been revoked since.
        Expired = "expired",
        /// A newer configuration exists and cannot be read.
        Superseded = "superseded",
    },
    /// Events of a configuration's freshness.
    FreshnessEvent {
        /// It was confirmed as the newest.
        Confirmed = "confirmed",
        /// The bound on serving revoked keys has passed.
        Aged = "aged",
        /// A newer configuration cannot be read.
        Unreadable = "unreadable",
        /// A newer configuration took effect.
        Replaced = "replaced",
    }
}

super::lifecycle! {
    /// Whether a host can open connections to engines.
    LinkState, "links.toml", {
        /// Connections can be opened.
        Connected = "connected",
        /// Connects to several engines have failed; other engines are being tried.
        Suspected = "suspected",
        /// No engine can be connected to from this host.
        Isolated = "isolated",
    },
    /// Events of a host's links to engines.
    LinkEvent {
        /// Connects to several engines failed, with no success in between.
        Failing = "failing",
        /// An engine was reached.
        Reachable = "reachable",
        /// None of the tried engines was reached.
        Unreachable = "unreachable",
    }
}
