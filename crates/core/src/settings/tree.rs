//! The settings tree itself and how a caller's `model` finds its adapter in it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    id::{AdapterId, AdapterKey, AdapterVersion, OrganisationId, Revision, ServiceId},
    settings::{SettingKey, SettingLevel, SettingValue},
};

/// The longest path: service, organisation, adapter.
const MAX_PATH_DEPTH: usize = 3;

/// A place in the tree, as `service/organisation/adapter`; empty for the site.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingsPath {
    segments: Vec<Box<str>>,
}

impl SettingsPath {
    /// Returns the site's path.
    pub const fn site() -> Self {
        Self { segments: Vec::new() }
    }

    /// Reads a path; a leading slash and an empty text both mean the site.
    ///
    /// # Errors
    /// Returns what is wrong with it, with the remedy.
    pub fn parse(text: &str) -> Result<Self, String> {
        let text = text.trim_start_matches('/');
        if text.is_empty() {
            return Ok(Self::site());
        }
        let segments: Vec<Box<str>> = text.split('/').map(Box::from).collect();
        if segments.len() > MAX_PATH_DEPTH {
            return Err(format!("`{text}` is too deep; write service/organisation/adapter"));
        }
        if let Some(bad) = segments.iter().find(|segment| !is_valid_name(segment)) {
            return Err(format!(
                "`{bad}` is not a name; use 1 to 64 letters, digits, dots, dashes or underscores"
            ));
        }
        Ok(Self { segments })
    }

    /// Returns the path one level down.
    #[must_use]
    pub fn child(&self, name: &str) -> Self {
        let mut segments = self.segments.clone();
        segments.push(Box::from(name));
        Self { segments }
    }

    /// Returns the names on the way down.
    pub fn segments(&self) -> &[Box<str>] {
        &self.segments
    }

    /// Returns the level the path points at.
    pub fn level(&self) -> SettingLevel {
        match self.segments.len() {
            0 => SettingLevel::Site,
            1 => SettingLevel::Service,
            2 => SettingLevel::Organisation,
            _ => SettingLevel::Adapter,
        }
    }
}

impl fmt::Display for SettingsPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.segments.is_empty() {
            return formatter.write_str("/");
        }
        formatter.write_str(&self.segments.join("/"))
    }
}

impl TryFrom<String> for SettingsPath {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        Self::parse(&text)
    }
}

impl From<SettingsPath> for String {
    fn from(path: SettingsPath) -> Self {
        path.to_string()
    }
}

/// Says whether a text may name a node: 1 to 64 letters, digits, dots, dashes or underscores.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    (1..=64).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// One node: what it overrides, its children, and when it last changed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsNode {
    /// The small integer that stands for the node: a service, organisation or adapter id.
    #[serde(default)]
    pub id: u32,
    /// Values set at this node, sorted by key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<(SettingKey, SettingValue)>,
    /// Revision of the last change of `values`, or of the creation.
    #[serde(default)]
    pub changed_at: Revision,
    /// Revision of the last removal of a child.
    #[serde(default)]
    pub removed_at: Revision,
    /// Nodes below, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub children: BTreeMap<Box<str>, SettingsNode>,
}

impl SettingsNode {
    /// Returns the value set at this very node.
    pub fn value(&self, key: SettingKey) -> Option<&SettingValue> {
        let index = self.values.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(&self.values[index].1)
    }

    /// Sets or, with `None`, unsets a value at this node.
    pub fn set_value(&mut self, key: SettingKey, value: Option<SettingValue>) {
        let index = self.values.binary_search_by_key(&key, |(known, _)| *known);
        match (index, value) {
            (Ok(index), Some(value)) => self.values[index].1 = value,
            (Ok(index), None) => {
                self.values.remove(index);
            }
            (Err(index), Some(value)) => self.values.insert(index, (key, value)),
            (Err(_), None) => {}
        }
    }

    /// Returns the highest revision at which anything at or below this node changed.
    pub fn last_modified(&self) -> Revision {
        let below = self.children.values().map(Self::last_modified).max().unwrap_or(0);
        below.max(self.changed_at).max(self.removed_at)
    }
}

/// Why a `model` was not found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ModelError {
    /// The text is not a model name.
    #[error(
        "`{0}` is not a model name; write organisation/adapter or service/organisation/adapter, with @version for a fixed version"
    )]
    Malformed(String),
    /// No adapter of that name exists.
    #[error("no adapter is named `{0}`; GET /v1/models lists those that exist")]
    UnknownAdapter(String),
    /// The adapter exists, the version does not.
    #[error("adapter `{model}` has no version {version}; it has {known}")]
    UnknownVersion {
        /// The adapter.
        model: String,
        /// The version asked for.
        version: AdapterVersion,
        /// Those that exist.
        known: String,
    },
    /// Two services have such an adapter.
    #[error("`{0}` stands in several services; write service/organisation/adapter")]
    Ambiguous(String),
    /// The adapter has no version to serve.
    #[error("adapter `{0}` has no version to serve; publish its `version`")]
    NoVersion(String),
}

/// What a `model` resolves to: base model and immutable adapter version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedModel {
    /// The adapter's place in the tree.
    pub path: SettingsPath,
    /// The service that answers.
    pub service: ServiceId,
    /// The organisation that is served.
    pub organisation: OrganisationId,
    /// The adapter and its version.
    pub adapter: AdapterKey,
}

/// The tree of one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SettingsTree {
    /// The site's node.
    pub root: SettingsNode,
    /// How many ids have been given out.
    pub last_id: u32,
    /// The path of each adapter by id; not part of the digest, rebuilt from the tree.
    #[serde(skip)]
    adapter_paths: Vec<Option<Box<str>>>,
}

impl SettingsTree {
    /// Finds the node at `path`.
    pub fn node(&self, path: &SettingsPath) -> Option<&SettingsNode> {
        path.segments().iter().try_fold(&self.root, |node, name| node.children.get(name))
    }

    /// Returns the nodes from the root down to `path`, as far as they exist.
    pub fn nodes_along(&self, path: &SettingsPath) -> Vec<&SettingsNode> {
        let mut path_nodes = vec![&self.root];
        for name in path.segments() {
            let Some(child) = path_nodes[path_nodes.len() - 1].children.get(name) else { break };
            path_nodes.push(child);
        }
        path_nodes
    }

    /// Counts the adapters.
    pub fn adapter_count(&self) -> usize {
        self.adapter_paths.iter().flatten().count()
    }

    /// Returns the path of an adapter, as text.
    pub fn adapter_path(&self, adapter: AdapterId) -> Option<&str> {
        self.adapter_paths.get(adapter as usize)?.as_deref()
    }

    /// Returns the name under which engines and the weight store know an adapter version.
    pub fn adapter_name(&self, key: AdapterKey) -> Option<String> {
        let path = self.adapter_path(key.adapter)?;
        Some(format!("{path}@{}", key.version))
    }

    /// Finds the key of a name that [`Self::adapter_name`] gave out.
    pub fn adapter_key(&self, name: &str) -> Option<AdapterKey> {
        let (path, version) = name.rsplit_once('@')?;
        let path = SettingsPath::parse(path).ok()?;
        let node = self.node(&path).filter(|_| path.level() == SettingLevel::Adapter)?;
        Some(AdapterKey { adapter: node.id, version: version.parse().ok()? })
    }

    /// Lists the names of all adapters, as callers write them.
    pub fn model_names(&self) -> impl Iterator<Item = &str> {
        self.adapter_paths.iter().flatten().map(|path| &**path)
    }

    /// Resolves a caller's `model` to one immutable adapter version.
    ///
    /// # Errors
    /// Returns why there is no such adapter or version, with the remedy.
    pub fn resolve(&self, model: &str) -> Result<ResolvedModel, ModelError> {
        let malformed = || ModelError::Malformed(model.to_owned());
        let (name, version) = match model.rsplit_once('@') {
            Some((name, version)) => (name, Some(version.parse().map_err(|_| malformed())?)),
            None => (model, None),
        };
        let path = SettingsPath::parse(name).map_err(|_| malformed())?;
        let path = match path.level() {
            SettingLevel::Adapter => path,
            SettingLevel::Organisation => self.resolve_service(&path)?,
            _ => return Err(malformed()),
        };
        let unknown = || ModelError::UnknownAdapter(name.to_owned());
        let [_, service, organisation, adapter] = self.nodes_along(&path)[..] else {
            return Err(unknown());
        };
        let version = select_version(adapter, name, version)?;
        Ok(ResolvedModel {
            path,
            service: service.id,
            organisation: organisation.id,
            adapter: AdapterKey { adapter: adapter.id, version },
        })
    }

    fn resolve_service(&self, short_path: &SettingsPath) -> Result<SettingsPath, ModelError> {
        let [organisation, adapter] = short_path.segments() else {
            return Err(ModelError::Malformed(short_path.to_string()));
        };
        let has_adapter = |node: &SettingsNode| {
            let organisation = node.children.get(organisation);
            organisation.is_some_and(|node| node.children.contains_key(adapter))
        };
        let mut found = self.root.children.iter().filter(|(_, node)| has_adapter(node));
        let Some((service, _)) = found.next() else {
            return Err(ModelError::UnknownAdapter(short_path.to_string()));
        };
        if found.next().is_some() {
            return Err(ModelError::Ambiguous(short_path.to_string()));
        }
        Ok(SettingsPath::site().child(service).child(organisation).child(adapter))
    }

    /// Rebuilds what is derived from the nodes, after a whole tree was put in place.
    pub fn reindex(&mut self) {
        let mut paths = vec![None; self.last_id as usize + 1];
        for (service_name, service) in &self.root.children {
            for (organisation_name, organisation) in &service.children {
                for (adapter_name, adapter) in &organisation.children {
                    let path = format!("{service_name}/{organisation_name}/{adapter_name}");
                    paths[adapter.id as usize] = Some(path.into_boxed_str());
                }
            }
        }
        self.adapter_paths = paths;
    }

    /// Finds or creates the node at `path`; a new node gets the next id.
    ///
    /// # Panics
    /// Never: each node on the way is made before it is entered.
    pub fn get_or_create(&mut self, path: &SettingsPath, revision: Revision) -> &mut SettingsNode {
        let mut node = &mut self.root;
        for (depth, name) in path.segments().iter().enumerate() {
            if !node.children.contains_key(name) {
                self.last_id += 1;
                let child =
                    SettingsNode { id: self.last_id, changed_at: revision, ..Default::default() };
                node.children.insert(name.clone(), child);
                self.adapter_paths.resize(self.last_id as usize + 1, None);
                if depth + 1 == MAX_PATH_DEPTH {
                    self.adapter_paths[self.last_id as usize] =
                        Some(path.to_string().into_boxed_str());
                }
            }
            node = node.children.get_mut(name).expect("the child was just made sure of");
        }
        node
    }

    /// Removes the node at `path` with all below it; says whether it was there.
    pub fn remove(&mut self, path: &SettingsPath, revision: Revision) -> bool {
        let Some((name, parents)) = path.segments().split_last() else { return false };
        let mut node = &mut self.root;
        for parent in parents {
            let Some(child) = node.children.get_mut(parent) else { return false };
            node = child;
        }
        let Some(removed) = node.children.remove(name) else { return false };
        node.removed_at = revision;
        self.remove_adapter_paths(&removed);
        true
    }

    fn remove_adapter_paths(&mut self, removed: &SettingsNode) {
        if let Some(path) = self.adapter_paths.get_mut(removed.id as usize) {
            *path = None;
        }
        for child in removed.children.values() {
            self.remove_adapter_paths(child);
        }
    }
}

fn select_version(
    adapter: &SettingsNode,
    model: &str,
    requested: Option<AdapterVersion>,
) -> Result<AdapterVersion, ModelError> {
    let known = known_versions(adapter);
    match requested {
        Some(version) if known.contains(&version) => Ok(version),
        Some(version) => {
            let known = known.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
            Err(ModelError::UnknownVersion { model: model.to_owned(), version, known })
        }
        None => current_version(adapter)
            .or_else(|| known.iter().max().copied())
            .ok_or_else(|| ModelError::NoVersion(model.to_owned())),
    }
}

fn current_version(adapter: &SettingsNode) -> Option<AdapterVersion> {
    match adapter.value(SettingKey::Version)? {
        SettingValue::Integer(number) => AdapterVersion::try_from(*number).ok(),
        _ => None,
    }
}

/// Lists the versions an adapter's node says exist; its current version always does.
pub fn known_versions(adapter: &SettingsNode) -> Vec<AdapterVersion> {
    let mut versions: Vec<AdapterVersion> = match adapter.value(SettingKey::Versions) {
        Some(SettingValue::Integers(numbers)) => {
            numbers.iter().filter_map(|number| AdapterVersion::try_from(*number).ok()).collect()
        }
        _ => Vec::new(),
    };
    if let Some(current) = current_version(adapter)
        && !versions.contains(&current)
    {
        versions.push(current);
    }
    versions
}
