//! Publications: records of edits, and the validation that accepts or refuses them.

use serde::{Deserialize, Serialize};

use crate::{
    id::Revision,
    settings::{SettingKey, SettingLevel, SettingValue, SettingsNode, SettingsPath, SettingsTree},
};

/// The newest [`ChangeRecord`] format that this program supports, and the one it writes.
pub const RECORD_FORMAT: u32 = 1;

/// The operation that an edit performs at its path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EditAction {
    /// Creates the node if it does not exist.
    Create,
    /// Sets a value, and creates the node if it does not exist.
    Set(SettingKey, SettingValue),
    /// Removes a value, so that the node inherits it from its parent.
    Unset(SettingKey),
    /// Removes the node and all its descendants.
    Remove,
}

/// One edit of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsEdit {
    /// Path of the node to edit.
    pub path: SettingsPath,
    /// The operation to perform.
    pub action: EditAction,
}

/// One publication, as stored in the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Format version. A host stops folding at a record with a higher version than it supports.
    pub format: u32,
    /// Identifies the publication, so that its publisher finds it after a lost append response.
    pub change_id: String,
    /// The revision that the edits are based on.
    pub base_revision: Revision,
    /// The operator who published it.
    pub author: String,
    /// The operator's description of the change.
    #[serde(default)]
    pub message: String,
    /// The edits, applied atomically.
    pub edits: Vec<SettingsEdit>,
}

/// The reason why a publication was refused. Depends only on the log's prefix, so that it is the
/// same on every host.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ChangeRefusal {
    /// Another publication changed the same node after the base revision.
    #[error(
        "`{path}` was changed at revision {revision}, after the base revision {base}; review that change with `reelreel settings history`, then publish again"
    )]
    Conflict {
        /// Path of the edit.
        path: String,
        /// Revision of the conflicting change.
        revision: Revision,
        /// Base revision of the refused publication.
        base: Revision,
    },
    /// The base revision is higher than the revision of the log.
    #[error(
        "base revision {base} is ahead of the log, which is at revision {revision}; check that you are publishing to the right site"
    )]
    BaseAhead {
        /// Base revision of the refused publication.
        base: Revision,
        /// Revision of the log.
        revision: Revision,
    },
    /// An edit is invalid for its node.
    #[error("`{path}`: {reason}")]
    Invalid {
        /// Path of the edit.
        path: String,
        /// The error and how to fix it.
        reason: String,
    },
    /// The record cannot be parsed.
    #[error("the record cannot be parsed ({reason}); publish the change again")]
    Damaged {
        /// The parser's error message.
        reason: String,
    },
}

impl SettingsTree {
    /// Validates a publication against this tree, which is at `revision`.
    ///
    /// # Errors
    /// Returns the reason for the first edit that must be refused.
    pub fn check_change(
        &self,
        record: &ChangeRecord,
        revision: Revision,
    ) -> Result<(), ChangeRefusal> {
        if record.base_revision > revision {
            return Err(ChangeRefusal::BaseAhead { base: record.base_revision, revision });
        }
        for edit in &record.edits {
            self.check_conflict(edit, record.base_revision)?;
            validate_edit(edit)?;
        }
        Ok(())
    }

    fn check_conflict(&self, edit: &SettingsEdit, base: Revision) -> Result<(), ChangeRefusal> {
        let conflict =
            |revision| ChangeRefusal::Conflict { path: edit.path.to_string(), revision, base };
        let path_nodes = self.nodes_along(&edit.path);
        let deepest = path_nodes[path_nodes.len() - 1];
        let exists = path_nodes.len() == edit.path.segments().len() + 1;
        // A missing node may have been removed by a publication after the base revision.
        let changed = match (exists, &edit.action) {
            (false, _) => deepest.removed_at,
            (true, EditAction::Remove) => deepest.last_modified(),
            (true, _) => deepest.changed_at,
        };
        if changed > base { Err(conflict(changed)) } else { Ok(()) }
    }

    /// Applies the edits of an accepted publication.
    pub fn apply_change(&mut self, record: &ChangeRecord, revision: Revision) {
        for edit in &record.edits {
            if edit.action == EditAction::Remove {
                self.remove(&edit.path, revision);
                continue;
            }
            let node = self.get_or_create(&edit.path, revision);
            match &edit.action {
                EditAction::Set(key, value) => node.set_value(*key, Some(value.clone())),
                EditAction::Unset(key) => node.set_value(*key, None),
                EditAction::Create | EditAction::Remove => {}
            }
            node.changed_at = revision;
        }
    }

    /// Returns the edits that turn this tree into `target`.
    pub fn diff_edits(&self, target: &Self) -> Vec<SettingsEdit> {
        let mut edits = Vec::new();
        diff_nodes(Some(&self.root), &target.root, &SettingsPath::site(), &mut edits);
        edits
    }
}

fn validate_edit(edit: &SettingsEdit) -> Result<(), ChangeRefusal> {
    let invalid =
        |reason: String| Err(ChangeRefusal::Invalid { path: edit.path.to_string(), reason });
    let level = edit.path.level();
    match &edit.action {
        EditAction::Set(key, _) if !key.levels().contains(&level) => invalid(format!(
            "`{}` cannot be set for {} {}; set it at {}",
            key.name(),
            if level == SettingLevel::Site { "the" } else { "an individual" },
            level.name(),
            key.levels()[0].name(),
        )),
        EditAction::Set(key, value) => match key.validate(value.clone()) {
            Ok(validated) if validated == *value => Ok(()),
            _ => invalid(format!("`{}` is {value}; it must be {}", key.name(), key.constraint())),
        },
        EditAction::Remove if edit.path.segments().is_empty() => {
            invalid(String::from("the site cannot be removed; remove its services instead"))
        }
        _ => Ok(()),
    }
}

fn diff_nodes(
    current: Option<&SettingsNode>,
    target: &SettingsNode,
    path: &SettingsPath,
    edits: &mut Vec<SettingsEdit>,
) {
    let mut edit = |action| edits.push(SettingsEdit { path: path.clone(), action });
    if current.is_none() && target.values.is_empty() {
        edit(EditAction::Create);
    }
    for (key, value) in &target.values {
        if current.and_then(|node| node.value(*key)) != Some(value) {
            edit(EditAction::Set(*key, value.clone()));
        }
    }
    for (key, _) in current.map_or(&[][..], |node| &node.values) {
        if target.value(*key).is_none() {
            edit(EditAction::Unset(*key));
        }
    }
    for name in current.into_iter().flat_map(|node| node.children.keys()) {
        if !target.children.contains_key(name) {
            let path = path.child(name);
            edits.push(SettingsEdit { path, action: EditAction::Remove });
        }
    }
    for (name, child) in &target.children {
        let current = current.and_then(|node| node.children.get(name));
        diff_nodes(current, child, &path.child(name), edits);
    }
}
