//! How many machines the system has, as far as this one knows.

/// The part of a fall that each word of a smaller number moves the count by.
const FALL_PART: u32 = 8;

/// Counts machines: a rise counts at once, a fall slowly, since budgets are shared by the count.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineCount {
    count: u32,
}

impl MachineCount {
    /// Takes how many machines a placer hears from.
    pub fn told(&mut self, count: u32) {
        let fall = self.count.saturating_sub(count).div_ceil(FALL_PART);
        self.count = count.max(self.count - fall);
    }

    /// Returns the count, at least one; `unknown` before anything was told.
    pub fn get(&self, unknown: u32) -> u32 {
        if self.count == 0 { unknown.max(1) } else { self.count }
    }
}
