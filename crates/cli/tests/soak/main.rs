//! A short soak of real hosts, by seeds: those that ever failed, with what was wrong, and one more.
//!
//! The long ones are started by hand: `reelreel soak --seed N --seeds 50`.

use std::{path::PathBuf, time::Duration};

use reelreel_soak::run::{SoakOptions, default_directory, run_soak};

/// One soak that is played each time.
struct SoakCase {
    seed: u64,
    hosts: usize,
    /// For how long things happen, besides a calm in which all is to hold again. Unit: seconds.
    seconds: u64,
}

fn play(case: &SoakCase) {
    let options = SoakOptions {
        seed: case.seed,
        hosts: case.hosts,
        fault_period: Duration::from_secs(case.seconds),
        program: PathBuf::from(env!("CARGO_BIN_EXE_reelreeld")),
        directory: default_directory(),
    };
    let report = run_soak(&options).expect("hosts start");
    println!("{}", report.text(case.seed));
    assert!(report.violations.is_empty(), "{}", report.text(case.seed));
    // A soak in which nothing happens, or nobody is served, shows nothing.
    let (sent, served) = report.requests;
    assert!(report.faults.values().sum::<usize>() >= 10, "{:?}", report.faults);
    assert!(served * 3 >= sent && served >= 300, "{served} of {sent} are served");
}

#[test]
fn three_hosts_keep_their_promises_under_drawn_faults() {
    play(&SoakCase { seed: 11, hosts: 3, seconds: 25 });
}

#[test]
fn five_hosts_keep_their_promises_under_drawn_faults() {
    play(&SoakCase { seed: 12, hosts: 5, seconds: 25 });
}
