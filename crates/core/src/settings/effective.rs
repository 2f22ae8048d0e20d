//! Effective values at a node, after inheritance, and where they were set.

use std::time::Duration;

use crate::settings::{SettingKey, SettingValue, SettingsPath, SettingsTree};

/// The source of an effective value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingOrigin {
    /// Set at the node with this path.
    Node(SettingsPath),
    /// The built-in default.
    Default,
}

/// The effective values at one node, converted to the types that the core uses.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveSettings {
    /// Relative value of an answered request.
    pub worth: f64,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// Maximum time to the first token.
    pub deadline: Duration,
    /// Maximum number of the organisation's requests that may queue at one engine.
    pub queue_limit: u32,
    /// Maximum number of tokens in a response.
    pub max_tokens: u32,
    /// The priority passed to the engine.
    pub priority: i32,
    /// Weight of each second that a request waits for a load.
    pub stall_weight: f64,
    /// Whether an interrupted request may be retried when the caller does not say.
    pub repeatable: bool,
    /// Maximum ratio of retries to first attempts.
    pub retry_share: f64,
}

impl SettingsTree {
    /// Returns the effective value of `key` at `path`, and where it was set.
    pub fn effective_value(
        &self,
        path: &SettingsPath,
        key: SettingKey,
    ) -> Option<(SettingValue, SettingOrigin)> {
        let path_nodes = self.nodes_along(path);
        for (depth, node) in path_nodes.iter().enumerate().rev() {
            if let Some(value) = node.value(key) {
                let mut origin = SettingsPath::site();
                for name in &path.segments()[..depth] {
                    origin = origin.child(name);
                }
                return Some((value.clone(), SettingOrigin::Node(origin)));
            }
        }
        key.default_value().map(|value| (value, SettingOrigin::Default))
    }

    /// Returns the effective values at `path`.
    pub fn effective(&self, path: &SettingsPath) -> EffectiveSettings {
        let float = |key| self.float(path, key);
        let integer = |key| self.integer(path, key);
        EffectiveSettings {
            worth: float(SettingKey::Worth),
            share: float(SettingKey::Share),
            deadline: Duration::from_millis(integer(SettingKey::DeadlineMs).unsigned_abs()),
            queue_limit: u32::try_from(integer(SettingKey::QueueLimit)).unwrap_or(u32::MAX),
            max_tokens: u32::try_from(integer(SettingKey::MaxTokens)).unwrap_or(u32::MAX),
            priority: i32::try_from(integer(SettingKey::Priority)).unwrap_or(0),
            stall_weight: float(SettingKey::StallWeight),
            repeatable: self.bool_value(path, SettingKey::Repeatable),
            retry_share: float(SettingKey::RetryShare),
        }
    }

    /// Returns the effective number at `path` as a float, or zero if there is none.
    pub fn float(&self, path: &SettingsPath, key: SettingKey) -> f64 {
        match self.effective_value(path, key) {
            Some((SettingValue::Float(float), _)) => float,
            Some((SettingValue::Integer(integer), _)) => integer as f64,
            _ => 0.0,
        }
    }

    /// Returns the effective integer at `path`, or zero if there is none.
    pub fn integer(&self, path: &SettingsPath, key: SettingKey) -> i64 {
        match self.effective_value(path, key) {
            Some((SettingValue::Integer(integer), _)) => integer,
            _ => 0,
        }
    }

    /// Returns the effective text at `path`.
    pub fn text(&self, path: &SettingsPath, key: SettingKey) -> Option<String> {
        match self.effective_value(path, key) {
            Some((SettingValue::Text(text), _)) => Some(text.into()),
            _ => None,
        }
    }

    fn bool_value(&self, path: &SettingsPath, key: SettingKey) -> bool {
        matches!(self.effective_value(path, key), Some((SettingValue::Bool(true), _)))
    }
}
