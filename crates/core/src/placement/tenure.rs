//! Whether this host may give orders in a placement domain, and with which token.
//!
//! The platform deals each domain's lease to one member of a group. The generation at which a tenure
//! began is its fencing token: within one era of the store generations only rise, and one generation deals a lease only once.
//! The era goes before the generation in the token ([`crate::id::generation_token`]).

use std::time::Duration;

use crate::{
    chart::{TenureEvent, TenureState},
    clock::ClockMillis,
    id::{FenceToken, token_era},
};

/// How much later than its sender expects an order may reach an engine.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(600);

/// The times that a tenure keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRules {
    /// How long the lease lives after a join was sent.
    pub time_to_live: Duration,
    /// How long a new holder waits for orders of the holder before to have ended, where engines
    /// don't refuse them; and how long a host waits that had the lease just before another did.
    pub handover_wait: Duration,
    /// Whether engines refuse the orders of earlier tenures, so that a holder that can not confirm
    /// its lease may go on until an engine refuses it.
    pub engines_enforce_fencing: bool,
}

/// This host's hold on the lease of one domain.
#[derive(Debug, Clone)]
pub struct PlacerTenure {
    rules: LeaseRules,
    state: TenureState,
    token: FenceToken,
    began_at: ClockMillis,
    confirmed_at: ClockMillis,
    store_unreachable: bool,
    /// Whether the present tenure began since the store came back from an older copy.
    began_after_store_rollback: bool,
    /// When orders were last given or under way, in any tenure.
    last_active_at: Option<ClockMillis>,
}

impl PlacerTenure {
    /// Starts without the lease.
    pub fn new(rules: LeaseRules) -> Self {
        Self {
            rules,
            state: TenureState::initial(),
            token: 0,
            began_at: ClockMillis::default(),
            confirmed_at: ClockMillis::default(),
            store_unreachable: false,
            began_after_store_rollback: false,
            last_active_at: None,
        }
    }

    /// Takes the answer to a join that was sent at `sent_at`.
    ///
    /// A lease that was listed before and still is may have passed on and come back when the time
    /// between two joins was longer than it lives, when an engine has refused its token, or when the store came back from an
    /// older copy, which may have had another holder. Then a new tenure begins with the present generation's token.
    pub fn handle_join(
        &mut self,
        listed: bool,
        token: FenceToken,
        sent_at: ClockMillis,
        now: ClockMillis,
    ) {
        let may_have_expired = sent_at.since(self.confirmed_at) >= self.rules.time_to_live;
        let was_holder = self.state != TenureState::Absent;
        let store_rolled_back = token_era(token) > token_era(self.token);
        self.store_unreachable = false;
        let event = match (listed, was_holder) {
            (false, _) => TenureEvent::Unlisted,
            (true, false) => TenureEvent::Listed,
            (true, true)
                if token > self.token
                    && (store_rolled_back || self.lease_is_uncertain(may_have_expired)) =>
            {
                TenureEvent::Renewed
            }
            (true, true) => TenureEvent::Confirmed,
        };
        if matches!(event, TenureEvent::Listed | TenureEvent::Renewed) {
            self.token = token;
            self.began_at = now;
            self.began_after_store_rollback = was_holder && store_rolled_back;
        }
        if listed {
            self.confirmed_at = sent_at;
        }
        self.state = self.state.after(event);
    }

    fn lease_is_uncertain(&self, may_have_expired: bool) -> bool {
        may_have_expired || self.state == TenureState::Refused
    }

    /// Takes that a join got no answer or was refused by the platform.
    pub fn handle_join_failure(&mut self, now: ClockMillis) {
        if now.since(self.confirmed_at) >= self.rules.time_to_live {
            self.store_unreachable = true;
        }
    }

    /// Takes that an engine refused the token that a tenure used.
    pub fn handle_token_refusal(&mut self, token: FenceToken) {
        if token == self.token {
            self.state = self.state.after(TenureEvent::Refused);
        }
    }

    /// Takes that an order was answered, or given up, at `now`: until then it was under way.
    pub fn record_order_end(&mut self, now: ClockMillis) {
        self.last_active_at = self.last_active_at.max(Some(now));
    }

    /// Returns how long this tenure waits before its first order.
    ///
    /// Engines that check tokens refuse the holder before. Even so, a host that held the lease just
    /// before somebody else did must not seem to take turns with them. One that held it through a fall of the store goes on at
    /// once: its new token is above that of whoever the copy named meanwhile.
    fn initial_wait(&self) -> Duration {
        let regained_recently = !self.began_after_store_rollback
            && self.last_active_at.is_some_and(|last_active_at| {
                let min_gap = self.rules.handover_wait + MAX_ORDER_TRANSIT;
                self.began_at.since(last_active_at) < min_gap
            });
        if self.rules.engines_enforce_fencing && !regained_recently {
            Duration::ZERO
        } else {
            self.rules.handover_wait
        }
    }

    /// Takes that this host left the group.
    pub fn handle_leave(&mut self) {
        self.state = self.state.after(TenureEvent::Unlisted);
    }

    /// Moves on with time and returns the token with which orders may be given now.
    pub fn acting_token(&mut self, now: ClockMillis) -> Option<FenceToken> {
        if now.since(self.confirmed_at) >= self.rules.time_to_live {
            self.state = self.state.after(TenureEvent::Lapsed);
        }
        if now.since(self.began_at) >= self.initial_wait() {
            self.state = self.state.after(TenureEvent::WaitOver);
        }
        let may_act_unconfirmed = self.store_unreachable && self.rules.engines_enforce_fencing;
        let acting = match self.state {
            TenureState::Acting => true,
            TenureState::Lapsed => may_act_unconfirmed,
            _ => false,
        };
        if !acting {
            return None;
        }
        self.last_active_at = Some(now);
        Some(self.token)
    }

    /// Returns whether the lease is this host's as far as it knows, acting or not.
    pub fn is_holder(&self) -> bool {
        !matches!(self.state, TenureState::Absent)
    }

    /// Returns whether the store has confirmed the lease lately, so that nobody else can have it.
    pub fn is_confirmed(&self, now: ClockMillis) -> bool {
        self.is_holder() && now.since(self.confirmed_at) < self.rules.time_to_live
    }

    /// Returns the present state.
    pub const fn state(&self) -> TenureState {
        self.state
    }

    /// Returns the token of the present or last tenure.
    pub const fn token(&self) -> FenceToken {
        self.token
    }
}
