//! Following the platform's store: configuration, engines, and the lease of placement domains.

pub mod eras;
pub mod follow;
pub mod health;
pub mod membership;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use prometheus_client::metrics::counter::Counter;
use reelreel_core::id::StoreEra;
use tokio::{sync::watch, time::Instant};

use crate::{
    border::{BorderError, CallAnswer, CallRequest, StoreDialect},
    call::{CallClient, CallError},
    store::eras::{EraWord, StoreEras},
};

/// The first pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between calls that fail: a host must have heard from a store that is back within the least
/// time that its users give, three seconds.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How many times longer a task pauses that leaves it to another one to find out that the store is back.
const WOKEN_STRETCH: u32 = 4;

/// The longest pause of a task that is woken.
const LONGEST_WOKEN_PAUSE: Duration = Duration::from_secs(6);

/// The longest cooldown of the store that is honoured at a time: a lease that is not renewed for longer passes on.
const LONGEST_COOLDOWN: Duration = Duration::from_secs(1);

/// How logs name the store where it told of its era itself.
const STORE_TELLS: &str = "store";

/// Says how often the store has answered again after a failure.
pub type StoreReturns = watch::Receiver<u32>;

/// Why the store gave no useful answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There was no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer was a refusal or none that can be read.
    #[error(transparent)]
    Answer(#[from] BorderError),
    /// The answer is of a store that is gone: an older copy of it has taken its place since.
    #[error(
        "the answer is of the store's era {told}, and its era is {known}; the call is repeated on a new connection"
    )]
    EarlierEra {
        /// The era of the answer.
        told: StoreEra,
        /// The newest era that is known.
        known: StoreEra,
    },
}

/// Calls the store over one kept connection.
pub struct StoreClient {
    dialect: Arc<dyn StoreDialect>,
    client: CallClient,
    calls: Counter,
    eras: StoreEras,
    /// Before which moment the store wants no call.
    not_before: Option<Instant>,
}

impl StoreClient {
    /// Starts without a connection; `calls` counts the calls, and `eras` hears the era of each answer.
    pub fn new(
        dialect: Arc<dyn StoreDialect>,
        address: SocketAddr,
        calls: Counter,
        eras: StoreEras,
    ) -> Self {
        Self { dialect, client: CallClient::new(address), calls, eras, not_before: None }
    }

    /// Returns what translates the calls.
    pub fn dialect(&self) -> &dyn StoreDialect {
        &*self.dialect
    }

    async fn call(
        &mut self,
        request: &CallRequest,
        patience: Duration,
    ) -> Result<CallAnswer, StoreError> {
        if let Some(moment) = self.not_before.take() {
            tokio::time::sleep_until(moment).await;
        }
        self.calls.inc();
        let answer = self.client.call(request, patience).await?;
        let cooldown = self.dialect.cooldown(&answer);
        self.not_before =
            cooldown.map(|cooldown| Instant::now() + cooldown.duration().min(LONGEST_COOLDOWN));
        let told = self.dialect.era(&answer);
        match self.eras.hear(told, STORE_TELLS) {
            EraWord::Newest => Ok(answer),
            EraWord::Earlier(known) => {
                self.client.close();
                log::warn!(
                    "an answer of the store's era {told} came in its era {known}; it is dropped"
                );
                Err(StoreError::EarlierEra { told, known })
            }
        }
    }

    /// Returns the newest era of the store that this host has heard of.
    pub const fn eras(&self) -> &StoreEras {
        &self.eras
    }
}

/// Pauses that double with each failure in a row, spread so that hosts do not call together.
#[derive(Debug, Clone)]
pub struct Backoff {
    failures: u32,
    random: u64,
    longest: Duration,
}

impl Backoff {
    /// Starts with a number that differs between hosts.
    pub const fn new(seed: u64) -> Self {
        Self { failures: 0, random: seed | 1, longest: LONGEST_PAUSE }
    }

    /// Sets the longest pause.
    #[must_use]
    pub const fn longest(self, longest: Duration) -> Self {
        Self { longest, ..self }
    }

    /// Takes a success: the next failure begins with the shortest pause.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Takes a failure and returns how long to pause.
    pub fn failed(&mut self) -> Duration {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6)).min(self.longest);
        self.failures += 1;
        self.spread(pause)
    }

    /// Returns a time between three quarters and five quarters of `pause`.
    pub fn spread(&mut self, pause: Duration) -> Duration {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let part = (self.random % 1024) as f64 / 2048.0;
        pause.mul_f64(0.75 + part)
    }
}

/// The pauses of one task among several that call the store.
///
/// Each is woken by the first answer to any of them. One of them finds out that the store is back; the others call
/// seldom by themselves, so that many hosts do not press on a store in trouble.
#[derive(Debug, Clone)]
pub struct StorePause {
    backoff: Backoff,
    returns: StoreReturns,
    finds: bool,
}

impl StorePause {
    /// Pauses for the task that finds out.
    pub const fn finding(backoff: Backoff, returns: StoreReturns) -> Self {
        Self { backoff, returns, finds: true }
    }

    /// Pauses for a task that leaves that to another one.
    pub const fn woken(backoff: Backoff, returns: StoreReturns) -> Self {
        Self { backoff, returns, finds: false }
    }

    /// Takes a success: the next failure begins with the shortest pause.
    pub const fn succeeded(&mut self) {
        self.backoff.succeeded();
    }

    /// Waits after a call that failed until another task's call is answered; for the task that finds out, `longest`
    /// at most.
    pub async fn after_failure(&mut self, longest: Duration) {
        let mut pause = self.backoff.failed().min(longest);
        if !self.finds {
            pause = (pause * WOKEN_STRETCH).min(LONGEST_WOKEN_PAUSE);
        }
        self.returns.mark_unchanged();
        // Either way the call is tried again; the sender is gone only when the process ends.
        let _ = tokio::time::timeout(pause, self.returns.changed()).await;
    }
}
