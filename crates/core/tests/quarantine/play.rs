//! Plays a storm of requests under which engines end against a way to hold them back, and sums what came of it.

use std::collections::BTreeSet;

use reelreel_core::{
    ClockMillis,
    fleet::quarantine::{
        EngineIncarnationId, InterruptedRun, QuarantineTracker, RequestMark, SuspectReport,
        engine_incarnation_id,
    },
};

use crate::random::Random;

/// One step of the play. Unit: milliseconds.
const STEP: u64 = 10;

/// How long a play lasts. Unit: milliseconds.
const LENGTH: u64 = 40_000;

/// How long an innocent request waits in its engine's queue at most, and runs at most. Unit: milliseconds.
const LONGEST_QUEUE: usize = 300;
const LONGEST_RUN: usize = 4000;

/// How long an engine runs a bad request until it ends. Unit: milliseconds.
const DEADLY_RUN: u64 = 80;

/// How long an engine that has ended is away. Unit: milliseconds.
const AWAY: u64 = 3000;

/// After what time a client tries once more. Unit: milliseconds.
const CLIENT_PAUSE: u64 = 100;

/// How long a word is on its way. Unit: milliseconds.
const WORD_TIME: u64 = 60;

/// How much hosts know of what the others know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// Nothing is remembered.
    None,
    /// Each host remembers for itself.
    OwnOnly,
    /// Hosts add up what they know.
    Told,
}

/// A way to hold requests back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HoldWay {
    pub(crate) name: &'static str,
    pub(crate) sharing: Sharing,
    pub(crate) ends_until_held: usize,
}

/// A load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Storm {
    pub(crate) name: &'static str,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Innocent requests a second.
    pub(crate) rate: f64,
    /// How many bad requests there are, each with its own body.
    pub(crate) bad: u64,
    /// How often each of them comes a second.
    pub(crate) bad_rate: f64,
    /// Whether equal requests of one moment go to one engine, as where one engine holds their adapter.
    pub(crate) one_holder: bool,
    /// How many engines may end.
    pub(crate) most_ended: u32,
    /// Every so often that many engines end at the same moment, with nobody to blame. Unit: milliseconds.
    pub(crate) crashes: Option<(u64, usize)>,
    /// How many bodies innocent requests have; zero where each has its own.
    pub(crate) bodies: u64,
}

/// What came of a play.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Outcome {
    /// Engines that ended under bad requests.
    pub(crate) ended: u32,
    /// Runs of the most often run bad request that began later than three seconds after the third engine had ended under it.
    pub(crate) late_runs: u32,
    /// Innocent requests, and those of them that failed in the end.
    pub(crate) innocents: u32,
    pub(crate) failed: u32,
    /// Innocent requests that were held back.
    pub(crate) held: u32,
    /// Whether three engines ended under the first bad request.
    pub(crate) third_ended: bool,
    /// Until all hosts held the first bad request back, from its third end on. Unit: milliseconds.
    pub(crate) known_after: Option<u64>,
    /// The most suspects that a host knew.
    pub(crate) suspects: usize,
    /// Words that were sent, by any host to any other.
    pub(crate) words: usize,
}

struct Run {
    mark: RequestMark,
    host: usize,
    engine: usize,
    sent: u64,
    ends: u64,
    deadly: bool,
    tries: u32,
}

struct Arrival {
    at: u64,
    mark: RequestMark,
    host: usize,
    deadly: bool,
    tries: u32,
}

struct Engine {
    life: u64,
    away_until: u64,
}

struct Play<'storm> {
    storm: &'storm Storm,
    way: &'storm HoldWay,
    random: Random,
    books: Vec<QuarantineTracker>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
    /// Words on their way: when they arrive, to whom, and whether that host adds up.
    words: Vec<(u64, usize, Vec<SuspectReport>)>,
    /// When engines ended under each bad request.
    ends: Vec<Vec<u64>>,
    late_runs: Vec<u32>,
    outcome: Outcome,
    next: u64,
}

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(1_000_000 + millis)
}

/// Plays a storm.
pub(crate) fn play(storm: &Storm, way: &HoldWay, seed: u64) -> Outcome {
    let books = (0..storm.hosts)
        .map(|host| QuarantineTracker::new(&format!("host-{host}"), way.ends_until_held))
        .collect();
    let engines = (0..storm.engines).map(|_| Engine { life: 0, away_until: 0 }).collect();
    let mut play = Play {
        storm,
        way,
        random: Random(seed),
        books,
        engines,
        runs: Vec::new(),
        arrivals: Vec::new(),
        words: Vec::new(),
        ends: vec![Vec::new(); usize::try_from(storm.bad).unwrap_or_default()],
        late_runs: vec![0; usize::try_from(storm.bad).unwrap_or_default()],
        outcome: Outcome::default(),
        next: 1_000_000,
    };
    for now in (0..LENGTH).step_by(usize::try_from(STEP).unwrap_or(1)) {
        play.step(now);
    }
    play.outcome.third_ended = play.ends.first().is_some_and(|ends| ends.len() >= 3);
    play.outcome.late_runs = play.late_runs.iter().copied().max().unwrap_or_default();
    play.outcome
}

impl Play<'_> {
    fn step(&mut self, now: u64) {
        self.deliver(now);
        self.end_runs(now);
        if let Some((every, count)) = self.storm.crashes
            && now % every == every / 2
        {
            for engine in 0..count.min(self.engines.len()) {
                self.end_engine(engine, now);
            }
        }
        self.bring_arrivals(now);
        let due: Vec<Arrival> = self.arrivals.extract_if(.., |arrival| arrival.at <= now).collect();
        for arrival in due {
            self.arrive(&arrival, now);
        }
        self.tell(now);
        self.look(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small number"
    )]
    fn below(&mut self, bound: usize) -> usize {
        (self.random.next() * bound as f64) as usize
    }

    fn host(&mut self) -> usize {
        self.below(self.storm.hosts)
    }

    fn bring_arrivals(&mut self, now: u64) {
        let step = STEP as f64 / 1000.0;
        for bad in 0..self.storm.bad {
            if self.random.next() < self.storm.bad_rate * step {
                let host = self.host();
                let mark = RequestMark::from(bad);
                self.arrivals.push(Arrival { at: now, mark, host, deadly: true, tries: 2 });
            }
        }
        let mut expected = self.storm.rate * step;
        while expected > 0.0 {
            if self.random.next() < expected {
                let host = self.host();
                self.next += 1;
                let body = match self.storm.bodies {
                    0 => self.next,
                    bodies => 500_000 + self.next % bodies,
                };
                let mark = RequestMark::from(body);
                self.outcome.innocents += 1;
                self.arrivals.push(Arrival { at: now, mark, host, deadly: false, tries: 1 });
            }
            expected -= 1.0;
        }
    }

    fn arrive(&mut self, arrival: &Arrival, now: u64) {
        let held = self.books[arrival.host].quarantine_left(arrival.mark, 0, at(now));
        if held.is_some() && self.way.sharing != Sharing::None {
            self.refuse(arrival);
        } else {
            self.run(arrival, now);
        }
    }

    fn refuse(&mut self, arrival: &Arrival) {
        if !arrival.deadly {
            self.outcome.held += 1;
            self.outcome.failed += 1;
        }
    }

    fn run(&mut self, arrival: &Arrival, now: u64) {
        let living: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].away_until <= now)
            .collect();
        if living.is_empty() {
            self.outcome.failed += u32::from(!arrival.deadly);
            return;
        }
        let place = if arrival.deadly && self.storm.one_holder {
            usize::try_from(arrival.mark % living.len() as u128).unwrap_or_default()
        } else {
            self.below(living.len())
        };
        let queue = self.below(LONGEST_QUEUE) as u64;
        let length =
            if arrival.deadly { DEADLY_RUN } else { STEP + self.below(LONGEST_RUN) as u64 };
        if arrival.deadly {
            let bad = usize::try_from(arrival.mark).unwrap_or_default();
            let third = self.ends[bad].get(2);
            self.late_runs[bad] += u32::from(third.is_some_and(|third| now > third + 3000));
        }
        let _ = self.books[arrival.host].record_start(arrival.mark, at(now));
        self.runs.push(Run {
            mark: arrival.mark,
            host: arrival.host,
            engine: living[place],
            sent: now,
            ends: now + queue + length,
            deadly: arrival.deadly,
            tries: arrival.tries,
        });
    }

    fn end_runs(&mut self, now: u64) {
        let due: Vec<Run> =
            self.runs.extract_if(.., |run| !run.deadly && run.ends <= now).collect();
        for run in due {
            self.books[run.host].record_completion(run.mark, at(now));
        }
        while let Some(run) = self.runs.iter().find(|run| run.deadly && run.ends <= now) {
            let (engine, bad) = (run.engine, usize::try_from(run.mark).unwrap_or_default());
            self.ends[bad].push(now);
            self.outcome.ended += 1;
            self.end_engine(engine, now);
        }
    }

    fn end_engine(&mut self, engine: usize, now: u64) {
        let state = &mut self.engines[engine];
        let life = engine_incarnation_id(&format!("engine-{engine}"), state.life);
        state.life += 1;
        state.away_until = now + AWAY;
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        let hosts: BTreeSet<usize> = lost.iter().map(|run| run.host).collect();
        for host in hosts {
            self.end_at(host, life, lost.iter().filter(|run| run.host == host), now);
        }
        for run in lost.iter().filter(|run| !run.deadly) {
            if run.tries >= 2 {
                self.outcome.failed += 1;
                continue;
            }
            let (at, host) = (now + CLIENT_PAUSE, self.host());
            let tries = run.tries + 1;
            self.arrivals.push(Arrival { at, mark: run.mark, host, deadly: false, tries });
        }
    }

    fn end_at<'run>(
        &mut self,
        host: usize,
        life: EngineIncarnationId,
        lost: impl Iterator<Item = &'run Run>,
        now: u64,
    ) {
        let book = &mut self.books[host];
        let ended: Vec<InterruptedRun> = lost
            .map(|run| InterruptedRun {
                mark: run.mark,
                organisation: None,
                began: at(run.sent),
                version: 0,
            })
            .collect();
        book.record_crash(life, &ended, at(now));
    }

    /// Host 0 adds up what all say.
    fn tell(&mut self, now: u64) {
        if self.way.sharing != Sharing::Told {
            return;
        }
        for host in 1..self.books.len() {
            let words = self.books[host].take_pending(at(now));
            self.send(0, words, now);
        }
        self.books[0].publish_own();
        let words = self.books[0].take_unpublished(at(now));
        for host in 1..self.books.len() {
            self.send(host, words.clone(), now);
        }
    }

    fn send(&mut self, to: usize, words: Vec<SuspectReport>, now: u64) {
        if !words.is_empty() {
            self.outcome.words += words.len();
            self.words.push((now + WORD_TIME, to, words));
        }
    }

    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self.words.extract_if(.., |(arrives, ..)| *arrives <= now).collect();
        for (_, host, words) in due {
            self.books[host].receive(&words, host == 0, at(now));
        }
    }

    fn look(&mut self, now: u64) {
        let most = self.books.iter().map(|book| book.counts().0).max();
        self.outcome.suspects = self.outcome.suspects.max(most.unwrap_or_default());
        let Some(third) = self.ends.first().and_then(|ends| ends.get(2)) else { return };
        let held = |book: &QuarantineTracker| book.quarantine_left(0, 0, at(now)).is_some();
        if self.outcome.known_after.is_none() && self.books.iter().all(held) {
            self.outcome.known_after = Some(now - third);
        }
    }
}
