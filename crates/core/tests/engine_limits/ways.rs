//! Ways to keep a limit, on the same loads.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    fleet::limits::{bucket::TokenBucket, limit::RequestLimit},
};

use crate::{
    fleet::PermitFleet,
    play::{
        KEPT_WITHIN, LimitFigures, LimitLoad, LimitWay, NAMES_AT, STEP, WINDOW, events_of, play,
    },
};

/// Nobody reads the word.
#[derive(Default)]
struct Unread(Vec<usize>);

impl LimitWay for Unread {
    fn arrives(&mut self, host: usize, _: ClockMillis) {
        self.0.push(host);
    }

    fn answered(&mut self, _: usize, _: Option<RequestLimit>, _: ClockMillis, _: ClockMillis) {}

    fn sends(&mut self, _: ClockMillis) -> Vec<usize> {
        std::mem::take(&mut self.0)
    }
}

/// A limit that all hosts know a tenth of a second after one has heard it.
#[derive(Default)]
struct HeardLimit(Option<(RequestLimit, ClockMillis)>);

impl HeardLimit {
    fn hear(&mut self, limit: Option<RequestLimit>, now: ClockMillis) {
        if let Some(limit) = limit {
            self.0.get_or_insert((limit, now + Duration::from_millis(100)));
        }
    }

    fn known(&self, now: ClockMillis) -> Option<RequestLimit> {
        self.0.filter(|(_, known)| now >= *known).map(|(limit, _)| limit)
    }
}

/// Some hosts have a part of the limit each, in a bucket that begins full; each learns the word by its own answers or, at the
/// latest, a tenth of a second after the first one.
struct Parts {
    /// How many hosts share the limit.
    sharing: usize,
    heard: HeardLimit,
    buckets: Vec<Option<TokenBucket>>,
    arrived: Vec<usize>,
}

impl Parts {
    fn new(hosts: usize, sharing: usize) -> Self {
        Self {
            sharing,
            heard: HeardLimit::default(),
            buckets: vec![None; hosts],
            arrived: Vec::new(),
        }
    }
}

impl LimitWay for Parts {
    fn arrives(&mut self, host: usize, _: ClockMillis) {
        self.arrived.push(host);
    }

    fn answered(
        &mut self,
        _: usize,
        limit: Option<RequestLimit>,
        _: ClockMillis,
        now: ClockMillis,
    ) {
        self.heard.hear(limit, now);
    }

    fn sends(&mut self, now: ClockMillis) -> Vec<usize> {
        let mut sends = std::mem::take(&mut self.arrived);
        let Some(limit) = self.heard.known(now) else { return sends };
        let rate = limit.per_second() / self.sharing as f64;
        sends.retain(|host| {
            let bucket = self.buckets[*host].get_or_insert_with(|| {
                let mut full = TokenBucket::empty(now);
                full.refund(1.0);
                full
            });
            bucket.refill(rate, now);
            *host < self.sharing && bucket.take()
        });
        sends
    }
}

/// Each request is sent by chance, with the limit's part of what all hosts have asked for lately.
struct Chance {
    heard: HeardLimit,
    arrived: Vec<usize>,
    rate: f64,
    random: Pcg64Mcg,
}

impl LimitWay for Chance {
    fn arrives(&mut self, host: usize, _: ClockMillis) {
        self.arrived.push(host);
    }

    fn answered(
        &mut self,
        _: usize,
        limit: Option<RequestLimit>,
        _: ClockMillis,
        now: ClockMillis,
    ) {
        self.heard.hear(limit, now);
    }

    fn sends(&mut self, now: ClockMillis) -> Vec<usize> {
        let mut sends = std::mem::take(&mut self.arrived);
        let part = STEP.as_secs_f64();
        self.rate += part * (sends.len() as f64 / part - self.rate);
        let Some(limit) = self.heard.known(now) else { return sends };
        let chance = limit.per_second() / self.rate.max(limit.per_second());
        sends.retain(|_| self.random.random::<f64>() < chance);
        sends
    }
}

const LIMITS: [f64; 5] = [0.3, 1.7, 5.0, 20.0, 0.0];

const HOSTS: [usize; 3] = [7, 72, 300];

fn loads() -> Vec<LimitLoad> {
    let mut loads = Vec::new();
    for hosts in HOSTS {
        for limit in LIMITS {
            for at_one in [false, true] {
                let demand = (limit * 2.5).max(2.0);
                loads.push(LimitLoad { hosts, limit, demand, at_one, seconds: 42, seed: 7 });
            }
        }
    }
    loads
}

fn from() -> ClockMillis {
    ClockMillis::from_millis(1) + NAMES_AT + KEPT_WITHIN
}

fn end(load: &LimitLoad) -> ClockMillis {
    ClockMillis::from_millis(1) + Duration::from_secs(load.seconds)
}

/// Returns the most in a window against what the limit allows, and how much of the limit is used.
fn figures(load: &LimitLoad, figures: &LimitFigures) -> (usize, f64) {
    let time = end(load).since(from()).as_secs_f64();
    let used = figures.count(from(), end(load)) as f64 / (load.limit.max(0.01) * time);
    (figures.most(from()), used)
}

/// What may reach an engine in a window by its own word: what the limit gives, and a quarter of a second of it or two requests
/// that were saved up, one request at the edge, or those that find out whether its need is over.
fn aim(limit: f64) -> f64 {
    let rate = limit.max(0.2);
    rate * WINDOW.as_secs_f64() + (rate * 0.25).max(2.0) + 1.0
}

#[test]
fn permits_keep_every_limit_and_use_it_whole() {
    println!(
        "| hosts | limit | at one host | aim | unread | equal parts | one host | chance | permits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for load in loads() {
        let mut ways: Vec<Box<dyn LimitWay>> = vec![
            Box::new(Unread::default()),
            Box::new(Parts::new(load.hosts, load.hosts)),
            Box::new(Parts::new(load.hosts, 1)),
            Box::new(Chance {
                heard: HeardLimit::default(),
                arrived: Vec::new(),
                rate: load.demand,
                random: Pcg64Mcg::seed_from_u64(3),
            }),
            Box::new(PermitFleet::new(load.hosts, load.seed)),
        ];
        let played: Vec<(usize, f64)> =
            ways.iter_mut().map(|way| figures(&load, &play(&load, &mut **way))).collect();
        let cells: Vec<String> =
            played.iter().map(|(most, used)| format!("{most}, {used:.2}")).collect();
        let LimitLoad { hosts, limit, at_one, .. } = load;
        println!("| {hosts} | {limit} | {at_one} | {:.1} | {} |", aim(limit), cells.join(" | "));
        let (most, used) = played[played.len() - 1];
        assert!(most as f64 <= aim(limit), "{load:?}: {most} in a window, aim {}", aim(limit));
        if limit >= 0.3 {
            assert!(used >= 0.9, "{load:?}: {used} of the limit is used");
        }
    }
}

/// What all hosts know, and how soon, is what one message takes: well below what is allowed until they keep a limit.
#[test]
fn all_hosts_hear_of_a_limit_within_a_quarter_of_a_second() {
    for hosts in HOSTS {
        let load =
            LimitLoad { hosts, limit: 5.0, demand: 20.0, at_one: false, seconds: 10, seed: 9 };
        let mut fleet = PermitFleet::new(hosts, 9);
        let figures = play(&load, &mut fleet);
        let known = (0..hosts).filter(|host| fleet.declares_limit(*host)).count();
        assert_eq!(known, hosts);
        // Between the first answer and a quarter of a second later some are under way still; then none without a permit.
        let named = ClockMillis::from_millis(1) + NAMES_AT + Duration::from_millis(100);
        let from = named + Duration::from_millis(250);
        let sent = figures.count(from, from + Duration::from_secs(2));
        assert!(sent as f64 <= 5.0 * 2.0 + 3.0, "{hosts} hosts: {sent} in two seconds");
    }
}

#[test]
fn events_come_at_their_rate() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let count: usize = (0..20_000).map(|_| events_of(10.0, STEP, &mut random)).sum();
    assert!((900..1100).contains(&count), "{count} in 100 s");
}
