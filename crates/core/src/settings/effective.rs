//! The values in force at a place in the tree, and where each comes from.

use std::time::Duration;

use crate::settings::{SettingKey, SettingValue, SettingsPath, SettingsTree};

/// Where an effective value was set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingOrigin {
    /// At that node of the tree.
    Node(SettingsPath),
    /// Nowhere: the built-in default holds.
    Default,
}

/// The values in force at one place, as the decisions use them.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveSettings {
    /// What one answered request is worth.
    pub worth: f64,
    /// The organisation's weight in fair queues.
    pub share: f64,
    /// How long a request may wait for its first token.
    pub deadline: Duration,
    /// How many requests of the organisation may wait at one engine.
    pub queue_limit: u32,
    /// The most tokens of one answer.
    pub max_tokens: u32,
    /// The priority handed to the engine.
    pub priority: i32,
    /// How much a second of waiting for a load weighs.
    pub stall_weight: f64,
    /// Whether a broken request may be sent again by default.
    pub repeatable: bool,
    /// Retries per first try.
    pub retry_share: f64,
}

impl SettingsTree {
    /// Returns the value of `key` in force at `path`, and where it was set.
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

    /// Returns the values in force at `path`.
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

    /// Returns a fraction in force at `path`, or zero where there is none.
    pub fn float(&self, path: &SettingsPath, key: SettingKey) -> f64 {
        match self.effective_value(path, key) {
            Some((SettingValue::Float(float), _)) => float,
            Some((SettingValue::Integer(integer), _)) => integer as f64,
            _ => 0.0,
        }
    }

    /// Returns a number in force at `path`, or zero where there is none.
    pub fn integer(&self, path: &SettingsPath, key: SettingKey) -> i64 {
        match self.effective_value(path, key) {
            Some((SettingValue::Integer(integer), _)) => integer,
            _ => 0,
        }
    }

    /// Returns a text in force at `path`.
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
