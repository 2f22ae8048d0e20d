//! The setting keys: types, limits, defaults and descriptions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A level of the settings tree, from the root down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SettingLevel {
    /// The whole site.
    Site,
    /// One service.
    Service,
    /// One organisation within a service.
    Organisation,
    /// One adapter of an organisation.
    Adapter,
}

impl SettingLevel {
    /// Returns the name of the level for use in messages.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Site => "site",
            Self::Service => "service",
            Self::Organisation => "organisation",
            Self::Adapter => "adapter",
        }
    }
}

/// The value of a setting.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// A boolean.
    Bool(bool),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A string.
    Text(Box<str>),
    /// A list of integers.
    Integers(Box<[i64]>),
}

impl fmt::Display for SettingValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool(boolean) => write!(formatter, "{boolean}"),
            Self::Integer(integer) => write!(formatter, "{integer}"),
            Self::Float(float) => write!(formatter, "{float:?}"),
            Self::Text(text) => write!(formatter, "{text:?}"),
            Self::Integers(integers) => write!(formatter, "{integers:?}"),
        }
    }
}

/// The type and limits of a key's value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ValueConstraint {
    /// `true` or `false`.
    Bool,
    /// An integer within the given inclusive range.
    Integer(i64, i64),
    /// A floating-point number within the given inclusive range.
    Float(f64, f64),
    /// A string of at most the given number of bytes.
    Text(usize),
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list of positive integers.
    Integers,
}

impl fmt::Display for ValueConstraint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bool => write!(formatter, "true or false"),
            Self::Integer(min, max) => write!(formatter, "a whole number from {min} to {max}"),
            Self::Float(min, max) => write!(formatter, "a number from {min} to {max}"),
            Self::Text(max_bytes) => write!(formatter, "a text of at most {max_bytes} bytes"),
            Self::Choice(choices) => write!(formatter, "one of {}", choices.join(", ")),
            Self::Integers => write!(formatter, "a list of positive whole numbers"),
        }
    }
}

macro_rules! setting_keys {
    ($($variant:ident = $name:literal, $kind:expr, [$($level:ident),+], $default:literal, $doc:literal;)+) => {
        /// A key of the settings tree.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum SettingKey { $(#[doc = $doc] #[serde(rename = $name)] $variant),+ }

        impl SettingKey {
            /// All keys, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the name of the key in TOML files.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }

            /// Returns the type and limits of the key's value.
            pub const fn constraint(self) -> ValueConstraint {
                match self { $(Self::$variant => $kind),+ }
            }

            /// Returns the levels at which the key may be set.
            pub const fn levels(self) -> &'static [SettingLevel] {
                match self { $(Self::$variant => &[$(SettingLevel::$level),+]),+ }
            }

            /// Returns the default value in TOML syntax; empty if there is none.
            pub const fn default_text(self) -> &'static str {
                match self { $(Self::$variant => $default),+ }
            }

            /// Returns a one-sentence description of the key, with its unit.
            pub const fn description(self) -> &'static str {
                match self { $(Self::$variant => $doc),+ }
            }
        }
    };
}

setting_keys! {
    Kind = "kind", ValueConstraint::Choice(&["engine", "plain"]), [Service], "\"engine\"", "Whether model engines or plain servers answer for the service.";
    BaseModel = "base_model", ValueConstraint::Text(200), [Service], "", "The base model that the service's engines run.";
    PathPrefix = "path_prefix", ValueConstraint::Text(200), [Service], "", "The path below which callers reach a plain service, with a leading slash.";
    Worth = "worth", ValueConstraint::Float(0.0, 1e6), [Site, Service, Organisation, Adapter], "1.0", "What one answered request is worth, relative to others.";
    Share = "share", ValueConstraint::Float(0.01, 1e6), [Site, Service, Organisation], "1.0", "The organisation's weight when organisations wait for the same engine.";
    DeadlineMs = "deadline_ms", ValueConstraint::Integer(1, 3_600_000), [Site, Service, Organisation, Adapter], "10000", "How long a request may wait for its first token, in milliseconds, where the caller names no deadline.";
    QueueLimit = "queue_limit", ValueConstraint::Integer(0, 100_000), [Site, Service, Organisation], "64", "How many requests of one organisation may wait at one engine.";
    MaxTokens = "max_tokens", ValueConstraint::Integer(1, 1_000_000), [Site, Service, Organisation, Adapter], "1024", "The most tokens one answer may have.";
    Priority = "priority", ValueConstraint::Integer(-10, 10), [Site, Service, Organisation, Adapter], "0", "The priority handed to the engine; higher is served first.";
    StallWeight = "stall_weight", ValueConstraint::Float(0.0, 1000.0), [Site, Service], "1.0", "How much a second of waiting for a load weighs when loads are chosen.";
    Repeatable = "repeatable", ValueConstraint::Bool, [Site, Service, Organisation, Adapter], "true", "Whether a request that broke off may be sent again where the caller does not say.";
    RetryShare = "retry_share", ValueConstraint::Float(0.0, 1.0), [Site, Service], "0.1", "Retries allowed per first try, over the last ten seconds of one host.";
    Version = "version", ValueConstraint::Integer(1, 4_294_967_295), [Adapter], "", "The version served when a caller names none.";
    Versions = "versions", ValueConstraint::Integers, [Adapter], "", "The versions that exist in the weight store.";
    StoreLoadsPerSecond = "store_loads_per_second", ValueConstraint::Float(0.01, 100_000.0), [Site], "3.0", "How many loads a second the weight store allows the whole site.";
    StoreParallelLoads = "store_parallel_loads", ValueConstraint::Integer(1, 10_000), [Site], "1", "How many loads the weight store serves at once at full speed.";
    PopularityHalfLifeMs = "popularity_half_life_ms", ValueConstraint::Integer(1_000, 86_400_000), [Site], "300000", "The time after which a request counts half for an adapter's popularity, in milliseconds.";
    ClaimWindowMs = "claim_window_ms", ValueConstraint::Integer(10_000, 604_800_000), [Site], "3600000", "How long an idempotency key is remembered after it was last sent, in milliseconds; at most the log's retention.";
}

impl SettingKey {
    /// Finds a key by its name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|key| key.name() == name)
    }

    /// Returns the default value, if the key has one.
    ///
    /// # Panics
    /// Never panics: a test parses every default.
    pub fn default_value(self) -> Option<SettingValue> {
        let text = self.default_text();
        if text.is_empty() {
            return None;
        }
        serde_json::from_str(text).ok()
    }

    /// Validates a value against the key's constraint. Converts integers where a float is expected.
    ///
    /// # Errors
    /// Returns the constraint if the value violates it.
    pub fn validate(self, value: SettingValue) -> Result<SettingValue, ValueConstraint> {
        let constraint = self.constraint();
        let valid = match (&constraint, &value) {
            (ValueConstraint::Bool, SettingValue::Bool(_)) => true,
            (ValueConstraint::Integer(min, max), SettingValue::Integer(integer)) => {
                (min..=max).contains(&integer)
            }
            (ValueConstraint::Float(min, max), SettingValue::Float(float)) => {
                (min..=max).contains(&float)
            }
            (ValueConstraint::Float(..), SettingValue::Integer(integer)) => {
                return self.validate(SettingValue::Float(*integer as f64));
            }
            (ValueConstraint::Text(max_bytes), SettingValue::Text(text)) => {
                text.len() <= *max_bytes
            }
            (ValueConstraint::Choice(choices), SettingValue::Text(text)) => {
                choices.contains(&&**text)
            }
            (ValueConstraint::Integers, SettingValue::Integers(integers)) => {
                let version = |integer: &i64| (1..=i64::from(u32::MAX)).contains(integer);
                integers.iter().all(version)
            }
            _ => false,
        };
        if valid { Ok(value) } else { Err(constraint) }
    }
}
