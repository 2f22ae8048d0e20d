//! Engines that are late again and again while others are not: what they show is not the store's pace.

use std::{collections::HashMap, sync::Arc};

use crate::fleet::EngineName;

/// How many loads in a row an engine may have late before it counts as odd.
const MAX_CONSECUTIVE_LATE: u32 = 2;

/// The part of all loads that may be late for an engine to count as odd; beyond that the store is slow.
const MAX_LATE_FRACTION: f64 = 0.5;

/// Over how many loads the late ones are counted.
const LATE_FRACTION_WINDOW: f64 = 20.0;

/// Engines that are late again and again while others are not: what they show is not the store's pace.
#[derive(Debug, Clone, Default)]
pub(super) struct SlowEngines {
    /// The part of the loads lately that were late.
    late_fraction: f64,
    /// How many loads in a row were late, by engine.
    consecutive_late: HashMap<EngineName, u32>,
}

impl SlowEngines {
    /// Takes whether a load was late.
    pub(super) fn record(&mut self, engine: &EngineName, late: bool) {
        if late {
            *self.consecutive_late.entry(Arc::clone(engine)).or_default() += 1;
        } else {
            self.consecutive_late.remove(engine);
        }
        self.late_fraction +=
            (f64::from(u8::from(late)) - self.late_fraction) / LATE_FRACTION_WINDOW;
    }

    /// Returns whether what an engine shows is not the store's pace.
    pub(super) fn is_slow(&self, engine: &EngineName) -> bool {
        let consecutive = self.consecutive_late.get(engine).copied().unwrap_or_default();
        consecutive > MAX_CONSECUTIVE_LATE && self.late_fraction < MAX_LATE_FRACTION
    }
}
