//! The room of brittle engines, which limit the number of open requests.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineName,
        announcement::Declared,
        limits::{
            ledger::LimitLedger,
            limit::{BRITTLE_RETENTION, LimitDeclaration, RequestLimit},
            open_room::{OpenRoom, SETTLING_TIME},
            report::{LimitReport, PermitGrant},
            share::{LimitShare, LimitStatus, LimitUpdate, PermitUse},
        },
    },
};

/// The step of a simulation.
const STEP: Duration = Duration::from_millis(5);

/// The time of a message between a host and the ledger.
const LINK_TIME: Duration = Duration::from_millis(20);

/// The time until the engine has run a request.
const RUN_TIME: Duration = Duration::from_millis(400);

/// When the engine may let fewer requests wait.
const SHRINKS_AT: Duration = Duration::from_secs(3);

const END: Duration = Duration::from_secs(23);

/// How often the listing is applied.
const LISTING_INTERVAL: u32 = 20;

/// An engine that is brittle, and the requests for it.
struct RoomCase {
    hosts: usize,
    /// Number of requests that the engine lists to run at a time.
    listed: u32,
    /// Number of requests that it runs or lets wait once its room has shrunk.
    room: usize,
    /// Requests over all hosts, as a multiple of what the engine runs.
    load: f64,
    /// Number of rejections in a second that it survives.
    bound: usize,
    /// Least part of its slots that is used.
    min_used: f64,
}

/// A host with its requests at the engine.
#[derive(Default)]
struct SimulatedHost {
    share: LimitShare,
    /// When each of its open requests ends.
    open: VecDeque<ClockMillis>,
    waiting: u32,
    updates: VecDeque<(ClockMillis, LimitUpdate)>,
    replies: VecDeque<(ClockMillis, Vec<LimitReport>, Vec<PermitGrant>)>,
}

/// Rejections and ended requests of a simulation.
#[derive(Default)]
struct RoomTally {
    rejected: Vec<ClockMillis>,
    /// When requests ended after the room has shrunk.
    ended: Vec<ClockMillis>,
}

impl RoomTally {
    fn max_rejected_in_a_second(&self) -> usize {
        let until = |first: ClockMillis| {
            self.rejected.partition_point(|at| *at < first + Duration::from_secs(1))
        };
        let rejected = self.rejected.iter().enumerate();
        rejected.map(|(index, first)| until(*first) - index).max().unwrap_or_default()
    }
}

fn pop_due<Item>(queue: &mut VecDeque<Item>, is_due: impl Fn(&Item) -> bool) -> Option<Item> {
    if queue.front().is_some_and(is_due) { queue.pop_front() } else { None }
}

impl SimulatedHost {
    /// Ends due requests; returns how many.
    fn end_requests(&mut self, engine: &str, now: ClockMillis) -> usize {
        let mut ended = 0;
        while pop_due(&mut self.open, |ends_at| *ends_at <= now).is_some() {
            self.share.end_request(engine);
            ended += 1;
        }
        ended
    }

    /// Sends what waits and is permitted.
    fn send(
        &mut self,
        engine: &EngineName,
        limit: RequestLimit,
        is_full: bool,
        now: ClockMillis,
    ) -> bool {
        if self.waiting == 0 || !self.share.take(engine, PermitUse::Waiting, now) {
            return false;
        }
        let limit = Declared::Present(limit);
        let declaration =
            LimitDeclaration { limit, requested_at: now, absence_is_conclusive: true };
        self.share.receive_declaration(engine, 1, declaration, now);
        self.share.begin_request(engine);
        if is_full {
            self.share.record_rejection(engine);
            self.share.end_request(engine);
        } else {
            self.waiting -= 1;
            self.share.end_wait(engine, PermitUse::Waiting);
            self.open.push_back(now + RUN_TIME);
        }
        true
    }

    /// Exchanges messages with the ledger.
    fn exchange(&mut self, host: &Arc<str>, ledger: &mut LimitLedger, now: ClockMillis) {
        let update = self.share.take_pending(now);
        if update != LimitUpdate::default() {
            self.updates.push_back((now + LINK_TIME, update));
        }
        while let Some((_, update)) = pop_due(&mut self.updates, |(due, _)| *due <= now) {
            for report in &update.reports {
                ledger.receive(report, now);
            }
            for (engine, demand) in &update.demands {
                ledger.receive_demand(host, engine, demand, now);
            }
        }
        while let Some((_, reports, grants)) = pop_due(&mut self.replies, |(due, ..)| *due <= now) {
            self.share.record_ledger_frame(now);
            for report in &reports {
                self.share.receive(report, now);
            }
            self.share.receive_grants(&grants, now);
        }
    }
}

/// Simulates a case; `host_of` returns the host of a request, by the number of requests before it and the time.
fn simulate(case: &RoomCase, host_of: impl Fn(usize, Duration) -> usize) -> RoomTally {
    let engine: EngineName = Arc::from("e");
    let limit = RequestLimit::open_only(case.listed);
    let names: Vec<Arc<str>> = (0..case.hosts).map(|host| Arc::from(format!("h{host}"))).collect();
    let mut hosts: Vec<SimulatedHost> = names.iter().map(|_| SimulatedHost::default()).collect();
    let mut ledger = LimitLedger::default();
    let mut tally = RoomTally::default();
    let start = ClockMillis::from_millis(1000);
    let slots = f64::from(case.listed).min(case.room as f64);
    let arrivals_per_step = case.load * slots / RUN_TIME.as_secs_f64() * STEP.as_secs_f64();
    let (mut arrivals, mut arrived, mut step) = (0.0, 0, 0);
    while STEP * step < END {
        let now = start + STEP * step;
        let room = if STEP * step < SHRINKS_AT { usize::MAX } else { case.room };
        arrivals += arrivals_per_step;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let host = &mut hosts[host_of(arrived, STEP * step)];
            arrived += 1;
            host.waiting += 1;
            host.share.begin_wait(&engine, PermitUse::Waiting);
        }
        let ended: usize = hosts.iter_mut().map(|host| host.end_requests(&engine, now)).sum();
        if STEP * step >= SHRINKS_AT {
            tally.ended.extend(std::iter::repeat_n(now, ended));
        }
        for index in 0..case.hosts {
            loop {
                let running: usize = hosts.iter().map(|host| host.open.len()).sum();
                let is_full = running >= room;
                if !hosts[index].send(&engine, limit, is_full, now) {
                    break;
                }
                if is_full {
                    tally.rejected.push(now);
                }
            }
            hosts[index].exchange(&names[index], &mut ledger, now);
            if step % LISTING_INTERVAL == 0 {
                hosts[index].share.retain(|_| Some(1), now);
            }
        }
        let changes = ledger.take_changes(now);
        let mut grants = ledger.grant_permits(now);
        for (name, host) in names.iter().zip(&mut hosts) {
            let granted = grants.remove(name).unwrap_or_default();
            host.replies.push_back((now + LINK_TIME, changes.clone(), granted));
        }
        step += 1;
    }
    tally
}

/// Guards against hosts that together make a brittle engine reject more requests than it survives.
#[test]
fn a_brittle_engine_rejects_no_more_requests_than_it_survives() {
    let cases = [
        RoomCase { hosts: 6, listed: 4, room: 4, load: 1.25, bound: 0, min_used: 0.85 },
        RoomCase { hosts: 30, listed: 4, room: 5, load: 1.25, bound: 0, min_used: 0.85 },
        RoomCase { hosts: 60, listed: 3, room: 5, load: 1.25, bound: 0, min_used: 0.85 },
        RoomCase { hosts: 60, listed: 16, room: 18, load: 0.75, bound: 0, min_used: 0.7 },
        RoomCase { hosts: 60, listed: 16, room: 16, load: 3.0, bound: 0, min_used: 0.85 },
        // The engine runs fewer requests than it lists.
        RoomCase { hosts: 6, listed: 16, room: 5, load: 1.25, bound: 3, min_used: 0.6 },
        RoomCase { hosts: 30, listed: 16, room: 5, load: 1.25, bound: 3, min_used: 0.6 },
        RoomCase { hosts: 60, listed: 16, room: 10, load: 1.25, bound: 3, min_used: 0.6 },
    ];
    for case in &cases {
        let tally = simulate(case, |arrived, _| arrived % case.hosts);
        let rejected = tally.max_rejected_in_a_second();
        let slots = f64::from(case.listed).min(case.room as f64);
        let runs = (END.saturating_sub(SHRINKS_AT)).as_secs_f64() / RUN_TIME.as_secs_f64();
        let used = tally.ended.len() as f64 / (runs * slots);
        let RoomCase { hosts, listed, room, load, bound, min_used } = *case;
        println!(
            "{hosts} hosts, {listed} listed, room {room}, load {load}: {rejected} rejected in a second, {used:.2} used"
        );
        assert!(
            rejected <= bound,
            "{rejected} rejections in a second at {hosts} hosts, room {room}"
        );
        assert!(used >= min_used, "{used:.2} of the slots used at {hosts} hosts, room {room}");
    }
}

/// When nine in ten of all requests begin to arrive at one host.
const HERD_START: Duration = Duration::from_secs(14);

/// Time for which they arrive at one host, before they do at the next.
const HERD_TIME: Duration = Duration::from_secs(4);

/// Time from which requests must be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Least ratio of the ended requests in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// Guards against permits that stay with hosts which have few requests.
#[test]
fn a_host_that_gets_most_requests_uses_the_room_of_a_brittle_engine() {
    let case = |hosts, listed, load| {
        let (room, bound, min_used) = (usize::MAX, 0, 0.0);
        RoomCase { hosts, listed, room, load, bound, min_used }
    };
    let cases = [
        case(6, 4, 0.9),
        case(6, 16, 1.25),
        case(60, 16, 0.75),
        case(60, 4, 1.25),
        case(300, 16, 0.9),
    ];
    for case in &cases {
        let tally = simulate(case, |arrived, elapsed| match arrived % 10 {
            0 => arrived / 10 % case.hosts,
            _ if elapsed < HERD_START => arrived % case.hosts,
            _ => usize::from(elapsed >= HERD_START + HERD_TIME),
        });
        let start = ClockMillis::from_millis(1000);
        let rate = |from: Duration, until: Duration| {
            let ended = tally.ended.iter();
            let ended = ended.filter(|at| (start + from..start + until).contains(*at)).count();
            ended as f64 / until.saturating_sub(from).as_secs_f64()
        };
        let before = rate(Duration::from_secs(6), HERD_START);
        let herd = rate(HERD_START + CONTACT_TIME, HERD_START + 2 * HERD_TIME);
        let RoomCase { hosts, listed, load, .. } = *case;
        println!(
            "{hosts} hosts, {listed} slots, load {load}: {before:.1} a second, {herd:.1} in the herd"
        );
        assert!(herd >= MIN_SERVED_RATIO * before, "{herd:.1} of {before:.1} at {hosts} hosts");
    }
}

/// Guards against rejections that were under way before a reduction and cause another one.
#[test]
fn requests_that_are_rejected_together_reduce_the_room_once() {
    let now = ClockMillis::from_millis(1000);
    let mut room = OpenRoom::new(16, now);
    for (held, after_ms) in [(11, 0), (10, 5), (9, 40)] {
        room.record_rejection(held, now + Duration::from_millis(after_ms));
        assert_eq!(room.current(), 5, "after the rejection beside {held} requests");
    }
    room.record_rejection(4, now + Duration::from_millis(100));
    assert_eq!(room.current(), 4);
    room.raise(now + Duration::from_secs(2));
    assert_eq!(room.current(), 4, "raised too early");
    room.raise(now + Duration::from_secs(6));
    assert_eq!(room.current(), 5);
}

/// Guards against an engine that crashed and is filled before its first response.
#[test]
fn an_engine_that_was_brittle_is_limited_after_its_restart() {
    let engine: EngineName = Arc::from("e");
    let start = ClockMillis::from_millis(1000);
    let limit = Declared::Present(RequestLimit::open_only(4));
    let declaration = LimitDeclaration { limit, requested_at: start, absence_is_conclusive: true };
    let mut share = LimitShare::default();
    share.receive_declaration(&engine, 1, declaration, start);
    share.retain(|_| None, start + Duration::from_secs(1));
    assert!(share.is_limited(&engine), "forgotten while it restarts");
    share.retain(|_| Some(2), start + Duration::from_secs(4));
    assert!(share.is_limited(&engine), "forgotten after its restart");
    // Its first response tells that it is not brittle any more.
    let sound = LimitDeclaration {
        limit: Declared::Absent,
        requested_at: start + Duration::from_secs(5),
        absence_is_conclusive: true,
    };
    let now = start + Duration::from_secs(6);
    assert!(share.receive_declaration(&engine, 2, sound, now));
    let mut ledger = LimitLedger::default();
    for report in &share.take_pending(now).reports {
        ledger.receive(report, now);
    }
    for report in ledger.take_changes(now) {
        share.receive(&report, now);
    }
    assert!(!share.is_limited(&engine), "limited after a response without the announcement");
}

/// Guards against an engine that is forgotten when it crashes long after it became brittle, since its
/// later responses declare nothing new.
#[test]
fn an_engine_that_crashes_late_in_its_brittleness_is_limited_after_its_restart() {
    let engine: EngineName = Arc::from("e");
    let limit = Declared::Present(RequestLimit::open_only(4));
    let (mut share, mut ledger) = (LimitShare::default(), LimitLedger::default());
    let at = |second: u64| ClockMillis::from_millis(1000 * second);
    for second in 1..30 {
        let declaration =
            LimitDeclaration { limit, requested_at: at(second), absence_is_conclusive: true };
        share.receive_declaration(&engine, 1, declaration, at(second));
        for report in &share.take_pending(at(second)).reports {
            ledger.receive(report, at(second));
        }
        share.retain(|_| Some(1), at(second));
        ledger.retain(|_| Some(1), at(second));
    }
    for (second, listed) in [(30, None), (33, Some(2)), (40, Some(2))] {
        share.retain(|_| listed, at(second));
        ledger.retain(|_| listed, at(second));
        assert!(share.is_limited(&engine), "forgotten by a host after {second} s");
        assert_eq!(ledger.snapshot(at(second)).len(), 1, "forgotten after {second} s");
    }
    let gone = at(40) + BRITTLE_RETENTION;
    share.retain(|_| None, gone);
    ledger.retain(|_| None, gone);
    assert!(!share.is_limited(&engine) && ledger.snapshot(gone).is_empty(), "never forgotten");
}

/// Guards against requests that all wait when an engine begins to be brittle.
#[test]
fn requests_need_no_permit_while_the_hosts_report_what_they_have_open() {
    let engine: EngineName = Arc::from("e");
    let start = ClockMillis::from_millis(1000);
    let limit = Declared::Present(RequestLimit::open_only(4));
    let declaration = LimitDeclaration { limit, requested_at: start, absence_is_conclusive: true };
    let (mut first, mut second) = (LimitShare::default(), LimitShare::default());
    let mut ledger = LimitLedger::default();
    first.receive_declaration(&engine, 1, declaration, start);
    let reported_at = start + Duration::from_millis(100);
    for report in &first.take_pending(start).reports {
        ledger.receive(report, reported_at);
    }
    for report in ledger.take_changes(reported_at) {
        second.receive(&report, reported_at);
    }
    let mut late = LimitShare::default();
    let joined_at = start + SETTLING_TIME * 2;
    for report in ledger.snapshot(joined_at) {
        late.receive(&report, joined_at);
    }
    let before = reported_at + SETTLING_TIME / 2;
    let status = |share: &mut LimitShare, now| share.limit_status(&engine, PermitUse::New, now);
    assert_eq!(status(&mut first, before), LimitStatus::Unlimited);
    assert_eq!(status(&mut second, before), LimitStatus::Unlimited);
    for share in [&mut first, &mut second, &mut late] {
        assert_eq!(status(share, joined_at), LimitStatus::Exhausted);
    }
}
