//! The tree of settings that operators publish.
//!
//! The tree has four levels: the site, its services, their organisations and their adapters. A node
//! inherits every value from its parent and overrides only what differs. Operators change it by
//! publications in the platform's log; [`fold`] turns a prefix of that log into the one tree that
//! every host agrees on.

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
