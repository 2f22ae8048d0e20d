//! The hierarchical settings that operators publish.
//!
//! The tree has four levels: site, service, organisation and adapter. A node inherits the values it
//! does not override from its parent. Operators change the tree by publishing records to the
//! platform's log. [`fold`] replays that log, so that hosts which have read the same prefix hold
//! the same tree.

pub mod change;
pub mod effective;
pub mod fold;
pub mod key;
pub mod snapshot;
pub mod source;
pub mod tree;

pub use change::{ChangeRecord, ChangeRefusal, EditAction, SettingsEdit};
pub use effective::{EffectiveSettings, SettingOrigin};
pub use fold::{ChangeVerdict, FoldHalt, SettingsFold};
pub use key::{SettingKey, SettingLevel, SettingValue};
pub use snapshot::{SettingsSnapshot, SnapshotError};
pub use source::{SourceError, read_tree};
pub use tree::{ModelError, SettingsNode, SettingsPath, SettingsTree};
