//! No interleaving of publishing, reading, passing on and standing still serves a key too long after it
//! was withdrawn.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis, ClockSource, MonotonicClock,
    chart::FreshnessState,
    fleet::freshness::{ConfigurationFreshness, PeerClock},
};

const BOUND: Duration = Duration::from_secs(5);

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

/// One step of a history; times in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes; whoever stands still notices nothing of it.
    Wait(u64),
    /// The operator withdraws the key, and the store acknowledges it.
    Withdraw,
    /// The reader asks the store.
    Ask,
    /// The store's answer to the reader's last ask is made; it is taken in so long after.
    Answer { held: u64 },
    /// The follower asks the reader for its clock.
    AskClock,
    /// The reader answers that; the answer is on its way for so long.
    AnswerClock { held: u64 },
    /// The reader tells what it knows; the word is on its way for so long.
    Tell { held: u64 },
    /// The reader finds a newer configuration that it can not read.
    Unreadable,
}

fn any_step() -> impl Strategy<Value = Step> {
    let held = prop_oneof![3 => 0..30_u64, 1 => 0..9000_u64];
    prop_oneof![
        4 => (0..1500_u64).prop_map(Step::Wait),
        1 => Just(Step::Withdraw),
        4 => Just(Step::Ask),
        4 => held.clone().prop_map(|held| Step::Answer { held }),
        2 => Just(Step::AskClock),
        2 => held.clone().prop_map(|held| Step::AnswerClock { held }),
        4 => held.prop_map(|held| Step::Tell { held }),
        1 => Just(Step::Unreadable),
    ]
}

/// What arrives at a host at some time.
#[derive(Debug, Clone, Copy)]
enum Word {
    ToReader { asked: ClockMillis, withdrawn: bool },
    Clock(PeerClock),
    ToFollower { confirmed: Option<ClockMillis>, withdrawn: bool },
}

/// A host's belief and its clock's lead over the true time.
struct Believer {
    freshness: ConfigurationFreshness,
    lead: u64,
    knows_withdrawal: bool,
}

impl Believer {
    fn new(lead: u64) -> Self {
        let freshness = ConfigurationFreshness::new(Some(BOUND));
        Self { freshness, lead, knows_withdrawal: false }
    }

    const fn clock(&self, now: u64) -> ClockMillis {
        at(now + self.lead)
    }

    /// Returns until when the key would be served if the host heard nothing more, by the true time.
    fn serves_the_key_until(&self) -> Option<u64> {
        let until = self.freshness.keys_valid_until().as_millis().saturating_sub(self.lead);
        (!self.knows_withdrawal).then_some(until)
    }
}

struct History {
    now: u64,
    withdrawn: Option<u64>,
    reader: Believer,
    follower: Believer,
    asked: Option<u64>,
    clock_asked: Option<u64>,
    clock: Option<PeerClock>,
    words: Vec<(u64, Word)>,
}

impl History {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.wait(*time),
            Step::Withdraw => {
                self.withdrawn.get_or_insert(self.now);
            }
            Step::Ask => self.asked = Some(self.now),
            Step::Answer { held } => {
                let Some(asked) = self.asked.take() else { return };
                let asked = self.reader.clock(asked);
                let word = Word::ToReader { asked, withdrawn: self.withdrawn.is_some() };
                self.words.push((self.now + held, word));
            }
            Step::AskClock => self.clock_asked = Some(self.now),
            Step::AnswerClock { held } => {
                let Some(asked) = self.clock_asked.take() else { return };
                let local = self.follower.clock(asked);
                let clock = PeerClock { local, peer: self.reader.clock(self.now) };
                self.words.push((self.now + held, Word::Clock(clock)));
            }
            Step::Tell { held } => {
                let confirmed = self.reader.freshness.confirmed_at();
                let withdrawn = self.reader.knows_withdrawal;
                self.words.push((self.now + held, Word::ToFollower { confirmed, withdrawn }));
            }
            Step::Unreadable => self.reader.freshness.newer_unreadable(),
        }
    }

    fn wait(&mut self, time: u64) {
        let until = self.now + time;
        loop {
            let next = (0..self.words.len()).min_by_key(|place| self.words[*place].0);
            let Some(next) = next.filter(|next| self.words[*next].0 <= until) else { break };
            let (due, word) = self.words.remove(next);
            self.now = self.now.max(due);
            self.check();
            self.take(word);
            self.check();
        }
        self.now = until;
        self.check();
    }

    fn take(&mut self, word: Word) {
        match word {
            Word::ToReader { asked, withdrawn } => {
                self.reader.knows_withdrawal |= withdrawn;
                let now = self.reader.clock(self.now);
                self.reader.freshness.confirm(asked, now);
            }
            Word::Clock(clock) => self.clock = Some(clock),
            Word::ToFollower { confirmed, withdrawn } => {
                self.follower.knows_withdrawal |= withdrawn;
                let (Some(clock), Some(confirmed)) = (self.clock, confirmed) else { return };
                let now = self.follower.clock(self.now);
                self.follower.freshness.confirm(clock.to_local(confirmed), now);
            }
        }
    }

    fn check(&self) {
        let Some(withdrawn) = self.withdrawn else { return };
        for (name, host) in [("reader", &self.reader), ("follower", &self.follower)] {
            if let Some(until) = host.serves_the_key_until() {
                let late = until.saturating_sub(withdrawn + 5000);
                assert!(late == 0, "the {name} serves the key {late} ms beyond the bound");
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
    fn no_history_serves_a_withdrawn_key_beyond_the_bound(
        steps in proptest::collection::vec(any_step(), 1..60),
        leads in (0..100_000_u64, 0..100_000_u64),
    ) {
        let mut history = History {
            now: 20_000,
            withdrawn: None,
            reader: Believer::new(leads.0),
            follower: Believer::new(leads.1),
            asked: None,
            clock_asked: None,
            clock: None,
            words: Vec::new(),
        };
        for step in &steps {
            history.step(step);
        }
        history.wait(20_000);
    }
}

/// What happens to a host, and what it believes in the end.
struct BeliefCase {
    name: &'static str,
    confirmed: &'static [u64],
    unreadable: bool,
    replaced: bool,
    now: u64,
    state: FreshnessState,
    serves: bool,
}

#[test]
fn keys_are_served_as_long_as_the_bound_allows_and_no_longer() {
    let case = |name, confirmed, now, state, serves| BeliefCase {
        name,
        confirmed,
        unreadable: false,
        replaced: false,
        now,
        state,
        serves,
    };
    let cases = [
        case("nothing known", &[], 100, FreshnessState::Unknown, false),
        case("just asked", &[1000], 1001, FreshnessState::Fresh, true),
        case("an outage of most of the bound", &[1000], 5900, FreshnessState::Fresh, true),
        case("the bound is over", &[1000], 6000, FreshnessState::Expired, false),
        case("an older word after a newer one", &[4000, 1000], 6000, FreshnessState::Fresh, true),
        case("heard again after the bound", &[1000, 8000], 8100, FreshnessState::Fresh, true),
        BeliefCase {
            unreadable: true,
            ..case("a newer one can not be read", &[1000], 7000, FreshnessState::Superseded, false)
        },
        BeliefCase {
            unreadable: true,
            replaced: true,
            ..case("mended", &[7000], 7100, FreshnessState::Fresh, true)
        },
    ];
    for case in cases {
        let mut freshness = ConfigurationFreshness::new(Some(BOUND));
        if case.unreadable {
            freshness.newer_unreadable();
            // A confirmation of the old configuration counts for nothing now.
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
fn a_process_that_has_just_started_knows_that_a_peers_word_is_older_than_itself() {
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
            "keys are served by a configuration of {age:?} ago"
        );
    }
}
