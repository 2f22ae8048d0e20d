//! Faults as switches.

use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// What goes wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// It is refused before it takes effect.
    Refuse,
    /// It takes effect and then answers with an error that says nothing.
    LoseAnswer,
    /// It is late by that many milliseconds, before it takes effect.
    Delay(u64),
    /// It takes effect and its answer is late by that many milliseconds.
    DelayAnswer(u64),
}

/// A fault that tests switch on and off while the stand-in runs.
#[derive(Debug, Clone, Default)]
pub struct FaultSwitch {
    kind: Arc<Mutex<FaultKind>>,
}

impl FaultSwitch {
    /// Switches to another fault.
    pub fn set(&self, kind: FaultKind) {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner) = kind;
    }

    /// Returns the present fault.
    pub fn kind(&self) -> FaultKind {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `effect` under the present fault; `None` means that the caller gets an error.
    pub fn apply<T>(&self, effect: impl FnOnce() -> T) -> Option<T> {
        match self.kind() {
            FaultKind::None => Some(effect()),
            FaultKind::Refuse => None,
            FaultKind::LoseAnswer => {
                effect();
                None
            }
            FaultKind::Delay(millis) => {
                thread::sleep(Duration::from_millis(millis));
                Some(effect())
            }
            FaultKind::DelayAnswer(millis) => {
                let result = effect();
                thread::sleep(Duration::from_millis(millis));
                Some(result)
            }
        }
    }
}
