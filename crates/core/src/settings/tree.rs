//! The settings tree, and the resolution of a request's `model` to an adapter.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    id::{AdapterId, AdapterKey, AdapterVersion, OrganisationId, Revision, ServiceId},
    settings::{SettingKey, SettingLevel, SettingValue},
};

/// Maximum number of path segments: service, organisation, adapter.
const MAX_PATH_DEPTH: usize = 3;

/// The path of a node, as `service/organisation/adapter`; empty for the site.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingsPath {
    segments: Vec<Box<str>>,
}

impl SettingsPath {
    /// Returns the path of the site.
    pub const fn site() -> Self {
        Self { segments: Vec::new() }
    }

    /// Parses a path. Leading slashes are ignored, and an empty path is the site.
    ///
    /// # Errors
    /// Returns a message with the error and how to fix it.
    pub fn parse(text: &str) -> Result<Self, String> {
        let text = text.trim_start_matches('/');
        if text.is_empty() {
            return Ok(Self::site());
        }
        let segments: Vec<Box<str>> = text.split('/').map(Box::from).collect();
        if segments.len() > MAX_PATH_DEPTH {
            return Err(format!("`{text}` has too many levels; use service/organisation/adapter"));
        }
        if let Some(bad) = segments.iter().find(|segment| !is_valid_name(segment)) {
            return Err(format!(
                "`{bad}` is not a valid name; use 1 to 64 letters, digits, dots, dashes or underscores"
            ));
        }
        Ok(Self { segments })
    }

    /// Returns the path of the child with the given name.
    #[must_use]
    pub fn child(&self, name: &str) -> Self {
        let mut segments = self.segments.clone();
        segments.push(Box::from(name));
        Self { segments }
    }

    /// Returns the names along the path, from the service down.
    pub fn segments(&self) -> &[Box<str>] {
        &self.segments
    }

    /// Returns the level of the node.
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

/// Returns whether a string is a valid node name: 1 to 64 ASCII letters, digits, dots, dashes or
/// underscores.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    (1..=64).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// A node: its own values, its children, and the revisions of the last changes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsNode {
    /// Id of the service, organisation or adapter; zero for the site.
    #[serde(default)]
    pub id: u32,
    /// Values set at this node, sorted by key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<(SettingKey, SettingValue)>,
    /// Revision of the last change of `values`, or of the node's creation.
    #[serde(default)]
    pub changed_at: Revision,
    /// Revision of the last removal of a child.
    #[serde(default)]
    pub removed_at: Revision,
    /// Child nodes, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub children: BTreeMap<Box<str>, SettingsNode>,
}

impl SettingsNode {
    /// Returns the value set at this node, without inheritance.
    pub fn value(&self, key: SettingKey) -> Option<&SettingValue> {
        let index = self.values.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(&self.values[index].1)
    }

    /// Sets a value at this node; `None` removes it.
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

    /// Returns the revision of the last change of this node or any descendant.
    pub fn last_modified(&self) -> Revision {
        let below = self.children.values().map(Self::last_modified).max().unwrap_or(0);
        below.max(self.changed_at).max(self.removed_at)
    }
}

/// The reason why a `model` cannot be resolved.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ModelError {
    /// The string is not a model name.
    #[error(
        "`{0}` is not a valid model name; use organisation/adapter or service/organisation/adapter, followed by @version to select a version"
    )]
    Malformed(String),
    /// No adapter with this name exists.
    #[error("no adapter is named `{0}`; GET /v1/models lists the adapters")]
    UnknownAdapter(String),
    /// The adapter exists, but the version does not.
    #[error("adapter `{model}` has no version {version}; its versions are {known}")]
    UnknownVersion {
        /// Name of the adapter.
        model: String,
        /// The requested version.
        version: AdapterVersion,
        /// The versions that exist.
        known: String,
    },
    /// Several services have an adapter with this name.
    #[error("`{0}` exists in several services; use service/organisation/adapter")]
    Ambiguous(String),
    /// The adapter has no version.
    #[error("adapter `{0}` has no version; publish its `version`")]
    NoVersion(String),
}

/// The adapter version that a `model` resolves to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Path of the adapter.
    pub path: SettingsPath,
    /// Service of the adapter.
    pub service: ServiceId,
    /// Organisation of the adapter.
    pub organisation: OrganisationId,
    /// The adapter and its immutable version.
    pub adapter: AdapterKey,
}

/// The settings tree at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SettingsTree {
    /// The node of the site.
    pub root: SettingsNode,
    /// The last assigned id.
    pub last_id: u32,
    /// Paths of the adapters by id. Derived from the tree and not part of the digest.
    #[serde(skip)]
    adapter_paths: Vec<Option<Box<str>>>,
}

impl SettingsTree {
    /// Finds the node at `path`.
    pub fn node(&self, path: &SettingsPath) -> Option<&SettingsNode> {
        path.segments().iter().try_fold(&self.root, |node, name| node.children.get(name))
    }

    /// Returns the existing nodes on `path`, from the root down.
    pub fn nodes_along(&self, path: &SettingsPath) -> Vec<&SettingsNode> {
        let mut path_nodes = vec![&self.root];
        for name in path.segments() {
            let Some(child) = path_nodes[path_nodes.len() - 1].children.get(name) else { break };
            path_nodes.push(child);
        }
        path_nodes
    }

    /// Returns the number of adapters.
    pub fn adapter_count(&self) -> usize {
        self.adapter_paths.iter().flatten().count()
    }

    /// Returns the path of an adapter as a string.
    pub fn adapter_path(&self, adapter: AdapterId) -> Option<&str> {
        self.adapter_paths.get(adapter as usize)?.as_deref()
    }

    /// Returns the name of an adapter version for engines and the weight store.
    pub fn adapter_name(&self, key: AdapterKey) -> Option<String> {
        let path = self.adapter_path(key.adapter)?;
        Some(format!("{path}@{}", key.version))
    }

    /// Returns the key of a name that [`Self::adapter_name`] returned.
    pub fn adapter_key(&self, name: &str) -> Option<AdapterKey> {
        let (path, version) = name.rsplit_once('@')?;
        let path = SettingsPath::parse(path).ok()?;
        let node = self.node(&path).filter(|_| path.level() == SettingLevel::Adapter)?;
        Some(AdapterKey { adapter: node.id, version: version.parse().ok()? })
    }

    /// Iterates over the full names of all adapters.
    pub fn model_names(&self) -> impl Iterator<Item = &str> {
        self.adapter_paths.iter().flatten().map(|path| &**path)
    }

    /// Resolves the `model` of a request to one immutable adapter version.
    ///
    /// # Errors
    /// Returns an error if no adapter version matches, or if several services have the adapter.
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

    /// Rebuilds the adapter paths. Must be called after the nodes were replaced as a whole.
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

    /// Returns the node at `path`. Creates missing nodes along the path with the next ids.
    ///
    /// # Panics
    /// Never panics: each missing node is created before it is accessed.
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
            node = node.children.get_mut(name).expect("the child exists or was just inserted");
        }
        node
    }

    /// Removes the node at `path` and its descendants. Returns whether the node existed.
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
    let known = adapter_versions(adapter);
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
        SettingValue::Integer(integer) => AdapterVersion::try_from(*integer).ok(),
        _ => None,
    }
}

/// Returns the versions of an adapter, including its current version.
pub fn adapter_versions(adapter: &SettingsNode) -> Vec<AdapterVersion> {
    let mut versions: Vec<AdapterVersion> = match adapter.value(SettingKey::Versions) {
        Some(SettingValue::Integers(integers)) => {
            integers.iter().filter_map(|integer| AdapterVersion::try_from(*integer).ok()).collect()
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
