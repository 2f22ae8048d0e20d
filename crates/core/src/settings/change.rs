//! Publications: the edits an operator asks for and the rule that accepts or refuses them.

use serde::{Deserialize, Serialize};

use crate::{
    id::Revision,
    settings::{SettingKey, SettingLevel, SettingValue, SettingsNode, SettingsPath, SettingsTree},
};

/// The format of [`ChangeRecord`] that this program writes and understands.
pub const RECORD_FORMAT: u32 = 1;

/// What an edit does at its path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EditAction {
    /// Makes sure that the node exists.
    Create,
    /// Sets a value; the node is created where it is missing.
    Set(SettingKey, SettingValue),
    /// Takes a value away, so that the parent's holds.
    Unset(SettingKey),
    /// Removes the node with all below it.
    Remove,
}

/// One edit of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsEdit {
    /// Where.
    pub path: SettingsPath,
    /// What.
    pub action: EditAction,
}

/// One publication as it stands in the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The format's number; a host that meets a higher one stops folding rather than guess.
    pub format: u32,
    /// Names the publication, so that its publisher finds it after a lost answer.
    pub change_id: String,
    /// The revision the operator saw.
    pub base_revision: Revision,
    /// Who published it.
    pub author: String,
    /// Why, in the operator's words.
    #[serde(default)]
    pub message: String,
    /// The edits, all or none of which take effect.
    pub edits: Vec<SettingsEdit>,
}

/// Why a publication was refused. A pure function of the log's prefix, so alike on every host.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ChangeRefusal {
    /// Another publication changed the same place since the base revision.
    #[error(
        "`{path}` was changed at revision {revision}, after the base revision {base}; look at the change with `reelreel settings history`, then publish again"
    )]
    Conflict {
        /// The place.
        path: String,
        /// When it was changed.
        revision: Revision,
        /// What the publisher had seen.
        base: Revision,
    },
    /// The base revision is higher than the log's own.
    #[error(
        "base revision {base} is not reached yet (the log is at {revision}); check that you publish to the right site"
    )]
    BaseAhead {
        /// What the publisher named.
        base: Revision,
        /// The log's revision.
        revision: Revision,
    },
    /// An edit does not fit the tree.
    #[error("`{path}`: {reason}")]
    Invalid {
        /// The place.
        path: String,
        /// What is wrong, with the remedy.
        reason: String,
    },
    /// The record can not be read.
    #[error("the record is damaged ({reason}); publish the change again")]
    Damaged {
        /// What the parser said.
        reason: String,
    },
}

impl SettingsTree {
    /// Checks one publication against this tree, which is at `revision`.
    ///
    /// # Errors
    /// Returns the first refusal found.
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
        // A missing node may have been removed by somebody the publisher had not seen.
        let changed = match (exists, &edit.action) {
            (false, _) => deepest.removed_at,
            (true, EditAction::Remove) => deepest.last_modified(),
            (true, _) => deepest.changed_at,
        };
        if changed > base { Err(conflict(changed)) } else { Ok(()) }
    }

    /// Carries out the edits of an accepted publication.
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
            "`{}` can not be set for {} {}; set it at {}",
            key.name(),
            if level == SettingLevel::Site { "the" } else { "one" },
            level.name(),
            key.levels()[0].name(),
        )),
        EditAction::Set(key, value) => match key.validate(value.clone()) {
            Ok(validated) if validated == *value => Ok(()),
            _ => invalid(format!("`{}` is {value}; it must be {}", key.name(), key.constraint())),
        },
        EditAction::Remove if edit.path.segments().is_empty() => {
            invalid(String::from("the site can not be removed; remove its services instead"))
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
