//! Tracks whether this host may issue orders in a placement domain, and with which fencing token.
//!
//! The platform assigns each domain's lease to one member of a group. A tenure is a period of
//! holding the lease. Its fencing token is the group generation at which it began. Within one era
//! of the store, generations only increase and each assigns a lease at most once. The token's high
//! bits contain the era ([`crate::id::generation_token`]).

use std::time::Duration;

use crate::{
    chart::{TenureEvent, TenureState},
    clock::ClockMillis,
    id::{FenceToken, token_era},
};

/// Maximum time that an order may arrive after its sender has timed out.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(600);

/// Timing and fencing of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRules {
    /// Time after sending a join at which the lease expires.
    pub time_to_live: Duration,
    /// How long a new holder waits for the previous holder's orders to end if engines do not
    /// enforce fencing, and how long a host waits that regains the lease shortly after losing it.
    pub handover_wait: Duration,
    /// Whether engines refuse orders of earlier tenures. A holder that cannot confirm its lease may
    /// then continue until an engine refuses it.
    pub engines_enforce_fencing: bool,
}

/// This host's tenure of the lease of one domain.
#[derive(Debug, Clone)]
pub struct PlacerTenure {
    rules: LeaseRules,
    state: TenureState,
    token: FenceToken,
    began_at: ClockMillis,
    confirmed_at: ClockMillis,
    store_unreachable: bool,
    /// Whether the current tenure began because the store was restored from an older copy.
    began_after_store_rollback: bool,
    /// When orders were last issued or in progress, in any tenure.
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

    /// Handles the answer to a join that was sent at `sent_at`.
    ///
    /// A lease that is still listed may have had another holder in between: if more than its time
    /// to live passed between two joins, if an engine refused its token, or if the store was
    /// restored from an older copy. A new tenure then begins with the token of the current
    /// generation.
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

    /// Handles a join that was not answered or that the platform refused.
    pub fn handle_join_failure(&mut self, now: ClockMillis) {
        if now.since(self.confirmed_at) >= self.rules.time_to_live {
            self.store_unreachable = true;
        }
    }

    /// Handles an engine's refusal of a token.
    pub fn handle_token_refusal(&mut self, token: FenceToken) {
        if token == self.token {
            self.state = self.state.after(TenureEvent::Refused);
        }
    }

    /// Records that an order was answered or timed out at `now`. It was in progress until then.
    pub fn record_order_end(&mut self, now: ClockMillis) {
        self.last_active_at = self.last_active_at.max(Some(now));
    }

    /// Returns how long this tenure waits before its first order.
    ///
    /// Engines that enforce fencing refuse the previous holder. Even then, a host that held the
    /// lease shortly before must not appear to alternate with the holder in between. A host that
    /// held the lease while the store was restored continues at once, because its new token is
    /// higher than that of any holder named by the older copy.
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

    /// Handles this host's departure from the group.
    pub fn handle_leave(&mut self) {
        self.state = self.state.after(TenureEvent::Unlisted);
    }

    /// Updates the state for `now` and returns the token for orders, if they are allowed.
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

    /// Returns whether this host holds the lease as far as it knows, even if it may not issue
    /// orders.
    pub fn is_holder(&self) -> bool {
        !matches!(self.state, TenureState::Absent)
    }

    /// Returns whether the lease was confirmed within its time to live, so that no other host can
    /// hold it.
    pub fn is_confirmed(&self, now: ClockMillis) -> bool {
        self.is_holder() && now.since(self.confirmed_at) < self.rules.time_to_live
    }

    /// Returns the current state.
    pub const fn state(&self) -> TenureState {
        self.state
    }

    /// Returns the token of the current or last tenure.
    pub const fn token(&self) -> FenceToken {
        self.token
    }
}
