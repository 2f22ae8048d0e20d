//! A fake log with the behaviour that the core observes.

use std::collections::BTreeMap;

use reelreel_core::{id::StoreEra, node::LogStream, settings::fold::LogRecord};

/// A fake log of streams whose records have offsets.
#[derive(Debug, Default)]
pub struct FakeLog {
    streams: BTreeMap<LogStream, Vec<LogRecord>>,
    /// The first offset that has not expired, by stream.
    first: BTreeMap<LogStream, u64>,
    /// How often the log has been restored from an older copy.
    pub era: StoreEra,
}

impl FakeLog {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: LogStream, payload: Vec<u8>, written_millis: u64) -> u64 {
        let records = self.streams.entry(stream).or_default();
        let offset = records.len() as u64;
        records.push(LogRecord { offset, written_millis, payload });
        offset
    }

    /// Returns the first offset of a stream that has not expired.
    pub fn first(&self, stream: LogStream) -> u64 {
        self.first.get(&stream).copied().unwrap_or(0)
    }

    /// Returns the retained records from an offset on and the end of the stream.
    pub fn read(&self, stream: LogStream, from: u64) -> (Vec<LogRecord>, u64) {
        let records = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let first = self.first(stream);
        let from = usize::try_from(from.max(first)).unwrap_or(usize::MAX);
        let end = records.len() as u64;
        (records.iter().skip(from).cloned().collect(), end)
    }

    /// Restores the log from a copy made at `copied_millis`. Returns the lost payloads of the
    /// settings stream.
    pub fn restore_older_copy(&mut self, copied_millis: u64) -> Vec<Vec<u8>> {
        self.era += 1;
        let mut lost = Vec::new();
        for (stream, records) in &mut self.streams {
            let retained_count =
                records.partition_point(|record| record.written_millis <= copied_millis);
            let removed = records.split_off(retained_count);
            if *stream == LogStream::Settings {
                lost = removed.into_iter().map(|record| record.payload).collect();
            }
        }
        for (stream, first) in &mut self.first {
            *first = (*first).min(self.streams.get(stream).map_or(0, Vec::len) as u64);
        }
        lost
    }

    /// Expires all but the last `retained` records of a stream.
    pub fn expire(&mut self, stream: LogStream, retained: u64) {
        let end = self.streams.get(&stream).map_or(0, Vec::len) as u64;
        self.first.insert(stream, end.saturating_sub(retained));
    }
}
