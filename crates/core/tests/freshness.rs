//! Revoked keys must not be accepted beyond the staleness bound, whatever the interleaving of
//! publishing, reading, forwarding and suspensions.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis, ClockSource, MonotonicClock,
    chart::FreshnessState,
    fleet::freshness::{ConfigurationFreshness, PeerClock},
};

const MAX_STALENESS: Duration = Duration::from_secs(5);

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

/// A step of a history. Unit of times: milliseconds.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, during which hosts may be suspended.
    Wait(u64),
    /// The operator revokes the key, and the store acknowledges it.
    Revoke,
    /// The reader sends a request to the store.
    Poll,
    /// The store replies to the reader's last request; the reply is processed after this delay.
    Reply { delay: u64 },
    /// The follower requests the reader's clock.
    RequestClock,
    /// The reader replies with its clock; the reply is processed after this delay.
    ReplyClock { delay: u64 },
    /// The reader forwards its state; the message is processed after this delay.
    Forward { delay: u64 },
    /// The reader finds a newer configuration that it can not read.
    Unreadable,
}

fn any_step() -> impl Strategy<Value = Step> {
    let delay = prop_oneof![3 => 0..30_u64, 1 => 0..9000_u64];
    prop_oneof![
        4 => (0..1500_u64).prop_map(Step::Wait),
        1 => Just(Step::Revoke),
        4 => Just(Step::Poll),
        4 => delay.clone().prop_map(|delay| Step::Reply { delay }),
        2 => Just(Step::RequestClock),
        2 => delay.clone().prop_map(|delay| Step::ReplyClock { delay }),
        4 => delay.prop_map(|delay| Step::Forward { delay }),
        1 => Just(Step::Unreadable),
    ]
}

/// A message to a host.
#[derive(Debug, Clone, Copy)]
enum Message {
    ToReader { polled_at: ClockMillis, revoked: bool },
    Clock(PeerClock),
    ToFollower { confirmed: Option<ClockMillis>, revoked: bool },
}

/// A host whose clock is ahead of the true time by an offset.
struct SimulatedHost {
    freshness: ConfigurationFreshness,
    clock_offset: u64,
    knows_revocation: bool,
}

impl SimulatedHost {
    fn new(clock_offset: u64) -> Self {
        let freshness = ConfigurationFreshness::new(Some(MAX_STALENESS));
        Self { freshness, clock_offset, knows_revocation: false }
    }

    const fn clock(&self, now: u64) -> ClockMillis {
        at(now + self.clock_offset)
    }

    /// Returns the true time until which the host accepts the key if it receives no further
    /// messages.
    fn serves_the_key_until(&self) -> Option<u64> {
        let until = self.freshness.keys_valid_until().as_millis().saturating_sub(self.clock_offset);
        (!self.knows_revocation).then_some(until)
    }
}

struct History {
    now: u64,
    revoked_at: Option<u64>,
    reader: SimulatedHost,
    follower: SimulatedHost,
    polled_at: Option<u64>,
    clock_requested_at: Option<u64>,
    clock: Option<PeerClock>,
    in_flight: Vec<(u64, Message)>,
}

impl History {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.wait(*time),
            Step::Revoke => {
                self.revoked_at.get_or_insert(self.now);
            }
            Step::Poll => self.polled_at = Some(self.now),
            Step::Reply { delay } => {
                let Some(polled_at) = self.polled_at.take() else { return };
                let polled_at = self.reader.clock(polled_at);
                let message = Message::ToReader { polled_at, revoked: self.revoked_at.is_some() };
                self.in_flight.push((self.now + delay, message));
            }
            Step::RequestClock => self.clock_requested_at = Some(self.now),
            Step::ReplyClock { delay } => {
                let Some(requested_at) = self.clock_requested_at.take() else { return };
                let local = self.follower.clock(requested_at);
                let clock = PeerClock { local, peer: self.reader.clock(self.now) };
                self.in_flight.push((self.now + delay, Message::Clock(clock)));
            }
            Step::Forward { delay } => {
                let confirmed = self.reader.freshness.confirmed_at();
                let revoked = self.reader.knows_revocation;
                self.in_flight.push((self.now + delay, Message::ToFollower { confirmed, revoked }));
            }
            Step::Unreadable => self.reader.freshness.newer_unreadable(),
        }
    }

    fn wait(&mut self, time: u64) {
        let until = self.now + time;
        loop {
            let next = (0..self.in_flight.len()).min_by_key(|index| self.in_flight[*index].0);
            let Some(next) = next.filter(|next| self.in_flight[*next].0 <= until) else { break };
            let (due, message) = self.in_flight.remove(next);
            self.now = self.now.max(due);
            self.check();
            self.deliver(message);
            self.check();
        }
        self.now = until;
        self.check();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToReader { polled_at, revoked } => {
                self.reader.knows_revocation |= revoked;
                let now = self.reader.clock(self.now);
                self.reader.freshness.confirm(polled_at, now);
            }
            Message::Clock(clock) => self.clock = Some(clock),
            Message::ToFollower { confirmed, revoked } => {
                self.follower.knows_revocation |= revoked;
                let (Some(clock), Some(confirmed)) = (self.clock, confirmed) else { return };
                let now = self.follower.clock(self.now);
                self.follower.freshness.confirm(clock.to_local(confirmed), now);
            }
        }
    }

    fn check(&self) {
        let Some(revoked_at) = self.revoked_at else { return };
        for (name, host) in [("reader", &self.reader), ("follower", &self.follower)] {
            if let Some(until) = host.serves_the_key_until() {
                let late = until.saturating_sub(revoked_at + 5000);
                assert!(late == 0, "the {name} accepts the key {late} ms beyond the bound");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4096,
        rng_seed: RngSeed::Fixed(0x00f3_e511),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_serves_a_revoked_key_beyond_the_bound(
        steps in proptest::collection::vec(any_step(), 1..60),
        clock_offsets in (0..100_000_u64, 0..100_000_u64),
    ) {
        let mut history = History {
            now: 20_000,
            revoked_at: None,
            reader: SimulatedHost::new(clock_offsets.0),
            follower: SimulatedHost::new(clock_offsets.1),
            polled_at: None,
            clock_requested_at: None,
            clock: None,
            in_flight: Vec::new(),
        };
        for step in &steps {
            history.step(step);
        }
        history.wait(20_000);
    }
}

/// Events at a host, and the resulting state.
struct FreshnessCase {
    name: &'static str,
    confirmed: &'static [u64],
    unreadable: bool,
    replaced: bool,
    now: u64,
    state: FreshnessState,
    serves: bool,
}

#[test]
fn keys_are_served_until_the_staleness_bound() {
    let case = |name, confirmed, now, state, serves| FreshnessCase {
        name,
        confirmed,
        unreadable: false,
        replaced: false,
        now,
        state,
        serves,
    };
    let cases = [
        case("no confirmation", &[], 100, FreshnessState::Unknown, false),
        case("just confirmed", &[1000], 1001, FreshnessState::Fresh, true),
        case("outage shorter than the bound", &[1000], 5900, FreshnessState::Fresh, true),
        case("outage longer than the bound", &[1000], 6000, FreshnessState::Expired, false),
        case(
            "an older confirmation after a newer one",
            &[4000, 1000],
            6000,
            FreshnessState::Fresh,
            true,
        ),
        case("confirmed again after the bound", &[1000, 8000], 8100, FreshnessState::Fresh, true),
        FreshnessCase {
            unreadable: true,
            ..case(
                "a newer configuration can not be read",
                &[1000],
                7000,
                FreshnessState::Superseded,
                false,
            )
        },
        FreshnessCase {
            unreadable: true,
            replaced: true,
            ..case("a readable configuration again", &[7000], 7100, FreshnessState::Fresh, true)
        },
    ];
    for case in cases {
        let mut freshness = ConfigurationFreshness::new(Some(MAX_STALENESS));
        if case.unreadable {
            freshness.newer_unreadable();
            // A confirmation of the old configuration is ignored.
            freshness.confirm(at(6900), at(6900));
        }
        if case.replaced {
            freshness.configuration_replaced();
        }
        for moment in case.confirmed {
            freshness.confirm(at(*moment), at((*moment).max(1)));
        }
        freshness.tick(at(case.now));
        assert_eq!(freshness.state(), case.state, "{}", case.name);
        assert_eq!(at(case.now) <= freshness.keys_valid_until(), case.serves, "{}", case.name);
    }
}

#[test]
fn without_a_bound_keys_are_always_served() {
    let freshness = ConfigurationFreshness::new(None);
    assert!(at(u64::MAX - 1) <= freshness.keys_valid_until());
}

#[test]
fn a_peer_confirmation_from_before_process_start_keeps_its_age() {
    let clock = MonotonicClock::new();
    let now = clock.now();
    let peer = PeerClock { local: now, peer: at(10_000_000) };
    for age in [1, 200, 4_900, 5_100, 7_600, 600_000] {
        let age = Duration::from_millis(age);
        let confirmed = peer.to_local(peer.peer - age);
        assert_eq!(now.since(confirmed), age);
        let mut freshness = ConfigurationFreshness::new(Some(Duration::from_secs(5)));
        freshness.confirm(confirmed, now);
        let serves = now <= freshness.keys_valid_until();
        assert_eq!(
            serves,
            age < Duration::from_secs(5),
            "keys accepted by a configuration confirmed {age:?} ago: {serves}"
        );
    }
}
