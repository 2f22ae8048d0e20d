//! State charts: all shipped charts handle every event in every state; invalid charts are rejected.

use reelreel_core::chart::{
    ChartError, ClaimEvent, ClaimState, DrainState, EngineState, FreshnessState, LinkState,
    LoadState, MemberState, PublicationState, RequestEvent, RequestState, ResidencyState,
    StateChart, TenureState,
};

fn shipped_charts() -> [(&'static str, &'static StateChart); 11] {
    [
        ("engine", EngineState::chart()),
        ("residency", ResidencyState::chart()),
        ("request", RequestState::chart()),
        ("load", LoadState::chart()),
        ("claim", ClaimState::chart()),
        ("member", MemberState::chart()),
        ("publication", PublicationState::chart()),
        ("drain", DrainState::chart()),
        ("tenure", TenureState::chart()),
        ("freshness", FreshnessState::chart()),
        ("links", LinkState::chart()),
    ]
}

#[test]
fn every_state_handles_every_event() {
    for (name, chart) in shipped_charts() {
        for state in chart.states() {
            let from = chart.state(state).expect("chart has the state");
            for event in chart.events() {
                let to = chart.step(from, event);
                assert!(chart.states().len() > usize::from(to), "{name}: {state} {event}");
            }
        }
    }
}

#[test]
fn enums_and_charts_name_the_same_states() {
    for state in EngineState::ALL {
        assert!(EngineState::chart().state(state.name()).is_some(), "{state:?}");
    }
    for state in RequestState::ALL {
        assert!(RequestState::chart().state(state.name()).is_some(), "{state:?}");
    }
    for state in ResidencyState::ALL {
        assert!(ResidencyState::chart().state(state.name()).is_some(), "{state:?}");
    }
}

/// Returns the names of all states reachable from a state, including itself.
fn reachable(chart: &StateChart, from: &str) -> Vec<String> {
    let mut found = vec![from.to_owned()];
    let mut next = 0;
    while next < found.len() {
        let state = chart.state(&found[next]).expect("chart has the state");
        for event in chart.events() {
            let name = chart.state_name(chart.step(state, event)).to_owned();
            if !found.contains(&name) {
                found.push(name);
            }
        }
        next += 1;
    }
    found
}

#[test]
fn no_path_leads_from_an_attempt_that_may_have_run_to_not_run() {
    for state in ["asking_again", "dispatched_again", "unknown", "answered"] {
        let after = reachable(RequestState::chart(), state);
        assert!(!after.contains(&String::from("not_run")), "{state} leads to {after:?}");
    }
}

#[test]
fn an_abandoned_claim_is_never_won() {
    let after = reachable(ClaimState::chart(), ClaimState::Abandoned.name());
    assert!(!after.contains(&String::from(ClaimState::Won.name())), "{after:?}");
    assert_eq!(ClaimState::Sent.after(ClaimEvent::SeenFirst), ClaimState::Won);
    assert_eq!(RequestState::Asking.after(RequestEvent::Permitted), RequestState::Dispatched);
}

struct InvalidChartCase {
    name: &'static str,
    text: &'static str,
    error: fn(&ChartError) -> bool,
}

const INVALID_CHARTS: &[InvalidChartCase] = &[
    InvalidChartCase {
        name: "invalid TOML",
        text: "initial = ",
        error: |error| matches!(error, ChartError::Syntax(_)),
    },
    InvalidChartCase {
        name: "unknown key",
        text: "initial = \"a\"\nevents = [\"go\"]\nfinale = []\n[state.a]\non = { go = \"a\" }\n",
        error: |error| matches!(error, ChartError::Syntax(_)),
    },
    InvalidChartCase {
        name: "unknown event",
        text: "initial = \"a\"\nfinal = [\"a\"]\nevents = [\"go\"]\n[state.a]\nignore = [\"go\", \"og\"]\n",
        error: |error| matches!(error, ChartError::UnknownEvent { event, .. } if event == "og"),
    },
    InvalidChartCase {
        name: "unhandled event",
        text: "initial = \"a\"\nfinal = [\"a\"]\nevents = [\"go\"]\n[state.a]\n",
        error: |error| matches!(error, ChartError::Unhandled { event, .. } if event == "go"),
    },
    InvalidChartCase {
        name: "unknown target",
        text: "initial = \"a\"\nevents = [\"go\"]\n[state.a]\non = { go = \"b\" }\n",
        error: |error| matches!(error, ChartError::UnknownState { target, .. } if target == "b"),
    },
    InvalidChartCase {
        name: "unknown initial state",
        text: "initial = \"z\"\nfinal = [\"a\"]\nevents = []\n[state.a]\n",
        error: |error| matches!(error, ChartError::UnknownState { target, .. } if target == "z"),
    },
    InvalidChartCase {
        name: "unreachable state",
        text: "initial = \"a\"\nfinal = [\"a\", \"b\"]\nevents = [\"go\"]\n[state.a]\nignore = [\"go\"]\n[state.b]\nignore = [\"go\"]\n",
        error: |error| matches!(error, ChartError::Unreachable(state) if state == "b"),
    },
    InvalidChartCase {
        name: "dead end",
        text: "initial = \"a\"\nevents = [\"go\"]\n[state.a]\nignore = [\"go\"]\n",
        error: |error| matches!(error, ChartError::DeadEnd(state) if state == "a"),
    },
];

#[test]
fn invalid_charts_are_rejected_with_the_location() {
    for case in INVALID_CHARTS {
        let error = StateChart::parse(case.text).expect_err(case.name);
        assert!((case.error)(&error), "{}: {error}", case.name);
        assert!(error.to_string().contains(';'), "{}: message names no remedy: {error}", case.name);
    }
}
