//! Tests of configuration with real processes: concurrent publications, new hosts, expired and rolled-back logs.

use std::{process::Command, thread};

use serde_json::json;

use crate::{
    client::{Completion, stream},
    site::{HostOptions, Process, Site, host_status, wait_until},
};

const TREE: &str = include_str!("../../../../examples/dev.toml");

fn revision(host: &Process) -> u64 {
    host_status(host)["revision"].as_u64().unwrap_or(0)
}

#[test]
fn concurrent_publications_accept_exactly_one() {
    let site = Site::start();
    let trees: Vec<String> =
        (2..6).map(|worth| TREE.replace("worth = 2.0", &format!("worth = {worth}.5"))).collect();
    let verdicts: Vec<(bool, String)> = thread::scope(|scope| {
        let operators: Vec<_> =
            trees.iter().map(|tree| scope.spawn(|| site.publish(tree, &["--base", "1"]))).collect();
        operators.into_iter().map(|operator| operator.join().expect("operator thread")).collect()
    });
    let accepted = verdicts.iter().filter(|(accepted, _)| *accepted).count();
    assert_eq!(accepted, 1, "{verdicts:?}");
    for (_, text) in verdicts.iter().filter(|(accepted, _)| !accepted) {
        assert!(text.contains("refused") && text.contains("assist/north"), "{text}");
    }
    wait_until("revision 2 is in force everywhere", || {
        site.hosts.iter().all(|host| revision(host) == 2)
    });
}

#[test]
fn a_fresh_host_gets_its_configuration_from_a_peer_while_the_platform_is_away() {
    let site = Site::start();
    site.publish(&TREE.replace("worth = 2.0", "worth = 4.0"), &[]);
    wait_until("revision 2 is in force", || site.hosts.iter().all(|host| revision(host) == 2));
    // Nothing listens at this address, so the platform is unavailable to the new host.
    let options = HostOptions {
        seeds: site.hosts[0].address("peers").to_owned(),
        platform: Some(String::from("127.0.0.1:1")),
    };
    let new_host = site.start_host(9, 1, &options);
    site.wait_ready(&new_host);
    assert_eq!(revision(&new_host), 2);
    let answer = stream(new_host.address("callers"), &Completion::new("north/brakes", 5));
    assert!(answer.complete, "{answer:?}");
}

#[test]
fn suspended_or_restarted_host_gets_the_latest_configuration() {
    let mut site = Site::start();
    site.hosts[1].signal("STOP");
    site.publish(&TREE.replace("worth = 2.0", "worth = 4.0"), &[]);
    site.hosts[3].signal("KILL");
    site.hosts[3] = site.start_host(4, 2, &HostOptions::default());
    site.hosts[1].signal("CONT");
    for host in [0, 1, 2, 3] {
        wait_until("revision 2 is in force", || revision(&site.hosts[host]) == 2);
    }
}

/// Publishes `count` changes in sequence.
fn publish_changes(site: &Site, count: u64) {
    for number in 0..count {
        let worth = format!("worth = {}.5", number + 3);
        let host = site.hosts[0].address("operators");
        let tree = TREE.replace("worth = 2.0", &worth);
        let (accepted, text) = site.publish(&tree, &["--host", host]);
        assert!(accepted, "{text}");
    }
}

#[test]
fn host_starts_from_a_snapshot_after_records_expire() {
    let mut site = Site::start_with_log(40);
    publish_changes(&site, 66);
    wait_until("revision 67 is in force", || site.hosts.iter().all(|host| revision(host) == 67));
    let snapshots = || {
        let path = "/streams/snapshots/records?from=0";
        crate::site::get(site.platform.address("address"), path)["end"].as_u64().unwrap_or(0)
    };
    wait_until("a snapshot is in the log", || snapshots() > 0);
    // No peer is left, so a new host can start only from the snapshot in the log.
    site.hosts.clear();
    let new_host = site.start_host(1, 1, &HostOptions::default());
    site.wait_ready(&new_host);
    assert_eq!(revision(&new_host), 67);
}

#[test]
fn host_asks_peers_when_the_records_it_needs_have_expired() {
    let site = Site::start_with_log(4);
    publish_changes(&site, 9);
    let (accepted, _) = site.publish(TREE, &[]);
    assert!(
        !accepted,
        "publishing without --host must fail once the log's first records have expired"
    );
    wait_until("revision 10 is in force", || site.hosts.iter().all(|host| revision(host) == 10));
    let new_host = site.start_host(9, 2, &HostOptions::default());
    site.wait_ready(&new_host);
    wait_until("revision 10 is in force on the new host", || revision(&new_host) == 10);
}

/// The log loses the last two publications. The configuration in force must stay, and new publications
/// take effect only once their revision exceeds it.
#[test]
fn configuration_stays_in_force_after_the_log_rolls_back() {
    let site = Site::start();
    publish_changes(&site, 3);
    let in_force = || site.hosts.iter().map(revision).collect::<Vec<_>>();
    wait_until("revision 4 is in force", || in_force().iter().all(|revision| *revision == 4));
    site.roll_back_log(2);
    let publish = |worth: &str| site.publish(&TREE.replace("worth = 2.0", worth), &[]);
    for (worth, revision) in [("worth = 6.5", 4), ("worth = 7.5", 4), ("worth = 8.5", 5)] {
        let (accepted, text) = publish(worth);
        assert!(accepted, "{text}");
        wait_until("the expected revision is in force", || {
            in_force().iter().all(|applied| *applied == revision)
        });
    }
    let new_host = site.start_host(9, 2, &HostOptions::default());
    site.wait_ready(&new_host);
    wait_until("revision 5 is in force on the new host", || revision(&new_host) == 5);
}

#[test]
fn command_line_shows_settings_status_and_timeline() {
    let site = Site::start();
    let platform = site.platform.address("address");
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_reelreel")).args(arguments).output();
        let output = output.expect("reelreel starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text + &String::from_utf8_lossy(&output.stderr))
    };
    let shown = run(&["settings", "show", "--platform", platform, "assist/north/brakes"]);
    assert!(shown.1.contains("worth                   = 2.0  # from assist/north"), "{}", shown.1);
    let json_shown =
        run(&["settings", "show", "--platform", platform, "--output", "json", "assist/south"]);
    let rows: serde_json::Value = serde_json::from_str(&json_shown.1).expect("JSON");
    assert!(rows.as_array().is_some_and(|rows| rows.len() > 10));
    let missing = run(&["settings", "show", "--platform", platform, "assist/nort"]);
    assert!(missing.1.contains("did you mean `north`"), "{}", missing.1);
    let (accepted, text) = site.publish("wroth = 1\n", &[]);
    assert!(!accepted, "{text}");
    let operators = site.hosts[0].address("operators");
    let status = run(&["status", "--output", "json", operators]);
    let status: serde_json::Value = serde_json::from_str(&status.1).expect("JSON");
    assert_eq!(status[0]["ready"], json!(true));
    let events = run(&["timeline", operators, site.hosts[1].address("operators")]);
    assert!(events.1.contains("revision 1"), "{}", events.1);
    let shell = format!(
        "'{}' settings host-keys | head -n 1 && test \"${{PIPESTATUS[0]}}\" = 0",
        env!("CARGO_BIN_EXE_reelreel")
    );
    let piped = Command::new("bash").args(["-c", &shell]).output().expect("a shell");
    assert!(piped.status.success() && piped.stderr.is_empty(), "{piped:?}");
    let history = run(&["settings", "history", "--platform", platform]);
    assert!(history.1.contains("revision 1"), "{}", history.1);
}
