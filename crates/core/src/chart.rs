//! State charts: life cycles written in TOML and interpreted at run time.
//!
//! A chart names its states, its events and, for each state, where each event leads. Reading one
//! checks it, so that a chart with a dead end or a misspelt event is found at start and not at the
//! moment it is needed. Every state must say what it does with every event: lead on or ignore it.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

/// A place in a chart, as an index into its sorted states.
pub type StateIndex = u8;

/// Why a chart file was refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not TOML of the expected shape.
    #[error(
        "chart is not valid TOML: {0}; compare it with the charts shipped in crates/core/charts"
    )]
    Syntax(String),
    /// A transition or list names an event that the chart does not declare.
    #[error(
        "state `{state}` names unknown event `{event}`; add it to `events` or mend its spelling"
    )]
    UnknownEvent {
        /// The state that names it.
        state: String,
        /// The event as written.
        event: String,
    },
    /// A transition leads to a state that the chart does not declare.
    #[error("state `{state}` leads to unknown state `{target}`; declare it or mend its spelling")]
    UnknownState {
        /// The state that names it.
        state: String,
        /// The target as written.
        target: String,
    },
    /// No path leads from the initial state to this one.
    #[error("state `{0}` can not be reached from the initial state; remove it or lead to it")]
    Unreachable(String),
    /// The state is not final, yet no event leads out of it.
    #[error("state `{0}` has no way out; list it in `final` or give it a transition")]
    DeadEnd(String),
    /// A state neither leads on nor ignores an event.
    #[error(
        "state `{state}` does not say what `{event}` does; add a transition or put it in `ignore`"
    )]
    Unhandled {
        /// The state.
        state: String,
        /// The event it is silent about.
        event: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartSpec {
    initial: String,
    #[serde(default, rename = "final")]
    finals: BTreeSet<String>,
    events: BTreeSet<String>,
    state: BTreeMap<String, StateSpec>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateSpec {
    #[serde(default)]
    on: BTreeMap<String, String>,
    #[serde(default)]
    ignore: BTreeSet<String>,
}

/// A checked state chart.
#[derive(Debug, Clone)]
pub struct StateChart {
    initial: StateIndex,
    states: Vec<String>,
    events: Vec<String>,
    /// `transitions[state][event]`, where an ignored event leads back to the state itself.
    transitions: Vec<Vec<StateIndex>>,
}

impl StateChart {
    /// Reads and checks a chart.
    ///
    /// # Errors
    /// Returns the first [`ChartError`] found.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartSpec =
            toml::from_str(text).map_err(|error| ChartError::Syntax(error.to_string()))?;
        check_names(&file)?;
        check_reachability(&file)?;
        Ok(compile(&file))
    }

    /// Returns the state in which a life begins.
    pub const fn initial(&self) -> StateIndex {
        self.initial
    }

    /// Returns the state that `event` leads to from `state`.
    ///
    /// # Panics
    /// Panics when the chart has no such event: the events are fixed by the code that calls it, and
    /// a test walks every state with every event.
    pub fn step(&self, state: StateIndex, event: &str) -> StateIndex {
        let event_index = self.events.iter().position(|known| known == event);
        let event_index = event_index.unwrap_or_else(|| panic!("chart has no event `{event}`"));
        self.transitions[usize::from(state)][event_index]
    }

    /// Returns the name of a state.
    pub fn state_name(&self, state: StateIndex) -> &str {
        &self.states[usize::from(state)]
    }

    /// Returns the state of that name.
    pub fn state(&self, name: &str) -> Option<StateIndex> {
        let index = self.states.iter().position(|known| known == name)?;
        StateIndex::try_from(index).ok()
    }

    /// Lists the names of all states.
    pub fn states(&self) -> &[String] {
        &self.states
    }

    /// Lists the names of all events.
    pub fn events(&self) -> &[String] {
        &self.events
    }
}

fn check_names(file: &ChartSpec) -> Result<(), ChartError> {
    for (name, state) in &file.state {
        for event in state.on.keys().chain(&state.ignore) {
            if !file.events.contains(event) {
                return Err(ChartError::UnknownEvent { state: name.clone(), event: event.clone() });
            }
        }
        for event in &file.events {
            if !state.on.contains_key(event) && !state.ignore.contains(event) {
                return Err(ChartError::Unhandled { state: name.clone(), event: event.clone() });
            }
        }
        for target in state.on.values() {
            if !file.state.contains_key(target) {
                let (state, target) = (name.clone(), target.clone());
                return Err(ChartError::UnknownState { state, target });
            }
        }
    }
    let named = file.finals.iter().chain([&file.initial]);
    for target in named {
        if !file.state.contains_key(target) {
            let state = String::from("initial or final");
            return Err(ChartError::UnknownState { state, target: target.clone() });
        }
    }
    Ok(())
}

fn check_reachability(file: &ChartSpec) -> Result<(), ChartError> {
    let mut reached = BTreeSet::from([file.initial.as_str()]);
    let mut unvisited = vec![file.initial.as_str()];
    while let Some(name) = unvisited.pop() {
        for target in file.state[name].on.values() {
            if reached.insert(target) {
                unvisited.push(target);
            }
        }
    }
    for (name, state) in &file.state {
        if !reached.contains(name.as_str()) {
            return Err(ChartError::Unreachable(name.clone()));
        }
        let leaves = state.on.values().any(|target| target != name);
        if !leaves && !file.finals.contains(name) {
            return Err(ChartError::DeadEnd(name.clone()));
        }
    }
    Ok(())
}

fn compile(file: &ChartSpec) -> StateChart {
    let states: Vec<String> = file.state.keys().cloned().collect();
    let events: Vec<String> = file.events.iter().cloned().collect();
    let index = |name: &str| -> StateIndex {
        let state_position = states.iter().position(|known| known == name).unwrap_or_default();
        StateIndex::try_from(state_position).unwrap_or(StateIndex::MAX)
    };
    let transitions = file
        .state
        .iter()
        .map(|(name, state)| {
            let target = |event: &String| index(state.on.get(event).unwrap_or(name));
            events.iter().map(target).collect()
        })
        .collect();
    StateChart { initial: index(&file.initial), transitions, states, events }
}

/// Declares a life cycle: an enum of states whose moves a shipped chart decides.
///
/// The enum lets the code match on states; the chart alone says which event leads where. Reading
/// the chart checks that both name the same states.
macro_rules! lifecycle {
    ($(#[$doc:meta])* $name:ident, $file:literal, { $($(#[$state_doc:meta])* $state:ident = $text:literal),+ $(,)? },
     $(#[$event_doc:meta])* $event:ident { $($(#[$variant_doc:meta])* $variant:ident = $event_text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$state_doc])* $state),+ }

        $(#[$event_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $event { $($(#[$variant_doc])* $variant),+ }

        impl $name {
            /// The chart as shipped.
            pub const CHART: &'static str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/charts/", $file));

            /// All states, in the order of the enum.
            pub const ALL: &'static [Self] = &[$(Self::$state),+];

            /// Returns the checked chart, read once.
            ///
            /// # Panics
            /// Panics when the shipped chart is broken or names other states or events than the
            /// code; a test reads every shipped chart.
            pub fn chart() -> &'static $crate::chart::StateChart {
                static CHART: std::sync::OnceLock<$crate::chart::StateChart> =
                    std::sync::OnceLock::new();
                CHART.get_or_init(|| {
                    let chart = $crate::chart::StateChart::parse($name::CHART)
                        .unwrap_or_else(|error| panic!("{}: {error}", $file));
                    assert_eq!(chart.states().len(), Self::ALL.len(), "{}: states", $file);
                    assert_eq!(chart.events().len(), [$($event_text),+].len(), "{}: events", $file);
                    chart
                })
            }

            /// Returns the state in which a life begins.
            pub fn initial() -> Self {
                Self::from_chart(Self::chart().initial())
            }

            /// Returns the state's name in the chart.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$state => $text),+ }
            }

            /// Returns the state that `event` leads to.
            #[must_use]
            pub fn after(self, event: $event) -> Self {
                let chart = Self::chart();
                let state = chart.state(self.name()).expect("chart has every state of the enum");
                Self::from_chart(chart.step(state, event.name()))
            }

            fn from_chart(state: $crate::chart::StateIndex) -> Self {
                match Self::chart().state_name(state) {
                    $($text => Self::$state,)+
                    other => panic!("{}: state `{other}` is not known to the code", $file),
                }
            }
        }

        impl $event {
            /// Returns the event's name in the chart.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $event_text),+ }
            }
        }
    };
}

pub(crate) use lifecycle;

mod lifecycles;
pub use lifecycles::*;
