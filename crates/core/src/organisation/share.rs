//! One host's part in the quotas that all hosts grant together.
//!
//! A host decides on each request by itself. One host, the ledger's, hears from all what they granted
//! ([`super::ledger`]) and tells all, a few times a second, which organisations have little left. As long
//! as it is heard:
//!
//! - an organisation that it does not name has most of its burst left, and is granted what it asks for;
//! - of what one that it names has left, each host grants the part that it had in the recent use.
//!
//! A host that does not hear it any more grants what it granted lately, or an equal part if that is more;
//! the ledger sets as much aside for it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationName,
        quota::{QuotaLimit, QuotaTolerance, RecentUse},
    },
};

/// How long the ledger may be silent and still count as heard: more than half as long again as its longest pause.
pub const LEDGER_SILENCE: Duration = Duration::from_millis(800);

/// The part of the capacity below which the ledger names an organisation.
pub const NAMED_BELOW: f64 = 0.75;

/// How many times its part a host grants that does not hear the ledger any more: few requests a second show a
/// host's part only roughly. At 1.0 an organisation at half of its quota is refused 4.6% of what it may
/// use while a hall is cut off and 8.4% while nobody keeps the ledger, at 1.5 3.4% and 6.2% (simulated, 72 hosts); the
/// most granted in a window stays below 0.96 of the operator's bound.
const ALONE_PARTS: f64 = 1.5;

/// How many equal parts a host grants that has never heard the ledger: clients are spread unevenly over
/// hosts, and the ledger is heard within two seconds of a start.
const UNHEARD_PARTS: f64 = 2.0;

/// The part of a request's cost that must be left at a host that does not hear the ledger. Its part of a small quota may
/// be less than one request; two dozen hosts that each granted one beyond it reached 1.15 of the bound (simulated).
const NEEDED_ALONE: f64 = 0.5;

/// The shortest time that a refused client is told to stay away: a few times what a word takes.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);

/// The longest time that a refused client is told to stay away: beyond it nothing can be foretold.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// What the ledger says of an organisation that has little left.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaWord {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What it has left; below zero when hosts granted too much. Unit: as its limit counts.
    pub level: f64,
    /// What all hosts granted lately, as [`RecentUse`] sums it.
    pub used: f64,
}

/// What a host granted and has not told the ledger yet.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaUse {
    /// The organisation.
    pub organisation: OrganisationName,
    /// What was granted, less what was given back.
    pub amount: f64,
    /// What the organisation has left, as the ledger said last, for a ledger that begins anew.
    pub level: Option<f64>,
}

/// What the ledger said last of an organisation that it named.
#[derive(Debug, Clone, Copy)]
struct NamedLevel {
    level: f64,
    /// What other hosts had granted lately.
    others: f64,
}

/// What a host knows of one organisation.
#[derive(Debug, Clone, Default)]
struct OrganisationShare {
    /// What this host granted lately.
    recent: RecentUse,
    /// What it granted since the ledger was last told.
    untold: f64,
    /// What it granted since the ledger was last heard, as far as the ledger can not know it.
    granted: f64,
    named: Option<NamedLevel>,
    /// What the host may grant a second while it does not hear the ledger; set when that begins.
    alone_rate: Option<f64>,
}

/// What a host must know to decide.
#[derive(Debug, Clone, Copy)]
pub struct QuotaTerms<'limit> {
    /// The organisation's limit.
    pub limit: &'limit QuotaLimit,
    /// How far the sum of all hosts may exceed it.
    pub tolerance: &'limit QuotaTolerance,
    /// How many hosts there are, at least one.
    pub hosts: u32,
}

/// One host's part in all quotas.
#[derive(Debug, Clone, Default)]
pub struct QuotaShare {
    organisations: HashMap<OrganisationName, OrganisationShare>,
    /// When the ledger was last heard.
    heard: Option<ClockMillis>,
    /// When this host first decided anything, while it has never heard the ledger.
    began: Option<ClockMillis>,
    /// Whether nothing was granted before this process began.
    unspent: bool,
}

impl QuotaShare {
    /// Begins the share of a process at the very first start of the whole system, before which nothing was granted;
    /// [`QuotaShare::default`] begins that of any other, which can not know what was.
    pub fn unspent() -> Self {
        Self { unspent: true, ..Self::default() }
    }

    /// Returns whether a ledger that this host begins to keep may take it that nothing was granted before it knows more: a host that has
    /// heard a ledger hears from others what was left, or nothing was granted at all.
    pub const fn opens_full(&self) -> bool {
        self.unspent || self.heard.is_some()
    }

    /// Takes what a request counts from what the organisation may use.
    ///
    /// # Errors
    /// Returns when to come back where nothing is left.
    pub fn take(
        &mut self,
        organisation: &OrganisationName,
        cost: u64,
        terms: &QuotaTerms<'_>,
        now: ClockMillis,
    ) -> Result<(), Duration> {
        let allowance = self.allowance(organisation, terms, now);
        let needed = if allowance.alone { cost as f64 * NEEDED_ALONE } else { 0.0 };
        if allowance.left <= needed {
            return Err(allowance.wait());
        }
        self.charge(organisation, cost as f64, now);
        Ok(())
    }

    /// Counts what was used without a decision: a further send of a request that may have run.
    pub fn use_again(&mut self, organisation: &OrganisationName, cost: u64, now: ClockMillis) {
        self.charge(organisation, cost as f64, now);
    }

    /// Gives back what was taken for a request that did not run.
    pub fn give_back(&mut self, organisation: &OrganisationName, cost: u64, now: ClockMillis) {
        self.charge(organisation, -(cost as f64), now);
    }

    fn charge(&mut self, organisation: &OrganisationName, amount: f64, now: ClockMillis) {
        let share = self.organisations.entry(Arc::clone(organisation)).or_default();
        share.recent.add(amount, now);
        share.untold += amount;
        share.granted += amount;
    }

    fn allowance(
        &mut self,
        organisation: &OrganisationName,
        terms: &QuotaTerms<'_>,
        now: ClockMillis,
    ) -> QuotaAllowance {
        let began = *self.began.get_or_insert(now);
        let capacity = terms.tolerance.capacity(terms.limit);
        let equal = 1.0 / f64::from(terms.hosts.max(1));
        let share = self.organisations.entry(Arc::clone(organisation)).or_default();
        let alone = self.heard.is_none_or(|heard| now.since(heard) >= LEDGER_SILENCE);
        let (part, saved, since) = match self.heard {
            None => {
                let saved = if self.unspent { capacity } else { 0.0 };
                ((UNHEARD_PARTS * equal).min(1.0), saved, began)
            }
            Some(heard) if now.since(heard) >= LEDGER_SILENCE => {
                let rate = share.rate_alone(now);
                let part = (rate / terms.limit.per_second).max(equal) * ALONE_PARTS;
                let part = part.min(1.0);
                let known = share.named.map_or(capacity, |named| named.level.min(capacity));
                (part, known, heard)
            }
            Some(heard) => match share.named {
                None => {
                    let left = capacity * NAMED_BELOW - share.granted;
                    return QuotaAllowance { left, rate: terms.limit.per_second, alone: false };
                }
                Some(named) => (share.part(&named, equal, now), named.level, heard),
            },
        };
        let saved = (saved + terms.limit.refill(now.since(since))).min(capacity);
        let left = part * saved - share.granted;
        QuotaAllowance { left, rate: part * terms.limit.per_second, alone }
    }

    /// Takes what the ledger says: every organisation that has little left, and no other.
    pub fn ledger_received(&mut self, words: &[QuotaWord], now: ClockMillis) {
        self.heard = Some(now);
        for share in self.organisations.values_mut() {
            share.named = None;
            share.alone_rate = None;
            share.granted = share.untold;
        }
        for word in words {
            let share = self.organisations.entry(Arc::clone(&word.organisation)).or_default();
            let others = (word.used - share.recent.sum_at(now)).max(0.0);
            share.named = Some(NamedLevel { level: word.level, others });
        }
        self.organisations.retain(|_, share| share.is_needed(now));
    }

    /// Returns whether the ledger was ever heard.
    pub const fn receives_ledger(&self) -> bool {
        self.heard.is_some()
    }

    /// Returns what was granted and not told yet.
    pub fn untold(&self) -> Vec<QuotaUse> {
        let untold = self.organisations.iter().filter(|(_, share)| share.untold != 0.0);
        untold
            .map(|(organisation, share)| QuotaUse {
                organisation: Arc::clone(organisation),
                amount: share.untold,
                level: share.named.map(|named| named.level),
            })
            .collect()
    }

    /// Takes that the ledger was told this.
    pub fn acknowledge(&mut self, told: &[QuotaUse]) {
        for word in told {
            if let Some(share) = self.organisations.get_mut(&word.organisation) {
                share.untold -= word.amount;
            }
        }
    }
}

impl OrganisationShare {
    /// Returns this host's part of the recent use, never less than a small part of an equal one.
    fn part(&self, named: &NamedLevel, equal: f64, now: ClockMillis) -> f64 {
        let own = self.recent.sum_at(now);
        let all = own + named.others;
        if all > 0.0 { (own / all).max(equal / 8.0) } else { equal }
    }

    /// Returns what this host may grant a second while it does not hear the ledger: what it granted lately when
    /// that began.
    fn rate_alone(&mut self, now: ClockMillis) -> f64 {
        *self.alone_rate.get_or_insert(self.recent.rate_at(now))
    }

    fn is_needed(&self, now: ClockMillis) -> bool {
        /// What is too little to count for anything, in tokens as in requests.
        const NOTHING: f64 = 0.01;
        self.named.is_some() || self.untold != 0.0 || self.recent.sum_at(now) > NOTHING
    }
}

/// What a host may grant of an organisation's quota now.
#[derive(Debug, Clone, Copy)]
struct QuotaAllowance {
    left: f64,
    /// What comes back a second.
    rate: f64,
    /// Whether the host decides without the ledger.
    alone: bool,
}

impl QuotaAllowance {
    /// Returns when something is left again.
    ///
    /// Not later: who comes back after a surge is late already, and takes from the quota what the organisation's new
    /// requests would be answered in time with.
    fn wait(&self) -> Duration {
        let seconds = -self.left / self.rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT);
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }
}
