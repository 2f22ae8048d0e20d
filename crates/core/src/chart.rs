//! State charts: lifecycles defined in TOML and interpreted at run time.
//!
//! A chart declares its states, its events and, for each state, either a transition or an explicit
//! `ignore` for every event. Parsing validates it, so unknown names, dead ends and unreachable
//! states are found at startup.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

/// A state of a chart, as an index into its sorted states.
pub type StateIndex = u8;

/// An error in a chart definition.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ChartError {
    /// The definition is not TOML of the expected structure.
    #[error("chart is not valid TOML: {0}; compare it with the charts in crates/core/charts")]
    Syntax(String),
    /// A transition or `ignore` list names an undeclared event.
    #[error(
        "state `{state}` refers to unknown event `{event}`; add it to `events` or fix its spelling"
    )]
    UnknownEvent {
        /// The state that refers to it.
        state: String,
        /// The undeclared event.
        event: String,
    },
    /// A transition, `initial` or `final` names an undeclared state.
    #[error("state `{state}` refers to unknown state `{target}`; declare it or fix its spelling")]
    UnknownState {
        /// The state that refers to it.
        state: String,
        /// The undeclared state.
        target: String,
    },
    /// The state cannot be reached from the initial state.
    #[error(
        "state `{0}` cannot be reached from the initial state; remove it or add a transition to it"
    )]
    Unreachable(String),
    /// The state is not final and no event leads out of it.
    #[error("state `{0}` is a dead end; list it in `final` or add a transition")]
    DeadEnd(String),
    /// A state has neither a transition for an event nor ignores it.
    #[error(
        "state `{state}` does not handle event `{event}`; add a transition or list it in `ignore`"
    )]
    Unhandled {
        /// The state.
        state: String,
        /// The unhandled event.
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

/// A validated state chart.
#[derive(Debug, Clone)]
pub struct StateChart {
    initial: StateIndex,
    states: Vec<String>,
    events: Vec<String>,
    /// The target of `transitions[state][event]`; an ignored event leads back to the same state.
    transitions: Vec<Vec<StateIndex>>,
}

impl StateChart {
    /// Parses and validates a chart.
    ///
    /// # Errors
    /// Returns the first [`ChartError`] found.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let spec: ChartSpec =
            toml::from_str(text).map_err(|error| ChartError::Syntax(error.to_string()))?;
        check_names(&spec)?;
        check_reachability(&spec)?;
        Ok(compile(&spec))
    }

    /// Returns the initial state.
    pub const fn initial(&self) -> StateIndex {
        self.initial
    }

    /// Returns the state that `event` leads to from `state`.
    ///
    /// # Panics
    /// Panics if the chart has no such event. Callers pass fixed event names, and a test covers
    /// every state with every event.
    pub fn step(&self, state: StateIndex, event: &str) -> StateIndex {
        let event_index = self.events.iter().position(|known| known == event);
        let event_index = event_index.unwrap_or_else(|| panic!("chart has no event `{event}`"));
        self.transitions[usize::from(state)][event_index]
    }

    /// Returns the name of a state.
    pub fn state_name(&self, state: StateIndex) -> &str {
        &self.states[usize::from(state)]
    }

    /// Returns the state with this name.
    pub fn state(&self, name: &str) -> Option<StateIndex> {
        let index = self.states.iter().position(|known| known == name)?;
        StateIndex::try_from(index).ok()
    }

    /// Returns the names of all states.
    pub fn states(&self) -> &[String] {
        &self.states
    }

    /// Returns the names of all events.
    pub fn events(&self) -> &[String] {
        &self.events
    }
}

fn check_names(spec: &ChartSpec) -> Result<(), ChartError> {
    for (name, state) in &spec.state {
        for event in state.on.keys().chain(&state.ignore) {
            if !spec.events.contains(event) {
                return Err(ChartError::UnknownEvent { state: name.clone(), event: event.clone() });
            }
        }
        for event in &spec.events {
            if !state.on.contains_key(event) && !state.ignore.contains(event) {
                return Err(ChartError::Unhandled { state: name.clone(), event: event.clone() });
            }
        }
        for target in state.on.values() {
            if !spec.state.contains_key(target) {
                let (state, target) = (name.clone(), target.clone());
                return Err(ChartError::UnknownState { state, target });
            }
        }
    }
    let named = spec.finals.iter().chain([&spec.initial]);
    for target in named {
        if !spec.state.contains_key(target) {
            let state = String::from("initial or final");
            return Err(ChartError::UnknownState { state, target: target.clone() });
        }
    }
    Ok(())
}

fn check_reachability(spec: &ChartSpec) -> Result<(), ChartError> {
    let mut reached = BTreeSet::from([spec.initial.as_str()]);
    let mut unvisited = vec![spec.initial.as_str()];
    while let Some(name) = unvisited.pop() {
        for target in spec.state[name].on.values() {
            if reached.insert(target) {
                unvisited.push(target);
            }
        }
    }
    for (name, state) in &spec.state {
        if !reached.contains(name.as_str()) {
            return Err(ChartError::Unreachable(name.clone()));
        }
        let leaves = state.on.values().any(|target| target != name);
        if !leaves && !spec.finals.contains(name) {
            return Err(ChartError::DeadEnd(name.clone()));
        }
    }
    Ok(())
}

fn compile(spec: &ChartSpec) -> StateChart {
    let states: Vec<String> = spec.state.keys().cloned().collect();
    let events: Vec<String> = spec.events.iter().cloned().collect();
    let index = |name: &str| -> StateIndex {
        let state_position = states.iter().position(|known| known == name).unwrap_or_default();
        StateIndex::try_from(state_position).unwrap_or(StateIndex::MAX)
    };
    let transitions = spec
        .state
        .iter()
        .map(|(name, state)| {
            let target = |event: &String| index(state.on.get(event).unwrap_or(name));
            events.iter().map(target).collect()
        })
        .collect();
    StateChart { initial: index(&spec.initial), transitions, states, events }
}

/// Declares the enums of a lifecycle's states and events, whose transitions an embedded chart
/// defines.
///
/// Loading the chart checks that it has the same states and events as the enums.
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
            /// The embedded chart definition.
            pub const CHART: &'static str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/charts/", $file));

            /// All states, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$state),+];

            /// Returns the validated chart, which is parsed once.
            ///
            /// # Panics
            /// Panics if the embedded chart is invalid or does not match the enums; a test loads
            /// every chart.
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

            /// Returns the initial state.
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
                let state = chart.state(self.name()).expect("chart has all states of the enum");
                Self::from_chart(chart.step(state, event.name()))
            }

            fn from_chart(state: $crate::chart::StateIndex) -> Self {
                match Self::chart().state_name(state) {
                    $($text => Self::$state,)+
                    other => panic!("{}: state `{other}` is not in the enum", $file),
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
