//! The software version that began each stream: a stream goes on at no other.
//!
//! A host records the streams that it begins and tells a few others, the keepers of a stream, which are
//! chosen by rendezvous hashing. A host that is to resume a stream which it does not know asks them. A
//! stream that nobody knows is not resumed: a guess could join what two software versions wrote.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    clock::ClockMillis,
    fleet::{EngineEntry, ServiceName, SoftwareVersion},
};

/// Identifies a stream by a hash of the id of the client's attempt that brought its first event.
pub type StreamId = u64;

/// Minimum time for which a stream is known: longer than streams and the patience of their clients.
pub const ORIGIN_TTL: Duration = Duration::from_secs(45);

/// Number of hosts that are told of a stream.
pub const KEEPERS: usize = 2;

/// Length of the windows in which a host groups the streams that it begins. Unit: milliseconds.
const WINDOW_MILLIS: u64 = 5_000;

/// Maximum number of windows whose streams are known.
pub const WINDOW_COUNT: u64 = 10;

/// Minimum interval at which a host saves its new streams to the store.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between the saves of all hosts.
const SHARED_SAVE_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of streams in a window.
const WINDOW_STREAM_LIMIT: usize = 5_000;

/// Maximum number of streams recorded in half of the time for which they are known.
const STREAM_LIMIT: usize = 50_000;

/// Maximum number of streams that wait to be sent.
const UNSENT_LIMIT: usize = 10_000;

/// Returns the identity of a stream.
pub fn stream_id(attempt: &str) -> StreamId {
    xxh3_64(attempt.as_bytes())
}

/// Returns the interval at which each of `hosts` hosts saves its new streams to the store.
pub fn save_interval(hosts: u32) -> Duration {
    (SHARED_SAVE_INTERVAL * hosts).max(MIN_SAVE_INTERVAL)
}

/// Index of a software version.
type VersionIndex = u16;

/// Stands for a stream that was reported with different software versions.
const AMBIGUOUS: VersionIndex = VersionIndex::MAX;

/// A stream and the software version that began it.
pub type StreamOrigin = (StreamId, SoftwareVersion);

/// Number of a window since the start of the clock.
pub type WindowNumber = u64;

/// What is known of the origin of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownOrigin {
    /// This software version began it.
    Software(SoftwareVersion),
    /// It was reported with different software versions.
    Ambiguous,
    /// Nothing.
    Unknown,
}

/// What a host knows of the origins of streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// The software versions that are referred to.
    versions: Vec<SoftwareVersion>,
    /// Streams recorded since the last rotation, and those recorded in the period before.
    recent: HashMap<StreamId, VersionIndex>,
    earlier: HashMap<StreamId, VersionIndex>,
    rotated_at: ClockMillis,
    /// The streams that this host began or resumed in the time for which streams are known.
    own: BTreeMap<WindowNumber, Vec<(StreamId, VersionIndex)>>,
    /// Hosts among which keepers are chosen.
    hosts: Vec<SocketAddr>,
    /// When engines were last delisted, by service and software version.
    delisted: HashMap<ServiceName, HashMap<SoftwareVersion, ClockMillis>>,
    /// Since when this host has known all listed engines, if streams may have begun before.
    observed_since: Option<ClockMillis>,
    /// Streams to send to a host.
    unsent: Vec<(SocketAddr, StreamId, VersionIndex)>,
}

impl StreamOrigins {
    /// Creates the state of a host that starts at `now`, while streams may be running.
    pub fn of_restarted_host(now: ClockMillis) -> Self {
        Self { observed_since: Some(now), ..Self::default() }
    }

    /// Records that this host knows all listed engines for the first time.
    pub fn record_first_listing(&mut self, now: ClockMillis) {
        self.observed_since = self.observed_since.map(|_| now);
    }

    /// Records a stream that this host begins or resumes, to be sent to its keepers.
    pub fn record(&mut self, stream: StreamId, software: &SoftwareVersion, now: ClockMillis) {
        let index = self.insert(stream, software, now);
        self.own.retain(|number, _| !has_expired(*number, now));
        let window = self.own.entry(window_number(now)).or_default();
        if window.len() < WINDOW_STREAM_LIMIT {
            window.push((stream, index));
        }
        for keeper in keepers(stream, &self.hosts, KEEPERS) {
            self.queue(keeper, stream, index);
        }
    }

    /// Records a stream that another host reported.
    pub fn receive(&mut self, stream: StreamId, software: &SoftwareVersion, now: ClockMillis) {
        self.insert(stream, software, now);
    }

    /// Returns what is known of a stream's origin.
    pub fn origin_of(&self, stream: StreamId) -> KnownOrigin {
        let Some(index) = self.index_of(stream) else { return KnownOrigin::Unknown };
        let software = self.versions.get(usize::from(index));
        software
            .map_or(KnownOrigin::Ambiguous, |software| KnownOrigin::Software(Arc::clone(software)))
    }

    /// Records that an engine is no longer listed: streams that it began may still be resumed.
    pub fn record_delisted(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: ClockMillis,
    ) {
        let versions = self.delisted.entry(Arc::clone(service)).or_default();
        versions.retain(|_, delisted_at| now.since(*delisted_at) < ORIGIN_TTL);
        versions.insert(Arc::clone(software), now);
    }

    /// Returns the software version of a service, if all engines run it which are listed or were in
    /// the time for which streams are known. A host that has not observed them for so long can't know.
    pub fn sole_software<'entries>(
        &self,
        service: &str,
        mut listed: impl Iterator<Item = &'entries EngineEntry>,
        now: ClockMillis,
    ) -> Option<SoftwareVersion> {
        if self.observed_since.is_some_and(|since| now.since(since) < ORIGIN_TTL) {
            return None;
        }
        let sole = &listed.next()?.software;
        let mut delisted = self.delisted.get(service).into_iter().flatten();
        let is_sole = listed.all(|entry| entry.software == *sole)
            && delisted.all(|(version, delisted_at)| {
                version == sole || now.since(*delisted_at) >= ORIGIN_TTL
            });
        is_sole.then(|| Arc::clone(sole))
    }

    /// Returns whether engines of several software versions of one service are listed or were in the
    /// time for which streams are known.
    pub fn had_several_versions<'entries>(
        &self,
        listed: impl Iterator<Item = &'entries EngineEntry>,
        now: ClockMillis,
    ) -> bool {
        let mut versions: HashMap<&ServiceName, &SoftwareVersion> = HashMap::new();
        let listed = listed.map(|entry| (&entry.service, &entry.software));
        let delisted = self.delisted.iter().flat_map(|(service, versions)| {
            let recent =
                versions.iter().filter(|(_, delisted_at)| now.since(**delisted_at) < ORIGIN_TTL);
            recent.map(move |(software, _)| (service, software))
        });
        let mut all = listed.chain(delisted);
        all.any(|(service, software)| *versions.entry(service).or_insert(software) != software)
    }

    /// Returns the windows of the streams that this host began or resumed, with their lengths.
    pub fn own_windows(&self, now: ClockMillis) -> Vec<(WindowNumber, usize)> {
        let known = self.own.iter().filter(|(number, _)| !has_expired(**number, now));
        known.map(|(number, streams)| (*number, streams.len())).collect()
    }

    /// Returns the streams of a window.
    pub fn window_streams(&self, number: WindowNumber) -> Vec<StreamOrigin> {
        let streams = self.own.get(&number).into_iter().flatten();
        let named = streams.filter_map(|(stream, index)| {
            Some((*stream, Arc::clone(self.versions.get(usize::from(*index))?)))
        });
        named.collect()
    }

    /// Returns whether streams of several software versions were recorded.
    pub const fn has_several_versions(&self) -> bool {
        self.versions.len() > 1
    }

    /// Sets the hosts among which keepers are chosen. Streams get new keepers for those that are no
    /// longer among them.
    pub fn set_hosts(&mut self, hosts: Vec<SocketAddr>) {
        if hosts == self.hosts {
            return;
        }
        let former = std::mem::replace(&mut self.hosts, hosts);
        let known: Vec<_> =
            self.recent.iter().chain(&self.earlier).map(|(id, at)| (*id, *at)).collect();
        for (stream, index) in known {
            let told = keepers(stream, &former, KEEPERS);
            for keeper in keepers(stream, &self.hosts, KEEPERS) {
                if !told.contains(&keeper) {
                    self.queue(keeper, stream, index);
                }
            }
        }
    }

    /// Returns the hosts to ask for a stream, the most likely ones first.
    pub fn hosts_to_ask(&self, stream: StreamId, count: usize) -> Vec<SocketAddr> {
        keepers(stream, &self.hosts, count)
    }

    /// Takes the streams to send, by host.
    pub fn take_unsent(&mut self) -> HashMap<SocketAddr, Vec<StreamOrigin>> {
        let mut unsent: HashMap<SocketAddr, Vec<StreamOrigin>> = HashMap::new();
        for (host, stream, index) in std::mem::take(&mut self.unsent) {
            if let Some(software) = self.versions.get(usize::from(index)) {
                unsent.entry(host).or_default().push((stream, Arc::clone(software)));
            }
        }
        unsent
    }

    fn queue(&mut self, host: SocketAddr, stream: StreamId, index: VersionIndex) {
        if self.unsent.len() < UNSENT_LIMIT {
            self.unsent.push((host, stream, index));
        }
    }

    fn index_of(&self, stream: StreamId) -> Option<VersionIndex> {
        match (self.recent.get(&stream), self.earlier.get(&stream)) {
            (Some(one), Some(other)) if one != other => Some(AMBIGUOUS),
            (one, other) => one.or(other).copied(),
        }
    }

    fn insert(
        &mut self,
        stream: StreamId,
        software: &SoftwareVersion,
        now: ClockMillis,
    ) -> VersionIndex {
        if now.since(self.rotated_at) >= ORIGIN_TTL || self.recent.len() >= STREAM_LIMIT {
            self.earlier = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
        let index = self.version_index(software);
        let known = self.index_of(stream).unwrap_or(index);
        let index = if known == index { index } else { AMBIGUOUS };
        self.recent.insert(stream, index);
        index
    }

    fn version_index(&mut self, software: &SoftwareVersion) -> VersionIndex {
        let known = self.versions.iter().position(|version| version == software);
        let index = known.unwrap_or(self.versions.len());
        if known.is_none() {
            self.versions.push(Arc::clone(software));
        }
        VersionIndex::try_from(index).unwrap_or(AMBIGUOUS)
    }
}

fn window_number(now: ClockMillis) -> WindowNumber {
    now.as_millis() / WINDOW_MILLIS
}

/// Returns whether the streams of a window are no longer known.
fn has_expired(number: WindowNumber, now: ClockMillis) -> bool {
    now >= ClockMillis::from_millis((number + 1) * WINDOW_MILLIS) + ORIGIN_TTL
}

/// Returns the keepers of a stream: the same at all hosts that know the same hosts, and mostly the same
/// when a host comes or goes.
fn keepers(stream: StreamId, hosts: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let weight = |host: &SocketAddr| xxh3_64_with_seed(host.to_string().as_bytes(), stream);
    let mut weighted: Vec<_> = hosts.iter().map(|host| (Reverse(weight(host)), *host)).collect();
    weighted.sort_unstable();
    let mut seen = HashSet::new();
    weighted
        .into_iter()
        .map(|(_, host)| host)
        .filter(|host| seen.insert(*host))
        .take(count)
        .collect()
}
