//! Measures log size, memory and time per claim of an idempotency key.

use reelreel_core::{
    claim::{ClaimItem, ClaimRecord, ClaimTable},
    id::request_id,
    settings::fold::LogRecord,
};

use super::{CapacityTable, allocated_bytes, micros_per_item};

/// Claims in one append.
const CLAIMS_PER_APPEND: usize = 100;

/// How long a claimed key is retained.
const RETENTION_MS: u64 = 3_600_000;

pub(super) fn measure(table: &mut CapacityTable) {
    for count in [10_000, 100_000, 1_000_000] {
        let size = format!("{count} keys");
        let appends = count / CLAIMS_PER_APPEND;
        let records: Vec<LogRecord> = (0..appends).map(record).collect();
        let bytes: usize = records.iter().map(|record| record.payload.len()).sum();
        table.add(
            "claims: in the log, 100 to an append, per key",
            &size,
            bytes as f64 / count as f64,
            "bytes",
        );
        let before = allocated_bytes();
        let mut claim_table = ClaimTable::default();
        let (micros, ()) = micros_per_item(count, || {
            for record in &records {
                claim_table.apply(record, RETENTION_MS);
            }
        });
        let bytes_per_key = (allocated_bytes() - before) / count as f64;
        table.add("claims: fold, per key", &size, micros, "us");
        table.add("claims: memory, per key", &size, bytes_per_key, "bytes");
        assert_eq!(claim_table.len(), count, "all keys are retained");
    }
}

fn record(append: usize) -> LogRecord {
    let item = |index: usize| {
        let number = (append * CLAIMS_PER_APPEND + index) as u128;
        // Spreads keys like hashes, so that their hexadecimal form has its usual length.
        let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let counter = u32::try_from(number & 0xffff_ffff).unwrap_or_default();
        ClaimItem::new(key, request_id(9, 1_800_000_000_000, counter))
    };
    let claims = (0..CLAIMS_PER_APPEND).map(item).collect();
    let offset = append as u64;
    let payload = ClaimRecord::new(claims, Vec::new()).to_json();
    LogRecord { offset, written_millis: offset, payload }
}
