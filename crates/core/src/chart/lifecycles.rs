//! The life cycles of the system, each with its chart.

super::lifecycle! {
    /// The owner's hold on one engine.
    EngineState, "engine.toml", {
        /// Another host owns the engine, or none is known to.
        Foreign = "foreign",
        /// The view makes this host the owner; an earlier owner may still act (engines without fence).
        Waiting = "waiting",
        /// The take-over order is under way.
        TakingOver = "taking_over",
        /// The fence holds; a report from after it is awaited before anything may be unloaded.
        Settling = "settling",
        /// Requests are granted and loads ordered.
        Owned = "owned",
        /// The engine is leaving: what runs may end, nothing new starts.
        Leaving = "leaving",
    },
    /// What moves an engine between its states.
    EngineEvent {
        /// The view makes this host the owner.
        Assigned = "assigned",
        /// The view makes another host the owner.
        Unassigned = "unassigned",
        /// Any earlier owner's promise has run out, or the engine checks fences itself.
        HandoverOver = "handover_over",
        /// The engine accepted the take-over order.
        FenceRaised = "fence_raised",
        /// The engine answered with a higher token than ours.
        FenceLost = "fence_lost",
        /// A report came that the engine wrote after the fence was raised.
        Settled = "settled",
        /// The engine was restarted: a new incarnation, with nothing loaded.
        Restarted = "restarted",
        /// Any sign says that the engine is leaving.
        LeaveSeen = "leave_seen",
    }
}

super::lifecycle! {
    /// One adapter version's stay on one engine.
    ResidencyState, "residency.toml", {
        /// Not there, and nobody has asked for it to be.
        Absent = "absent",
        /// A turn at the weight store has been asked for.
        Queued = "queued",
        /// The turn is there; another adapter is being unloaded first.
        Clearing = "clearing",
        /// The load order is under way.
        Loading = "loading",
        /// Requests may run on it.
        Resident = "resident",
        /// It is to give up its slot: what runs may end, nothing new is granted.
        Draining = "draining",
        /// Nothing runs on it and the unload order is under way; no request is granted.
        Unloading = "unloading",
        /// The last load failed; it is not tried again before its back-off ends.
        Failed = "failed",
    },
    /// What moves a residency between its states.
    ResidencyEvent {
        /// The adapter is wanted on this engine.
        Wanted = "wanted",
        /// Nobody waits for it any more.
        Unwanted = "unwanted",
        /// The turn came and a slot must be cleared.
        TurnCame = "turn_came",
        /// A slot is free for it.
        SlotFree = "slot_free",
        /// The engine says it is loaded.
        Loaded = "loaded",
        /// The load failed.
        LoadFailed = "load_failed",
        /// Something worth more needs its slot.
        Closed = "closed",
        /// Nothing needs its slot any more.
        Reopened = "reopened",
        /// It gives up its slot and nothing runs on it.
        Evicted = "evicted",
        /// The engine says it is gone.
        Gone = "gone",
        /// The back-off has ended.
        BackoffOver = "backoff_over",
    }
}

super::lifecycle! {
    /// One caller's request on the host that received it.
    RequestState, "request.toml", {
        /// Its idempotency key is being claimed in the platform's log.
        Claiming = "claiming",
        /// A permit has been asked for; no byte has left for a backend server.
        Asking = "asking",
        /// A backend server may have the request.
        Dispatched = "dispatched",
        /// A try broke off and may have run; a permit for another has been asked for.
        AskingAgain = "asking_again",
        /// A backend server may have the request, after an earlier try that may have run.
        DispatchedAgain = "dispatched_again",
        /// The whole answer came.
        Answered = "answered",
        /// It truly did not run.
        NotRun = "not_run",
        /// It may have run, and its answer is not whole.
        Unknown = "unknown",
    },
    /// What moves a request between its states.
    RequestEvent {
        /// The key is claimed, or there is none.
        Claimed = "claimed",
        /// A permit came and the request is handed to its traffic thread.
        Permitted = "permitted",
        /// The traffic thread or the engine says it was not run: another permit may be asked for.
        NeverRan = "never_ran",
        /// The whole answer was passed on.
        AnswerEnded = "answer_ended",
        /// The exchange broke off after bytes may have reached the backend server.
        Broke = "broke",
        /// A repeatable request that broke before any answer byte may be tried again.
        Retried = "retried",
        /// The request is given up: refused, past its deadline, or its caller is gone.
        GivenUp = "given_up",
    }
}

impl RequestState {
    /// Says whether a permit is being asked for.
    pub const fn is_asking(self) -> bool {
        matches!(self, Self::Asking | Self::AskingAgain)
    }

    /// Says whether a backend server may have the request.
    pub const fn is_dispatched(self) -> bool {
        matches!(self, Self::Dispatched | Self::DispatchedAgain)
    }
}

super::lifecycle! {
    /// A turn at the weight store, on the host that gives the turns.
    LoadState, "load.toml", {
        /// Its owner asks for a turn.
        Waiting = "waiting",
        /// It has the turn.
        Running = "running",
        /// Done, failed or dropped.
        Ended = "ended",
    },
    /// What moves a load between its states.
    LoadEvent {
        /// It is the most valuable one and the budget has room.
        Granted = "granted",
        /// Its owner says it ended.
        Finished = "finished",
        /// Its owner no longer asks, or was not heard from.
        Dropped = "dropped",
        /// A turn was held longer than a load can take.
        TimedOut = "timed_out",
    }
}

super::lifecycle! {
    /// One host's claim of an idempotency key.
    ClaimState, "claim.toml", {
        /// Waits to be put into an append.
        Pending = "pending",
        /// The append was sent; its answer may be lost, so the log is read for the verdict.
        Sent = "sent",
        /// The log holds it as the first for its key.
        Won = "won",
        /// The log holds another as the first.
        Lost = "lost",
        /// Given up before it was won; when it shows up it is released again.
        Abandoned = "abandoned",
    },
    /// What moves a claim between its states.
    ClaimEvent {
        /// It was put into an append.
        Appended = "appended",
        /// The platform truly refused the append: nothing was written.
        AppendRefused = "append_refused",
        /// The log shows it first.
        SeenFirst = "seen_first",
        /// The log shows another first.
        SeenLater = "seen_later",
        /// The request was given up.
        Abandoned = "abandoned",
    }
}

super::lifecycle! {
    /// What a host believes of another one.
    MemberState, "member.toml", {
        /// Answers, or is vouched for by others.
        Alive = "alive",
        /// Missed an answer; may refute with a higher incarnation.
        Suspect = "suspect",
        /// Did not refute in time.
        Dead = "dead",
        /// Said that it is stopping.
        Leaving = "leaving",
    },
    /// What moves a member between its states.
    MemberEvent {
        /// It answered, or refuted the suspicion.
        Heard = "heard",
        /// It missed an answer, or a peer says so.
        Missed = "missed",
        /// The time to refute has run out.
        TimedOut = "timed_out",
        /// It says that it is stopping.
        Left = "left",
        /// It came back with a new incarnation.
        Returned = "returned",
    }
}

super::lifecycle! {
    /// One operator's publication, as its publisher sees it.
    PublicationState, "publication.toml", {
        /// Checked against the tree and not yet sent.
        Checked = "checked",
        /// Sent to the log; the answer may be lost.
        Sent = "sent",
        /// The fold accepted it.
        Accepted = "accepted",
        /// The fold refused it, or it never reached the log.
        Refused = "refused",
    },
    /// What moves a publication between its states.
    PublicationEvent {
        /// The append was sent.
        Appended = "appended",
        /// The log shows it and the fold accepted it.
        SeenAccepted = "seen_accepted",
        /// The log shows it and the fold refused it.
        SeenRefused = "seen_refused",
        /// The platform refused it before writing.
        AppendRefused = "append_refused",
    }
}

super::lifecycle! {
    /// A host's planned stop.
    DrainState, "drain.toml", {
        /// Serves.
        Serving = "serving",
        /// Told the balancer and its peers, and hands over its engines.
        HandingOver = "handing_over",
        /// Owns nothing; waits for its last streams to end.
        Finishing = "finishing",
        /// May exit.
        Stopped = "stopped",
    },
    /// What moves a planned stop on.
    DrainEvent {
        /// The operator or the supervisor asked for the stop.
        StopAsked = "stop_asked",
        /// No engine is owned any more.
        HandedOver = "handed_over",
        /// The last stream ended.
        StreamsEnded = "streams_ended",
    }
}

super::lifecycle! {
    /// A host's hold on the lease of one placement domain.
    TenureState, "tenure.toml", {
        /// Another host holds the lease, or nobody does.
        Absent = "absent",
        /// This host holds it; orders of the holder before may still arrive.
        Waiting = "waiting",
        /// This host gives orders.
        Acting = "acting",
        /// The lease was not confirmed in time; it may have passed on.
        Lapsed = "lapsed",
        /// As `Lapsed`, before any order was given.
        LapsedWaiting = "lapsed_waiting",
        /// An engine has seen a later holder's token; this tenure gives no more orders.
        Refused = "refused",
    },
    /// What moves a tenure between its states.
    TenureEvent {
        /// The lease was dealt to this host.
        Listed = "listed",
        /// The lease is no longer this host's.
        Unlisted = "unlisted",
        /// The holder before can not act any more.
        WaitOver = "wait_over",
        /// The lease was not confirmed within its time to live.
        Lapsed = "lapsed",
        /// The lease was confirmed in time, under the same tenure.
        Confirmed = "confirmed",
        /// An engine refused the tenure's token.
        Refused = "refused",
        /// The lease may have passed on and come back: a new tenure begins.
        Renewed = "renewed",
    }
}

super::lifecycle! {
    /// Whether a host's configuration is known to be new enough to serve keys by it.
    FreshnessState, "freshness.toml", {
        /// No answer has told yet that it is the newest.
        Unknown = "unknown",
        /// It was the newest a short time ago.
        Fresh = "fresh",
        /// A key may have been withdrawn too long ago.
        Expired = "expired",
        /// A newer one exists and can not be read.
        Superseded = "superseded",
    },
    /// What moves the belief in a configuration between its states.
    FreshnessEvent {
        /// It was the newest one at a moment that is near enough.
        Confirmed = "confirmed",
        /// The operator's bound for withdrawn keys is over.
        Aged = "aged",
        /// A newer configuration can not be read.
        Unreadable = "unreadable",
        /// A newer configuration came into force.
        Replaced = "replaced",
    }
}
