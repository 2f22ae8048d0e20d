//! When adapters that are loaded together are expected to be there.
//!
//! The weight store serves so many loads at full speed; beyond that all of them share it. So each
//! new load puts off the others, and each one that ends speeds them up. The model counts what is
//! left of each load at full speed, and projects when each will have none left.

use std::time::Duration;

use crate::{clock::ClockMillis, placement::inventory::PendingLoad};

/// Projects when each of `loads` ends, from what was left of them at `since`.
///
/// `full_speed` is how many loads the store serves without slowing any down. Sets what is left at
/// `now`, and when each is due.
pub(super) fn project(
    loads: &mut [&mut PendingLoad],
    full_speed: f64,
    since: ClockMillis,
    now: ClockMillis,
) {
    advance(loads, full_speed, now.since(since));
    let mut left: Vec<Duration> = loads.iter().map(|load| load.left).collect();
    left.sort_unstable();
    // The load with the least left ends first; until then all run at the same speed.
    let mut ends: Vec<(Duration, Duration)> = Vec::with_capacity(left.len());
    let (mut passed, mut done) = (Duration::ZERO, Duration::ZERO);
    for (place, work) in left.iter().enumerate() {
        let running = left.len() - place;
        passed += work.saturating_sub(done).mul_f64(slowdown(running, full_speed));
        done = *work;
        ends.push((*work, passed));
    }
    for load in loads.iter_mut().filter(|load| !load.left.is_zero()) {
        let end = ends.iter().find(|(work, _)| *work == load.left);
        if let Some((_, passed)) = end {
            load.due = now + *passed;
        }
    }
}

/// Takes off what was done of each load within `time`.
fn advance(loads: &mut [&mut PendingLoad], full_speed: f64, time: Duration) {
    let mut time = time;
    loop {
        let running = loads.iter().filter(|load| !load.left.is_zero());
        let Some(least) = running.clone().map(|load| load.left).min() else { return };
        let slowdown = slowdown(running.count(), full_speed);
        let until_end = least.mul_f64(slowdown);
        let step = time.min(until_end);
        let done = if step == until_end { least } else { step.div_f64(slowdown) };
        for load in loads.iter_mut() {
            load.left = load.left.saturating_sub(done);
        }
        time -= step;
        if time.is_zero() {
            return;
        }
    }
}

fn slowdown(running: usize, full_speed: f64) -> f64 {
    (running as f64 / full_speed.max(1.0)).max(1.0)
}
