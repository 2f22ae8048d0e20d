//! The fold that turns a prefix of the platform's log into the tree in force.
//!
//! Whether a publication is accepted depends on nothing but the records before it, so hosts that
//! have read the same prefix hold the same tree, without asking one another.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    id::{LogOffset, Revision, StoreEra},
    settings::{
        ChangeRecord, ChangeRefusal, SettingsSnapshot, SettingsTree, SnapshotError,
        change::RECORD_FORMAT,
    },
};

/// Bytes of records kept to pass on to peers that lag; what is older is passed on as a snapshot.
const MAX_RETAINED_BYTES: usize = 256 << 10;

/// How many verdicts are kept for publishers who look for theirs.
const MAX_RETAINED_VERDICTS: usize = 512;

/// What became of one publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeVerdict {
    /// Its place in the log.
    pub offset: LogOffset,
    /// The publication's id; empty when the record could not be read.
    pub change_id: String,
    /// Who published it.
    pub author: String,
    /// Why, in the operator's words.
    pub message: String,
    /// The revision it made, or why it was refused.
    pub result: Result<Revision, ChangeRefusal>,
}

/// Why a host stopped folding.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoldHalt {
    /// A record was written by a newer program.
    #[error(
        "record {offset} has format {format}, this program knows {RECORD_FORMAT}; update this host, until then it serves with revision {revision}"
    )]
    NewerFormat {
        /// The record's place.
        offset: LogOffset,
        /// Its format.
        format: u32,
        /// The revision this host stays at.
        revision: Revision,
    },
}

/// One record of the log, as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: LogOffset,
    /// When the platform wrote it, in milliseconds since the Unix epoch.
    pub written_millis: u64,
    /// What was appended.
    pub payload: Vec<u8>,
}

/// A tree that is in force although the log that it came from is gone.
#[derive(Debug, Clone)]
struct CarriedTree {
    tree: SettingsTree,
    revision: Revision,
}

/// The state after a prefix of the settings stream.
///
/// A log that comes back from an older copy has lost its last records, and its offsets are given out again. All hosts then fold it from
/// the start, so that they agree again. What they had in force goes on until the log has come as far: an accepted change
/// does not go back while its operator writes it again.
#[derive(Debug, Clone, Default)]
pub struct SettingsFold {
    era: StoreEra,
    /// What was in force in an earlier era of the log, until this one has come as far.
    carried: Option<CarriedTree>,
    tree: SettingsTree,
    revision: Revision,
    next_offset: LogOffset,
    halt: Option<FoldHalt>,
    records: VecDeque<LogRecord>,
    retained_bytes: usize,
    verdicts: VecDeque<ChangeVerdict>,
}

impl SettingsFold {
    /// Returns the tree in force.
    pub fn tree(&self) -> &SettingsTree {
        self.carried.as_ref().map_or(&self.tree, |carried| &carried.tree)
    }

    /// Returns the revision in force; zero before the first accepted publication.
    pub fn revision(&self) -> Revision {
        self.carried.as_ref().map_or(self.revision, |carried| carried.revision)
    }

    /// Returns the era of the log that is folded.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Takes that the log is in an era; returns whether that is a later one, from whose start everything is to be folded again.
    pub fn enter_era(&mut self, era: StoreEra) -> bool {
        if era <= self.era {
            return false;
        }
        let (tree, revision) = (self.tree().clone(), self.revision());
        let carried = (revision > 0).then_some(CarriedTree { tree, revision });
        *self =
            Self { era, carried, verdicts: std::mem::take(&mut self.verdicts), ..Self::default() };
        true
    }

    /// Ends an earlier era's tree once this one has come as far.
    fn drop_carried_tree_if_reached(&mut self) {
        self.carried.take_if(|carried| carried.revision <= self.revision);
    }

    /// Returns the offset of the first record not yet folded.
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns why folding stopped, if it did.
    pub const fn halt(&self) -> Option<&FoldHalt> {
        self.halt.as_ref()
    }

    /// Returns the last verdicts, oldest first.
    pub fn verdicts(&self) -> impl DoubleEndedIterator<Item = &ChangeVerdict> {
        self.verdicts.iter()
    }

    /// Folds one record; records before [`Self::next_offset`] are known and passed over.
    ///
    /// Returns whether the record was the next one. A gap changes nothing, so that a host that
    /// fell behind the log's retention notices and asks for a snapshot.
    pub fn fold(&mut self, record: LogRecord) -> bool {
        if record.offset != self.next_offset || self.halt.is_some() {
            return false;
        }
        let parsed = parse_record(&record.payload);
        if let Err(RecordError::NewerFormat(format)) = parsed {
            let (offset, revision) = (record.offset, self.revision);
            self.halt = Some(FoldHalt::NewerFormat { offset, format, revision });
            return false;
        }
        let verdict = self.validate_and_apply(record.offset, parsed);
        push_bounded(&mut self.verdicts, verdict, MAX_RETAINED_VERDICTS);
        self.retain(record);
        self.next_offset += 1;
        self.drop_carried_tree_if_reached();
        true
    }

    fn validate_and_apply(
        &mut self,
        offset: LogOffset,
        parsed: Result<ChangeRecord, RecordError>,
    ) -> ChangeVerdict {
        let record = match parsed {
            Ok(record) => record,
            Err(RecordError::Damaged(reason)) => {
                let result = Err(ChangeRefusal::Damaged { reason });
                let (change_id, author, message) = Default::default();
                return ChangeVerdict { offset, change_id, author, message, result };
            }
            Err(RecordError::NewerFormat(_)) => unreachable!("handled before judging"),
        };
        let result = self.tree.check_change(&record, self.revision).map(|()| {
            self.revision += 1;
            self.tree.apply_change(&record, self.revision);
            self.revision
        });
        let ChangeRecord { change_id, author, message, .. } = record;
        ChangeVerdict { offset, change_id, author, message, result }
    }

    fn retain(&mut self, record: LogRecord) {
        self.retained_bytes += record.payload.len();
        self.records.push_back(record);
        while self.retained_bytes > MAX_RETAINED_BYTES {
            let Some(oldest) = self.records.pop_front() else { break };
            self.retained_bytes -= oldest.payload.len();
        }
    }

    /// Returns the kept records from `offset` on, or `None` when they are kept no longer.
    pub fn records_from(&self, offset: LogOffset) -> Option<Vec<LogRecord>> {
        if offset >= self.next_offset {
            return Some(Vec::new());
        }
        let first = self.records.front()?.offset;
        if offset < first {
            return None;
        }
        Some(self.records.iter().filter(|record| record.offset >= offset).cloned().collect())
    }

    /// Writes down the state after the records folded so far.
    pub fn snapshot(&self) -> SettingsSnapshot {
        SettingsSnapshot::new(&self.tree, self.revision, self.next_offset)
    }

    /// Takes over a snapshot that is further than this fold; says whether it was.
    ///
    /// # Errors
    /// Returns why the snapshot can not be trusted.
    pub fn install_snapshot(&mut self, snapshot: SettingsSnapshot) -> Result<bool, SnapshotError> {
        let newer = snapshot.next_offset > self.next_offset;
        // A fold that is halted only knows a prefix; a snapshot from beyond may hold newer forms.
        if !newer || self.halt.is_some() || snapshot.revision < self.revision {
            return Ok(false);
        }
        let (revision, next_offset) = (snapshot.revision, snapshot.next_offset);
        self.tree = snapshot.into_tree()?;
        self.revision = revision;
        self.next_offset = next_offset;
        self.records.clear();
        self.retained_bytes = 0;
        self.drop_carried_tree_if_reached();
        Ok(true)
    }
}

enum RecordError {
    Damaged(String),

    NewerFormat(u32),
}

#[derive(Deserialize)]
struct RecordFormat {
    format: u32,
}

fn parse_record(payload: &[u8]) -> Result<ChangeRecord, RecordError> {
    let format: RecordFormat =
        serde_json::from_slice(payload).map_err(|error| RecordError::Damaged(error.to_string()))?;
    if format.format > RECORD_FORMAT {
        return Err(RecordError::NewerFormat(format.format));
    }
    serde_json::from_slice(payload).map_err(|error| RecordError::Damaged(error.to_string()))
}

fn push_bounded<T>(items: &mut VecDeque<T>, item: T, limit: usize) {
    if items.len() == limit {
        items.pop_front();
    }
    items.push_back(item);
}
