//! Faults that can be switched on and off.

use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A fault of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// No fault.
    #[default]
    None,
    /// The call is refused before it takes effect.
    Refuse,
    /// The call takes effect, but its answer is an error.
    LoseAnswer,
    /// The call takes effect after the given milliseconds.
    Delay(u64),
    /// The call takes effect and is answered after the given milliseconds.
    DelayAnswer(u64),
    /// The call takes effect, and its answer has no length and ends halfway with its connection.
    CutOpenAnswer,
}

/// A fault that can be changed while the stand-in runs; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FaultSwitch {
    kind: Arc<Mutex<FaultKind>>,
}

impl FaultSwitch {
    /// Sets the fault.
    pub fn set(&self, kind: FaultKind) {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner) = kind;
    }

    /// Returns the current fault.
    pub fn kind(&self) -> FaultKind {
        *self.kind.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `effect` subject to the current fault; returns `None` if the caller must get an error.
    pub fn apply<T>(&self, effect: impl FnOnce() -> T) -> Option<T> {
        match self.kind() {
            FaultKind::None | FaultKind::CutOpenAnswer => Some(effect()),
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
