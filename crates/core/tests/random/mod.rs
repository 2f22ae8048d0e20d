//! Deterministic pseudo-random numbers for load simulations.

/// An xorshift generator, whose seed determines the whole sequence.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Returns a number in `[0, 1)`.
    pub(crate) fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
