//! Replays the platform's log into the effective settings tree.
//!
//! Whether a publication is accepted depends only on the records before it, so that hosts which
//! have read the same prefix hold the same tree without further coordination.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    id::{LogOffset, Revision, StoreEra},
    settings::{
        ChangeRecord, ChangeRefusal, SettingsSnapshot, SettingsTree, SnapshotError,
        change::RECORD_FORMAT,
    },
};

/// Maximum payload bytes of the records retained for lagging peers. Peers that need older records
/// get a snapshot.
const MAX_RETAINED_BYTES: usize = 256 << 10;

/// Maximum number of verdicts retained for publishers to query.
const MAX_RETAINED_VERDICTS: usize = 512;

/// The result of validating one publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeVerdict {
    /// Offset of the publication in the log.
    pub offset: LogOffset,
    /// The publication's id; empty if the record could not be parsed.
    pub change_id: String,
    /// The operator who published it.
    pub author: String,
    /// The operator's description of the change.
    pub message: String,
    /// The resulting revision, or the reason for the refusal.
    pub result: Result<Revision, ChangeRefusal>,
}

/// The reason why a host stopped folding.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoldHalt {
    /// A record was written in a newer format.
    #[error(
        "record {offset} has format {format}, but this program supports only formats up to {RECORD_FORMAT}; update this host, which keeps serving revision {revision} until then"
    )]
    NewerFormat {
        /// Offset of the record.
        offset: LogOffset,
        /// Format of the record.
        format: u32,
        /// The revision at which folding stopped.
        revision: Revision,
    },
}

/// One record read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset within the stream.
    pub offset: LogOffset,
    /// Time at which the platform wrote the record, in milliseconds since the Unix epoch.
    pub written_millis: u64,
    /// The payload that was appended.
    pub payload: Vec<u8>,
}

/// The tree of an earlier era, kept in force after the log was restored from an older copy.
#[derive(Debug, Clone)]
struct CarriedTree {
    tree: SettingsTree,
    revision: Revision,
}

/// The settings state after replaying a prefix of the settings stream.
///
/// A log that is restored from an older copy has lost its last records and assigns their offsets
/// again. All hosts then replay it from the start, so that they converge. The earlier tree stays in
/// force until the restored log reaches its revision, so that an accepted change is not rolled back
/// while its operator publishes it again.
#[derive(Debug, Clone, Default)]
pub struct SettingsFold {
    era: StoreEra,
    /// The tree of an earlier era, in force until this era reaches its revision.
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
    /// Returns the effective tree.
    pub fn tree(&self) -> &SettingsTree {
        self.carried.as_ref().map_or(&self.tree, |carried| &carried.tree)
    }

    /// Returns the effective revision; zero before the first accepted publication.
    pub fn revision(&self) -> Revision {
        self.carried.as_ref().map_or(self.revision, |carried| carried.revision)
    }

    /// Returns the era of the log being folded.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Switches to `era` if it is later than the current one. Returns whether it was; the log must
    /// then be replayed from its start.
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

    /// Drops the tree of the earlier era once this era has reached its revision.
    fn drop_carried_tree_if_reached(&mut self) {
        self.carried.take_if(|carried| carried.revision <= self.revision);
    }

    /// Returns the offset of the next record to fold.
    pub const fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the reason why folding stopped, if it did.
    pub const fn halt(&self) -> Option<&FoldHalt> {
        self.halt.as_ref()
    }

    /// Iterates over the retained verdicts, oldest first.
    pub fn verdicts(&self) -> impl DoubleEndedIterator<Item = &ChangeVerdict> {
        self.verdicts.iter()
    }

    /// Folds one record if its offset is [`Self::next_offset`], and returns whether it did.
    ///
    /// Earlier records are skipped. A record after a gap is skipped too, so that a host that has
    /// fallen behind the log's retention asks for a snapshot.
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
            Err(RecordError::NewerFormat(_)) => {
                unreachable!("newer formats are handled by the caller")
            }
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

    /// Returns the retained records from `offset` on, or `None` if some are no longer retained.
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

    /// Takes a snapshot of the state after the records folded so far.
    pub fn snapshot(&self) -> SettingsSnapshot {
        SettingsSnapshot::new(&self.tree, self.revision, self.next_offset)
    }

    /// Installs a snapshot that is ahead of this fold, and returns whether it did.
    ///
    /// # Errors
    /// Returns an error if the snapshot is invalid.
    pub fn install_snapshot(&mut self, snapshot: SettingsSnapshot) -> Result<bool, SnapshotError> {
        let newer = snapshot.next_offset > self.next_offset;
        // A halted fold must not skip the record it halted at: the snapshot may hold newer formats.
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
