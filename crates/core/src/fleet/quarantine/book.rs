//! What one host knows of requests under which engines ended, and what follows for the next one.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    clock::ClockMillis,
    fleet::{
        WeightVersion,
        quarantine::{
            EngineLife, RequestMark,
            hold::{Hold, KEPT},
            suspect::{Suspect, SuspectEnd},
            whole_runs::WholeRuns,
            word::SuspectWord,
        },
    },
    organisation::OrganisationName,
};

/// How many ends in a row hold a request back. With three instead of two, 14 engines end for 11 and five times as many innocent
/// requests fail under three bad ones (median of nine simulated storms at twelve engines).
pub const ENDS_UNTIL_HELD: usize = 2;

/// From how many ends on all hosts are told. The first ones concern every request that ran at an engine that ended; only the
/// host that adds them up needs these.
const ENDS_UNTIL_TOLD: usize = 2;

/// How many suspects a host remembers: 360 bytes each with two ends (counted by an allocator), so 1.2% of the 64 MB that a host has
/// for control.
const MOST_SUSPECTS: usize = 2048;

/// How many words go into one frame: under 100 bytes each, less than half of what a host may send for control in a second.
pub const MOST_WORDS: usize = 64;

/// What happened to a suspect, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineNews {
    /// It is held back from now on.
    Held {
        /// The request.
        mark: RequestMark,
        /// Who sends it, where keys tell.
        organisation: Option<OrganisationName>,
        /// How many engines ended under it, as far as this host knows.
        ends: usize,
        /// For how long it is held back.
        time: Duration,
    },
    /// A whole run cleared it after it had been held back.
    Cleared {
        /// The request.
        mark: RequestMark,
    },
}

/// A run that broke off since its engine ended.
#[derive(Debug, Clone)]
pub struct EndedRun {
    /// The request.
    pub mark: RequestMark,
    /// Who sent it, where keys tell.
    pub organisation: Option<OrganisationName>,
    /// When it was sent.
    pub began: ClockMillis,
    /// The version of what it names, as it was named then.
    pub version: WeightVersion,
}

/// One host's suspects.
#[derive(Debug)]
pub struct QuarantineBook {
    ends_until_held: usize,
    /// Tells this host from others.
    host: u64,
    suspects: HashMap<RequestMark, Suspect>,
    /// What ran whole at this host lately.
    whole_runs: WholeRuns,
    /// What the host that adds everything up was not told yet.
    untold: BTreeSet<RequestMark>,
    /// What all other hosts were not told yet, where this one adds everything up.
    unspread: BTreeSet<RequestMark>,
    news: Vec<QuarantineNews>,
}

impl QuarantineBook {
    /// Starts a host's book with no suspects; so many ends in a row hold one back.
    pub fn new(host: &str, ends_until_held: usize) -> Self {
        Self {
            ends_until_held,
            host: xxh3_64(host.as_bytes()),
            suspects: HashMap::new(),
            whole_runs: WholeRuns::default(),
            untold: BTreeSet::new(),
            unspread: BTreeSet::new(),
            news: Vec::new(),
        }
    }

    /// Returns for how long a request is held back, if it is; `version` is the one that is named of what it names.
    pub fn held(
        &self,
        mark: RequestMark,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&mark)?;
        let left = self.hold(suspect)?.left(suspect, version, self.turn(mark), now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns when this host may try a request again among all hosts, from zero to one: one after the other, so that the
    /// first that does can tell the others.
    fn turn(&self, mark: RequestMark) -> f64 {
        let place = xxh3_64_with_seed(&mark.to_le_bytes(), self.host);
        place as f64 / u64::MAX as f64
    }

    /// Returns whether engines ended under a request since it last ran whole.
    pub fn is_suspect(&self, mark: RequestMark) -> bool {
        self.suspects.get(&mark).is_some_and(|suspect| suspect.ends() > 0)
    }

    /// Takes that a request is sent to an engine; returns whether that is a try of one that was held back, of which all
    /// hosts are to hear.
    pub fn run_begins(&mut self, mark: RequestMark, now: ClockMillis) -> bool {
        let held = self.ends_until_held;
        let suspect = self.suspects.get_mut(&mark).filter(|suspect| suspect.ends() >= held);
        let Some(suspect) = suspect else { return false };
        suspect.tried = Some(now);
        self.untold.insert(mark);
        true
    }

    /// Takes that an engine ran a request to its end and lives: whatever ended before did not end of this request.
    pub fn ran_whole(&mut self, mark: RequestMark, now: ClockMillis) {
        self.whole_runs.note(mark, now);
        if self.is_suspect(mark) {
            self.clear(mark, now);
        }
    }

    /// Takes that a life of an engine has ended with these runs.
    pub fn engine_ended(&mut self, life: EngineLife, runs: &[EndedRun], now: ClockMillis) {
        for run in runs {
            let end = SuspectEnd { life, began: run.began, at: now };
            let before = self.ends(run.mark);
            let suspect = self.suspects.entry(run.mark).or_insert_with(|| Suspect::new(now));
            suspect.version = suspect.version.max(run.version);
            suspect.organisation = suspect.organisation.take().or_else(|| run.organisation.clone());
            if suspect.add(end) {
                self.untold.insert(run.mark);
                self.count_ends(run.mark, before, now);
            }
        }
        self.forget_beyond_bound();
    }

    /// Takes what another host says; `adds_up` where this host adds up what all say and tells them.
    pub fn heard(&mut self, words: &[SuspectWord], adds_up: bool, now: ClockMillis) {
        for word in words {
            let before = self.ends(word.mark);
            let suspect = self.suspects.entry(word.mark).or_insert_with(|| Suspect::new(now));
            let changed = suspect.hear(word, now);
            if suspect.ends() == 0 && before >= self.ends_until_held {
                self.news.push(QuarantineNews::Cleared { mark: word.mark });
            }
            self.clear_by_own_run(word.mark);
            self.count_ends(word.mark, before, now);
            if changed && adds_up {
                self.unspread.insert(word.mark);
            }
        }
        self.forget_beyond_bound();
    }

    /// Takes what the host that adds everything up is to be told now.
    pub fn take_untold(&mut self, now: ClockMillis) -> Vec<SuspectWord> {
        let marks = take_some(&mut self.untold);
        self.words(&marks, now)
    }

    /// Makes words that were lost on their way be told again.
    pub fn tell_again(&mut self, words: &[SuspectWord]) {
        self.untold.extend(words.iter().map(|word| word.mark));
    }

    /// Makes all that is known be told to a host that begins to add everything up.
    pub fn tell_all_again(&mut self) {
        let known = self.suspects.iter().filter(|(_, suspect)| suspect.ends() > 0);
        self.untold.extend(known.map(|(mark, _)| *mark));
    }

    /// Takes this host's own news for the others, where it adds everything up itself.
    pub fn spread_own(&mut self) {
        self.unspread.append(&mut self.untold);
    }

    /// Takes what all other hosts are to be told now: what concerns them all, and what they were told before.
    pub fn take_unspread(&mut self, now: ClockMillis) -> Vec<SuspectWord> {
        let mut marks = take_some(&mut self.unspread);
        marks.retain(|mark| self.suspects.get(mark).is_some_and(|suspect| suspect.spread));
        self.words(&marks, now)
    }

    /// Returns what a host is to be told that begins to listen.
    pub fn words_for_all(&self, now: ClockMillis) -> Vec<SuspectWord> {
        let mut marks: Vec<RequestMark> = self.suspects.keys().copied().collect();
        marks.retain(|mark| self.ends(*mark) >= ENDS_UNTIL_TOLD);
        marks.sort_by_key(|mark| std::cmp::Reverse(self.ends(*mark)));
        marks.truncate(MOST_WORDS);
        self.words(&marks, now)
    }

    /// Forgets suspects that have not been seen for long.
    pub fn forget_old(&mut self, now: ClockMillis) {
        let until_held = self.ends_until_held;
        self.suspects.retain(|_, suspect| {
            let hold = Hold::after(suspect.ends(), until_held);
            now.since(suspect.newest()) < hold.map_or(KEPT, Hold::remembered)
        });
    }

    /// Takes what happened since the last call.
    pub fn take_news(&mut self) -> Vec<QuarantineNews> {
        std::mem::take(&mut self.news)
    }

    /// Returns how many requests are suspects, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        let ends = self.suspects.values().map(Suspect::ends);
        let suspects = ends.clone().filter(|ends| *ends > 0).count();
        (suspects, ends.filter(|ends| *ends >= self.ends_until_held).count())
    }

    fn ends(&self, mark: RequestMark) -> usize {
        self.suspects.get(&mark).map_or(0, Suspect::ends)
    }

    fn hold(&self, suspect: &Suspect) -> Option<Hold> {
        Hold::after(suspect.ends(), self.ends_until_held)
    }

    /// Takes that a request ran whole at a moment: the ends before are not its doing, and others hear of it.
    fn clear(&mut self, mark: RequestMark, at: ClockMillis) {
        let before = self.ends(mark);
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        suspect.clear(at);
        self.untold.insert(mark);
        if before >= self.ends_until_held && suspect.ends() < self.ends_until_held {
            self.news.push(QuarantineNews::Cleared { mark });
        }
    }

    /// Clears a request that ran whole here before this host heard of its ends.
    fn clear_by_own_run(&mut self, mark: RequestMark) {
        let Some(at) = self.whole_runs.newest(mark) else { return };
        let older = self.suspects.get(&mark).is_some_and(|suspect| suspect.ended_by(at));
        if older {
            self.clear(mark, at);
        }
    }

    /// Takes that engines ended under a suspect that was known with `before` ends.
    fn count_ends(&mut self, mark: RequestMark, before: usize, now: ClockMillis) {
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        let ends = suspect.ends();
        // Whoever adds up next has to tell all that it is cleared, as they were told of the ends.
        suspect.spread |= ends >= ENDS_UNTIL_TOLD;
        let Some(suspect) = self.suspects.get(&mark) else { return };
        if ends > before
            && let Some(hold) = self.hold(suspect)
        {
            let organisation = suspect.organisation.clone();
            let time = hold.left(suspect, suspect.version, self.turn(mark), now);
            self.news.push(QuarantineNews::Held { mark, organisation, ends, time });
        }
    }

    fn words(&self, marks: &[RequestMark], now: ClockMillis) -> Vec<SuspectWord> {
        let known = marks.iter().filter_map(|mark| Some((*mark, self.suspects.get(mark)?)));
        known.map(|(mark, suspect)| suspect.word(mark, now)).collect()
    }

    /// Keeps the bound on suspects: those under which the fewest engines ended go first, the oldest of them before others,
    /// so that a flood of bad requests drives out its own first.
    fn forget_beyond_bound(&mut self) {
        let surplus = self.suspects.len().saturating_sub(MOST_SUSPECTS);
        if surplus == 0 {
            return;
        }
        let rank =
            |(mark, suspect): (&RequestMark, &Suspect)| (suspect.ends(), suspect.newest(), *mark);
        let mut ranks: Vec<_> = self.suspects.iter().map(rank).collect();
        ranks.sort_unstable();
        for (_, _, mark) in ranks.iter().take(surplus) {
            self.suspects.remove(mark);
            self.untold.remove(mark);
            self.unspread.remove(mark);
        }
    }
}

/// Takes as many marks as go into one frame.
fn take_some(marks: &mut BTreeSet<RequestMark>) -> Vec<RequestMark> {
    let some: Vec<RequestMark> = marks.iter().copied().take(MOST_WORDS).collect();
    for mark in &some {
        marks.remove(mark);
    }
    some
}
