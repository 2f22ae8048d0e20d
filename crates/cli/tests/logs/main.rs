//! Tests `reelreel explain` and `reelreel losses` on log lines as hosts write them.

use std::{fs, path::PathBuf, process::Command};

/// A log file that is removed when the test ends.
struct LogFile {
    path: PathBuf,
}

impl LogFile {
    fn new(name: &str, lines: &[&str]) -> Self {
        let file = format!("reelreel-{}-{name}.log", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, lines.join("\n") + "\n").expect("a log file");
        Self { path }
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

fn reelreel(arguments: &[&str], log: &LogFile) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_reelreel"))
        .args(arguments)
        .arg(&log.path)
        .output()
        .expect("reelreel starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

struct CauseCase {
    name: &'static str,
    /// Fields of the log line of request `r1`, which ended at 10,000 ms.
    request: &'static str,
    /// Other lines in the same log.
    context: &'static [&'static str],
    cause: &'static str,
}

const CAUSE_CASES: &[CauseCase] = &[
    CauseCase {
        name: "late-reading",
        request: r#""outcome":"answered","late":true,"status":200,"engine":"e1","sends":1,"prompt":9000,"waited":200,"sent":210,"first":900,"pause":90,"total":2000"#,
        context: &[],
        cause: "served late, most of it spent at its engine",
    },
    CauseCase {
        name: "late-waiting",
        request: r#""outcome":"answered","late":true,"status":200,"engine":"e1","sends":1,"prompt":900,"waited":600,"sent":610,"first":700,"pause":90,"total":2000"#,
        context: &[],
        cause: "served late, most of it spent on its adapter",
    },
    CauseCase {
        name: "late-pause",
        request: r#""outcome":"answered","late":true,"status":200,"engine":"e1","sends":1,"prompt":900,"waited":0,"sent":1,"first":100,"pause":400,"total":2000"#,
        context: &[],
        cause: "served with a long pause in its stream",
    },
    CauseCase {
        name: "late-resent",
        request: r#""outcome":"answered","late":true,"status":200,"engine":"e1","sends":2,"prompt":900,"waited":0,"sent":700,"first":800,"pause":40,"total":2000"#,
        context: &[],
        cause: "served late, sent more than once",
    },
    CauseCase {
        name: "isolated",
        request: r#""outcome":"isolated","status":503,"sends":0,"waited":0,"first":0,"total":1"#,
        context: &[],
        cause: "its host was cut off from all engines",
    },
    CauseCase {
        name: "isolated-later",
        request: r#""outcome":"no_engine","status":503,"sends":0,"unconnected":3,"connect_failure":"timed_out","waited":0,"first":0,"total":244"#,
        context: &[
            r#"{"at":10100,"host":"one","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
        ],
        cause: "its host was cut off from all engines",
    },
    CauseCase {
        name: "isolated-elsewhere",
        request: r#""outcome":"no_engine","status":503,"sends":0,"unconnected":3,"connect_failure":"refused","waited":0,"first":0,"total":2"#,
        context: &[
            r#"{"at":9000,"host":"two","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
        ],
        cause: "no engine could be reached",
    },
    CauseCase {
        name: "isolated-before",
        request: r#""outcome":"engine_failed","status":502,"engine":"e1","sends":1,"waited":0,"first":0,"total":90"#,
        context: &[
            r#"{"at":7000,"host":"one","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
            r#"{"at":9000,"host":"one","event":"links","state":"connected","failed":0,"isolated_millis":2000}"#,
        ],
        cause: "its engine broke off and stayed listed",
    },
    CauseCase {
        name: "forwarded",
        request: r#""outcome":"engine_failed","status":502,"engine":"e1","sends":1,"tunnel":"10.1.0.4:7380","waited":0,"first":0,"total":90"#,
        context: &[
            r#"{"at":9000,"host":"one","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
        ],
        cause: "its engine broke off and stayed listed",
    },
    CauseCase {
        name: "limit-used",
        request: r#""outcome":"limit_used","status":503,"limited_by":"e1","sends":0,"waited":90,"first":0,"total":91"#,
        context: &[],
        cause: "its engines take only so many requests, and had named that limit",
    },
    CauseCase {
        name: "engines-cooling",
        request: r#""outcome":"engines_cooling","status":503,"engine":"e1","cooling_by":"e1","sends":1,"waited":0,"first":0,"total":2"#,
        context: &[],
        cause: "its engines had asked its host to send nothing for a while",
    },
    CauseCase {
        name: "held-back",
        request: r#""outcome":"held_back","status":503,"mark":"aa11","sends":0,"waited":0,"first":0,"total":1"#,
        context: &[],
        cause: "held back: engines ended while they ran it",
    },
    CauseCase {
        name: "held-back-for-itself",
        request: r#""outcome":"held_back","status":503,"mark":"aa11","parts":["0bad"],"held_by":"aa11","sends":0,"waited":0,"first":0,"total":1"#,
        context: &[],
        cause: "held back: engines ended while they ran it",
    },
    CauseCase {
        name: "held-back-for-a-part",
        request: r#""outcome":"held_back","status":503,"mark":"aa11","parts":["0bad"],"held_by":"0bad","sends":0,"waited":0,"first":0,"total":1"#,
        context: &[],
        cause: "held back: engines ended while they ran requests with a part of its prompt",
    },
    CauseCase {
        name: "ended-under-a-part",
        request: r#""outcome":"engine_failed","status":502,"mark":"aa11","parts":["0first","0bad"],"engine":"e1","sends":1,"waited":0,"first":0,"total":90"#,
        context: &[
            r#"{"at":10001,"host":"one","event":"engine_ended","engine":"e1","runs":1,"marks":["aa11"],"parts":[{"part":"0bad","waiting":1,"begun":0}]}"#,
            r#"{"at":11500,"host":"two","event":"request_held","mark":"0bad","kind":"prompt_part","ends":2,"millis":5000}"#,
        ],
        cause: "its engine ended under it, as others did",
    },
    CauseCase {
        name: "ended-beside-a-part",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","parts":["0first"],"engine":"e1","sends":1,"waited":0,"first":40,"total":900"#,
        context: &[
            r#"{"at":10001,"host":"two","event":"engine_ended","engine":"e1","runs":1,"marks":["aa11"],"parts":[{"part":"0bad","waiting":1,"begun":0}]}"#,
            r#"{"at":11500,"host":"two","event":"request_held","mark":"0bad","kind":"prompt_part","ends":2,"millis":5000}"#,
        ],
        cause: "its engine ended under another request that is held back since",
    },
    CauseCase {
        name: "ended-under",
        request: r#""outcome":"engine_failed","status":502,"mark":"aa11","engine":"e1","sends":1,"waited":0,"first":0,"total":90"#,
        context: &[
            r#"{"at":10001,"host":"one","event":"engine_ended","engine":"e1","runs":2,"marks":["aa11","bb22"]}"#,
            r#"{"at":11500,"host":"two","event":"request_held","mark":"aa11","ends":2,"millis":5000}"#,
        ],
        cause: "its engine ended under it, as others did",
    },
    CauseCase {
        name: "ended-beside",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","engine":"e1","sends":1,"waited":0,"first":40,"total":900"#,
        context: &[
            r#"{"at":10001,"host":"two","event":"engine_ended","engine":"e1","runs":1,"marks":["aa11"]}"#,
            r#"{"at":11500,"host":"two","event":"request_held","mark":"aa11","ends":2,"millis":5000}"#,
        ],
        cause: "its engine ended under another request that is held back since",
    },
    CauseCase {
        name: "not-resumed",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","engine":"e1","sends":1,"waited":0,"first":40,"body_end":"reset","not_resumed":"excluded","total":900"#,
        context: &[r#"{"at":10001,"host":"one","event":"engine_gone","engine":"e1"}"#],
        cause: "its stream broke off and was not resumed: only engines that could not take it again held its adapter",
    },
    CauseCase {
        name: "not-resumed-unknown",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","engine":"e1","sends":1,"waited":0,"first":40,"not_resumed":"later_rule","total":900"#,
        context: &[],
        cause: "its stream broke off and was not resumed: \"later_rule\", which this program does not know",
    },
    CauseCase {
        name: "not-resumable",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","engine":"e1","sends":1,"waited":0,"first":40,"not_resumed":"not_resumable","total":900"#,
        context: &[],
        cause: "its engine broke off and stayed listed",
    },
    CauseCase {
        name: "ended-for-nobody",
        request: r#""outcome":"stream_broken","status":200,"mark":"bb22","engine":"e1","sends":1,"waited":0,"first":40,"total":900"#,
        context: &[
            r#"{"at":10001,"host":"one","event":"engine_ended","engine":"e1","runs":1,"marks":["bb22"]}"#,
        ],
        cause: "its engine went away",
    },
    CauseCase {
        name: "loaded-late",
        request: r#""outcome":"adapter_absent","status":503,"key":"m/a1","sends":0,"waited":6,"first":0,"total":7"#,
        context: &[
            r#"{"at":11400,"host":"two","event":"order","engine":"e1","kind":"load","key":"m/a1","sequence":4,"token":8,"worth":4.1,"waiting":2,"answer":"Accepted","millis":3}"#,
        ],
        cause: "its adapter was loaded too late",
    },
    CauseCase {
        name: "order-lost",
        request: r#""outcome":"adapter_absent","status":503,"key":"m/a1","sends":0,"waited":130,"first":0,"total":130"#,
        context: &[
            r#"{"at":9950,"host":"two","event":"order","engine":"e1","kind":"load","key":"m/a1","sequence":4,"token":8,"worth":4.1,"waiting":2,"answer":"Unknown","millis":250}"#,
        ],
        cause: "the order to load its adapter got no answer",
    },
    CauseCase {
        name: "no-placer",
        request: r#""outcome":"adapter_absent","status":503,"key":"m/a1","sends":0,"waited":130,"first":0,"total":130"#,
        context: &[
            r#"{"at":1000,"host":"two","event":"lease","service":"s","state":"acting","token":8}"#,
            r#"{"at":4000,"host":"two","event":"lease","service":"s","state":"absent","token":8}"#,
        ],
        cause: "nobody held the placement lease",
    },
    CauseCase {
        name: "never-loaded",
        request: r#""outcome":"adapter_absent","status":503,"key":"m/a1","sends":0,"waited":130,"first":0,"total":130"#,
        context: &[
            r#"{"at":1000,"host":"two","event":"lease","service":"s","state":"acting","token":8}"#,
        ],
        cause: "its adapter was not loaded",
    },
    CauseCase {
        name: "queue-too-long",
        request: r#""outcome":"queue_too_long","status":503,"key":"m/a1","sends":0,"waited":0,"first":0,"total":1"#,
        context: &[],
        cause: "its engines had too much to read before it",
    },
    CauseCase {
        name: "engine-gone",
        request: r#""outcome":"engine_failed","status":502,"engine":"e1","sends":1,"waited":0,"first":0,"total":5"#,
        context: &[r#"{"at":12000,"host":"one","event":"engine_gone","engine":"e1"}"#],
        cause: "its engine went away",
    },
    CauseCase {
        name: "engine-stays",
        request: r#""outcome":"engine_failed","status":502,"engine":"e1","sends":1,"waited":0,"first":0,"total":5"#,
        context: &[r#"{"at":12000,"host":"one","event":"engine_gone","engine":"e2"}"#],
        cause: "its engine broke off and stayed listed",
    },
    CauseCase {
        name: "no-configuration",
        request: r#""outcome":"refused_early","status":503,"sends":0,"waited":0,"first":0,"total":0"#,
        context: &[],
        cause: "the host knew no configuration",
    },
    CauseCase {
        name: "service-full",
        request: r#""outcome":"service_full","status":503,"sends":0,"waited":0,"first":0,"total":0"#,
        context: &[],
        cause: "its plain service was asked for more than it carries",
    },
    CauseCase {
        name: "unknown-refusal",
        request: r#""outcome":"later_rule","status":503,"sends":0,"waited":0,"first":0,"total":0"#,
        context: &[],
        cause: "refused by a decision that this program does not know: later_rule",
    },
    CauseCase {
        name: "unknown-outcome",
        request: r#""outcome":"later_rule","status":200,"sends":1,"waited":0,"first":4,"total":9"#,
        context: &[],
        cause: "an outcome that this program does not know: later_rule",
    },
    CauseCase {
        name: "left-queued",
        request: r#""outcome":"client_gone","status":0,"engine":"e1","sends":1,"waited":0,"first":0,"total":3200"#,
        context: &[],
        cause: "its client left before the engine's first byte",
    },
];

#[test]
fn explain_names_the_cause_of_a_failed_request() {
    for case in CAUSE_CASES {
        let revision = if case.name == "no-configuration" { 0 } else { 3 };
        let request = format!(
            r#"  7.1 one {{"at":10000,"host":"one","event":"request","id":"r1","route":"r",{},"revision":{revision}}}"#,
            case.request
        );
        let mut lines = vec![request.as_str(), "no event at all"];
        lines.extend(case.context);
        let log = LogFile::new(case.name, &lines);
        let (success, text) = reelreel(&["explain", "r1"], &log);
        assert!(success, "{}: {text}", case.name);
        assert!(text.contains(&format!("Cause: {}\n", case.cause)), "{}: {text}", case.name);
        let (success, text) = reelreel(&["losses"], &log);
        assert!(success && text.contains(case.cause), "{}: {text}", case.name);
        assert!(text.contains("1 lines are not host events"), "{}: {text}", case.name);
    }
}

#[test]
fn explain_tells_since_when_a_host_was_cut_off_and_who_forwarded() {
    let log = LogFile::new(
        "forwarded-by",
        &[
            r#"{"at":8000,"host":"two","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
            r#"{"at":9000,"host":"one","event":"links","state":"isolated","failed":4,"connect_failure":"timed_out"}"#,
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"engine_error","status":500,"engine":"e1","sends":1,"tunnel":"10.1.0.4:7380","waited":0,"first":9,"total":90,"revision":3}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    let links = "  links     isolated 1000 ms before its end, last sent through 10.1.0.4:7380; \
                 1 other hosts were isolated too\n";
    assert!(text.contains(links), "{text}");
}

/// Guards against crashes that look unrelated, since no two requests that cause them are alike.
#[test]
fn explain_shows_the_prompt_part_that_interrupted_runs_have_in_common() {
    let log = LogFile::new(
        "common-part",
        &[
            r#"{"at":6000,"host":"one","event":"engine_ended","engine":"e0","runs":1,"marks":["cc33"],"parts":[{"part":"0bad","waiting":1,"begun":0},{"part":"0first","waiting":1,"begun":0}]}"#,
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"engine_failed","status":502,"mark":"aa11","parts":["0first","0bad"],"engine":"e1","sends":1,"waited":0,"first":0,"total":90,"revision":3}"#,
            r#"{"at":10001,"host":"one","event":"engine_ended","engine":"e1","runs":2,"begun":1,"marks":["aa11","bb22"],"parts":[{"part":"0bad","waiting":1,"begun":0},{"part":"0first","waiting":1,"begun":1}]}"#,
            r#"{"at":10002,"host":"two","event":"engine_ended","engine":"e1","runs":3,"begun":1,"marks":["dd44"],"parts":[{"part":"0first","waiting":2,"begun":1},{"part":"0other","waiting":1,"begun":0}]}"#,
            r#"{"at":10500,"host":"two","event":"engine_ended","engine":"e2","runs":1,"marks":["ee55"]}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    assert!(text.contains("  parts     0first 0bad\n"), "{text}");
    let ended = "  ended     e1 with 5 runs of 2 hosts, 2 with an event; prompt parts of the others:\n            \
                 0bad in 1 of them and 0 with an event, at 2 of 3 engines that ended\n            \
                 0first in 3 of them and 2 with an event, at 2 of 3 engines that ended\n            \
                 0other in 1 of them and 0 with an event, at 1 of 3 engines that ended\n";
    assert!(text.contains(ended), "{text}");
}

struct DecisionCase {
    name: &'static str,
    /// Fields of the request's log line.
    request: &'static str,
    /// The decision that is named, or `None` if the request was not refused.
    decision: Option<&'static str>,
    inputs: &'static str,
}

const DECISION_CASES: &[DecisionCase] = &[
    DecisionCase {
        name: "cold-start",
        request: r#""outcome":"adapter_absent","status":503,"key":"m/a1","prompt":90,"sends":0,"waited":130,"retry_after":420,"first":0,"total":130"#,
        decision: Some(
            "cold start: no engine held the adapter, and its load was not due in time; it has not run",
        ),
        inputs: "key m/a1, prompt 90 tokens, retry_after 420 ms, sends 0, waited 130 ms",
    },
    DecisionCase {
        name: "cold-start-after-run",
        request: r#""outcome":"adapter_absent","status":502,"engine":"e1","sends":1,"waited":130,"first":0,"total":130"#,
        decision: Some(
            "cold start: no engine held the adapter, and its load was not due in time; it may have run",
        ),
        inputs: "engine e1, sends 1, waited 130 ms",
    },
    DecisionCase {
        name: "priority",
        request: r#""outcome":"priority_level","status":503,"organisation":"north","level":1,"priority":2,"sends":0,"waited":0,"first":0,"total":0"#,
        decision: Some(
            "priority admission: capacity was short, and only more urgent requests were admitted; it has not run",
        ),
        inputs: "level 1, organisation north, priority 2, sends 0, waited 0 ms",
    },
    DecisionCase {
        name: "fair-share",
        request: r#""outcome":"fair_share","status":429,"organisation":"north","share":0.25,"sends":0,"waited":0,"first":0,"total":0"#,
        decision: Some(
            "fair share: capacity was short, and the organisation used more than its fair share; it has not run",
        ),
        inputs: "organisation north, sends 0, share 0.25, waited 0 ms",
    },
    DecisionCase {
        name: "plain-service",
        request: r#""outcome":"service_full","status":503,"sends":0,"waited":0,"retry_after":150,"first":0,"total":0"#,
        decision: Some(
            "admission to plain services: the plain service was asked for more than it carries; it has not run",
        ),
        inputs: "retry_after 150 ms, sends 0, waited 0 ms",
    },
    DecisionCase {
        name: "no-route",
        request: r#""outcome":"refused_early","status":404,"sends":0,"waited":0,"first":0,"total":0"#,
        decision: Some("routing: no route of the configuration matches; it has not run"),
        inputs: "sends 0, waited 0 ms",
    },
    DecisionCase {
        name: "unknown-decision",
        request: r#""outcome":"later_rule","status":503,"threshold":{"delay":90},"sends":0,"waited":0,"first":0,"total":0"#,
        decision: Some("\"later_rule\", which this program does not know; it has not run"),
        inputs: r#"sends 0, threshold {"delay":90}, waited 0 ms"#,
    },
    DecisionCase {
        name: "time-over-at-engine",
        request: r#""outcome":"time_over","status":504,"engine":"e1","sends":1,"waited":0,"first":0,"total":4120"#,
        decision: None,
        inputs: "",
    },
    DecisionCase {
        name: "answered",
        request: r#""outcome":"answered","status":200,"engine":"e1","sends":1,"waited":0,"first":9,"total":20"#,
        decision: None,
        inputs: "",
    },
];

/// Guards against refusals without a named decision, and against losing fields of later versions.
#[test]
fn explain_names_the_decision_that_refused_a_request_and_its_inputs() {
    for case in DECISION_CASES {
        let request = format!(
            r#"{{"at":10000,"host":"one","event":"request","id":"r1","route":"r",{},"revision":3}}"#,
            case.request
        );
        let log = LogFile::new(&format!("decision-{}", case.name), &[&request]);
        let (success, text) = reelreel(&["explain", "r1"], &log);
        assert!(success, "{}: {text}", case.name);
        let expected = case
            .decision
            .map(|decision| format!("  refused   by {decision}\n  inputs    {}\n", case.inputs));
        match expected {
            Some(expected) => assert!(text.contains(&expected), "{}: {text}", case.name),
            None => assert!(!text.contains("  refused "), "{}: {text}", case.name),
        }
    }
}

#[test]
fn explain_shows_only_relevant_lines_in_time_order() {
    let log = LogFile::new(
        "around",
        &[
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"adapter_absent","status":503,"key":"m/a1","sends":0,"waited":6,"first":0,"total":7,"revision":3}"#,
            r#"{"at":9000,"host":"one","event":"store_lost","what":"engines"}"#,
            r#"{"at":9100,"host":"three","event":"store_lost","what":"engines"}"#,
            r#"{"at":9200,"host":"two","event":"order","engine":"e1","kind":"load","key":"m/a2","sequence":4,"token":8,"worth":4.1,"waiting":2,"answer":"Accepted","millis":3}"#,
            r#"{"at":10500,"host":"two","event":"order","engine":"e1","kind":"load","key":"m/a1","sequence":4,"token":8,"worth":4.1,"waiting":2,"answer":"Accepted","millis":3}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    let lost = text.find("store_lost").expect("the host's own line");
    let order = text.find("m/a1\",\"sequence").expect("the order for its adapter");
    assert!(lost < order, "{text}");
    assert!(!text.contains("m/a2") && !text.contains("three"), "{text}");
}

/// Guards against failing on lines of earlier versions, which name the host `machine` and lack the store's era.
#[test]
fn explain_reports_where_the_configuration_was_read() {
    let log = LogFile::new(
        "read",
        &[
            r#"{"at":2000,"machine":"one","event":"configuration_in_force","revision":2}"#,
            r#"{"at":9000,"host":"two","event":"configuration_in_force","revision":3,"era":4,"offset":7}"#,
            r#"{"at":9600,"host":"one","event":"configuration_in_force","revision":3,"era":5,"offset":6}"#,
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"adapter_absent","status":503,"sends":0,"waited":6,"first":0,"total":100,"revision":3}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    let read = "its configuration at offset 6 of the store's era 5, 300 ms before";
    assert!(text.contains(read), "{text}");
}

#[test]
fn explain_reports_the_limit_its_age_and_the_permit_issuer() {
    let log = LogFile::new(
        "limit",
        &[
            r#"{"at":5000,"host":"two","event":"lease","service":"s","state":"acting","token":3}"#,
            r#"{"at":8400,"host":"one","event":"engine_limited","engine":"e1","born":1,"limit":1.7}"#,
            r#"{"at":8500,"host":"one","event":"engine_limited","engine":"e2","born":1,"limit":9.0}"#,
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"limit_used","status":503,"limited_by":"e1","sends":0,"waited":90,"first":0,"total":100,"revision":3}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    let limit =
        "e1 takes 1.7 requests a second, as logged 1500 ms before; permits were issued by two";
    assert!(text.contains(limit), "{text}");
    assert!(!text.contains("\"e2\""), "{text}");
}

#[test]
fn explain_reports_the_cooldown_length_and_age() {
    let log = LogFile::new(
        "cooldown",
        &[
            r#"{"at":8400,"host":"two","event":"cooldown_began","engine":"e1","born":1,"millis":900}"#,
            r#"{"at":8500,"host":"one","event":"cooldown_began","engine":"e1","born":1,"millis":3000}"#,
            r#"{"at":9000,"host":"one","event":"departure_learned","engine":"e2","born":1,"source":"peer","age":2}"#,
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"engines_cooling","status":503,"cooling_by":"e1","sends":0,"waited":0,"first":0,"total":1,"revision":3}"#,
        ],
    );
    let (success, text) = reelreel(&["explain", "r1"], &log);
    assert!(success, "{text}");
    let cooldown = "e1 had first requested a cooldown of 3000 ms 1500 ms before its end";
    assert!(text.contains(cooldown), "{text}");
    assert!(!text.contains("\"e2\""), "{text}");
}

#[test]
fn explain_fails_for_a_request_without_log_lines() {
    let log = LogFile::new("none", &[r#"{"at":1,"host":"one","event":"stopping","open":0}"#]);
    let (success, text) = reelreel(&["explain", "r9"], &log);
    assert!(!success);
    assert!(text.contains("no log line mentions request r9"), "{text}");
}

#[test]
fn losses_json_scales_up_sampled_served_requests() {
    let log = LogFile::new(
        "json",
        &[
            r#"{"at":10000,"host":"one","event":"request","id":"r1","route":"r","outcome":"answered","status":200,"engine":"e","sends":1,"waited":0,"first":9,"total":20,"revision":3}"#,
            r#"{"at":10001,"host":"one","event":"request","id":"r2","route":"r","outcome":"time_over","status":504,"engine":"e","sends":1,"waited":0,"first":0,"total":800,"revision":3}"#,
        ],
    );
    let (success, text) = reelreel(&["losses", "--output", "json"], &log);
    assert!(success, "{text}");
    let table: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(table["causes"][0]["requests"], 16);
    assert_eq!(table["causes"][1]["requests"], 1);
    assert_eq!(table["spans"][0]["lost"], 1);
}
