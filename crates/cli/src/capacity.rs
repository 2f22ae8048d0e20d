//! `reelreel capacity`: measures memory, message and CPU costs at several sizes.
//!
//! Times depend on this host, so compare only ratios between sizes; bytes and counts are exact. Each row
//! states its setup: the core alone, or several cores with fakes in simulated time.

mod claims;
mod decisions;
mod hosts;
mod tree;

use std::{alloc::System, fmt::Write, process::ExitCode, time::Instant};

use serde::Serialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::{options::CapacityOptions, output::print};

/// One measurement.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CapacityRow {
    /// What was measured and in which setup.
    what: String,
    /// Description of the varied size.
    size: String,
    /// Measured value.
    value: f64,
    /// Unit of the value.
    unit: &'static str,
}

/// Collects measurements.
#[derive(Debug, Default)]
pub(crate) struct CapacityTable {
    rows: Vec<CapacityRow>,
}

impl CapacityTable {
    fn add(&mut self, what: &str, size: impl Into<String>, value: f64, unit: &'static str) {
        self.rows.push(CapacityRow { what: what.to_owned(), size: size.into(), value, unit });
    }
}

/// Runs the selected measurements and prints the table.
pub(crate) fn run(options: &CapacityOptions) -> eyre::Result<ExitCode> {
    let mut table = CapacityTable::default();
    let selected =
        |part: &str| options.only.is_empty() || options.only.iter().any(|name| name == part);
    if selected("tree") {
        tree::measure(&mut table, options.quick)?;
    }
    if selected("claims") {
        claims::measure(&mut table);
    }
    if selected("decisions") {
        decisions::measure(&mut table, options.quick)?;
    }
    if selected("hosts") {
        hosts::measure(&mut table, options.quick)?;
    }
    if selected("losses") {
        hosts::measure_losses(&mut table, options.quick);
    }
    let rows = table.rows;
    print(options.output, &rows, || {
        let mut text = String::new();
        for row in &rows {
            let CapacityRow { what, size, value, unit } = row;
            let _infallible = writeln!(text, "{what:58} {size:34} {value:12.2} {unit}");
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Counts allocated bytes, which is more exact than the process's resident pages.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the number of bytes currently allocated.
fn allocated_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Runs `work` and returns its time per item in microseconds and its result.
fn micros_per_item<T>(count: usize, work: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let result = work();
    (started.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64, result)
}
