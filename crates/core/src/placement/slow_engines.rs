//! Engines that are late again and again while others are not: what they show is not the store's pace.

use std::{collections::HashMap, sync::Arc};

use crate::fleet::EngineName;

/// How many loads in a row an engine may have late before it counts as odd.
const MOST_LATE_IN_A_ROW: u32 = 2;

/// The part of all loads that may be late for an engine to count as odd; beyond that the store is slow.
const MOST_LATE_PART: f64 = 0.5;

/// Over how many loads the late ones are counted.
const LATE_PART_LOADS: f64 = 20.0;

/// Engines that are late again and again while others are not: what they show is not the store's pace.
#[derive(Debug, Clone, Default)]
pub(super) struct OddEngines {
    /// The part of the loads lately that were late.
    late_part: f64,
    /// How many loads in a row were late, by engine.
    in_a_row: HashMap<EngineName, u32>,
}

impl OddEngines {
    /// Takes whether a load was late.
    pub(super) fn note(&mut self, engine: &EngineName, late: bool) {
        if late {
            *self.in_a_row.entry(Arc::clone(engine)).or_default() += 1;
        } else {
            self.in_a_row.remove(engine);
        }
        self.late_part += (f64::from(u8::from(late)) - self.late_part) / LATE_PART_LOADS;
    }

    /// Returns whether what an engine shows is not the store's pace.
    pub(super) fn is_odd(&self, engine: &EngineName) -> bool {
        let in_a_row = self.in_a_row.get(engine).copied().unwrap_or_default();
        in_a_row > MOST_LATE_IN_A_ROW && self.late_part < MOST_LATE_PART
    }
}
