//! Detects engines whose loads are late while other engines' loads are not. Their loads say nothing
//! about the weight store's throughput.

use std::{collections::HashMap, sync::Arc};

use crate::fleet::EngineName;

/// Number of consecutive late loads above which an engine counts as slow.
const MAX_CONSECUTIVE_LATE: u32 = 2;

/// Fraction of late loads across all engines from which lateness is attributed to the weight store.
const MAX_LATE_FRACTION: f64 = 0.5;

/// Number of loads over which the fraction of late loads is averaged.
const LATE_FRACTION_WINDOW: f64 = 20.0;

/// Engines whose loads are late while other engines' loads are not.
#[derive(Debug, Clone, Default)]
pub(super) struct SlowEngines {
    /// Moving average of the fraction of late loads.
    late_fraction: f64,
    /// Number of consecutive late loads by engine.
    consecutive_late: HashMap<EngineName, u32>,
}

impl SlowEngines {
    /// Records whether a load was late.
    pub(super) fn record(&mut self, engine: &EngineName, late: bool) {
        if late {
            *self.consecutive_late.entry(Arc::clone(engine)).or_default() += 1;
        } else {
            self.consecutive_late.remove(engine);
        }
        self.late_fraction +=
            (f64::from(u8::from(late)) - self.late_fraction) / LATE_FRACTION_WINDOW;
    }

    /// Returns whether the engine's loads should be ignored when estimating the weight store's
    /// throughput.
    pub(super) fn is_slow(&self, engine: &EngineName) -> bool {
        let consecutive = self.consecutive_late.get(engine).copied().unwrap_or_default();
        consecutive > MAX_CONSECUTIVE_LATE && self.late_fraction < MAX_LATE_FRACTION
    }
}
