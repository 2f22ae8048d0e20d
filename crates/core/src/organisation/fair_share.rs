//! Fair shares of a service's capacity between organisations, by what one host observes.
//!
//! When capacity is short, organisations that want less than an equal share get all of it, and what
//! they leave is lent to the others (max-min fairness over the tokens requested within the last
//! seconds). An organisation that clearly exceeds the resulting share is cut down to it before the
//! others lose anything.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{clock::ClockMillis, organisation::OrganisationName};

/// Half-life of the requested tokens: a host with ten requests a second sees some of each of 16
/// organisations in that time.
const TOKEN_HALF_LIFE: Duration = Duration::from_secs(3);

/// Factor on the fair share up to which an organisation is not cut down. In a shortage without a
/// flood all are slightly above their shares, and the order is then by priority alone.
const SHARE_TOLERANCE: f64 = 1.25;

/// Number of standard deviations by which an organisation must exceed the tolerated share. A host
/// sees few requests of each organisation, so their numbers vary by chance.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

/// Number of tokens below which an organisation is forgotten.
const NEGLIGIBLE_TOKENS: f64 = 0.5;

/// A sum whose parts decay exponentially with their age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    updated_at: ClockMillis,
}

impl DecayingSum {
    /// Returns the sum at `now`.
    pub fn at(&self, now: ClockMillis, half_life: Duration) -> f64 {
        self.value * (-now.since(self.updated_at).div_duration_f64(half_life)).exp2()
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: ClockMillis, half_life: Duration) {
        *self = Self { value: self.at(now, half_life) + amount, updated_at: now };
    }
}

/// Admitted fractions while capacity is short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareFraction {
    /// Fraction of the requests of organisations within their shares.
    pub common: f64,
    /// Fraction of the requests of this organisation; at most `common`.
    pub own: f64,
}

/// Recently requested tokens of all organisations at one host, and their shares.
#[derive(Debug, Clone)]
pub struct FairShares {
    requested: BTreeMap<OrganisationName, DecayingSum>,
    /// Smoothed size of a request. Unit: tokens.
    request_size: f64,
    /// The share to which organisations are cut down. Unit: tokens.
    limit: f64,
    /// Requested tokens from which on an organisation is cut down.
    threshold: f64,
    common: f64,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            requested: BTreeMap::new(),
            request_size: 0.0,
            limit: f64::INFINITY,
            threshold: f64::INFINITY,
            common: 1.0,
        }
    }
}

/// Weight of the newest request in the smoothed request size.
const REQUEST_SIZE_SMOOTHING: f64 = 0.05;

impl FairShares {
    /// Records the tokens that a request asks for.
    pub fn record(&mut self, organisation: &OrganisationName, tokens: u64, now: ClockMillis) {
        let tokens = tokens.max(1) as f64;
        if self.request_size <= 0.0 {
            self.request_size = tokens;
        }
        self.request_size += REQUEST_SIZE_SMOOTHING * (tokens - self.request_size);
        let requested = self.requested.entry(Arc::clone(organisation)).or_default();
        requested.add(tokens, now, TOKEN_HALF_LIFE);
    }

    /// Determines the shares if engines answer this fraction of all requested tokens in time.
    pub fn update(&mut self, fraction: f64, now: ClockMillis) {
        let sum_at = |sum: &DecayingSum| sum.at(now, TOKEN_HALF_LIFE);
        self.requested.retain(|_, sum| sum_at(sum) > NEGLIGIBLE_TOKENS);
        let requested: Vec<f64> = self.requested.values().map(sum_at).collect();
        let capacity = fraction * requested.iter().sum::<f64>();
        let share = fair_share(&requested, capacity);
        let deviation = (share * self.request_size).sqrt();
        self.limit = SHARE_TOLERANCE * share;
        self.threshold = self.limit + SIGNIFICANT_DEVIATIONS * deviation;
        let after_cuts: f64 = requested.iter().map(|tokens| self.cut(*tokens)).sum();
        self.common = if after_cuts > 0.0 { (capacity / after_cuts).min(1.0) } else { fraction };
    }

    /// Returns the admitted fractions for an organisation, as of the last update.
    pub fn fraction(
        &self,
        organisation: Option<&OrganisationName>,
        now: ClockMillis,
    ) -> ShareFraction {
        let common = self.common;
        let sum = organisation.and_then(|organisation| self.requested.get(organisation));
        let tokens = sum.map_or(0.0, |sum| sum.at(now, TOKEN_HALF_LIFE));
        let own = if tokens > 0.0 { common * self.cut(tokens) / tokens } else { common };
        ShareFraction { common, own }
    }

    /// Returns what remains of an organisation's requested tokens.
    fn cut(&self, requested: f64) -> f64 {
        if requested > self.threshold { self.limit } else { requested }
    }
}

/// Returns the share of each organisation that wants more than it gets, when organisations that
/// want less lend the rest; unlimited if the capacity suffices for all.
fn fair_share(requested: &[f64], capacity: f64) -> f64 {
    let mut ascending = requested.to_vec();
    ascending.sort_by(f64::total_cmp);
    let mut left = capacity;
    let count = ascending.len();
    for (index, tokens) in ascending.iter().enumerate() {
        let equal = left / (count - index) as f64;
        if *tokens > equal {
            return equal;
        }
        left -= tokens;
    }
    f64::INFINITY
}
