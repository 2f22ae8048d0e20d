//! Following the platform's store: configuration, engines, and the lease of placement domains.

pub mod era;
pub mod follow;
pub mod health;
pub mod membership;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use prometheus_client::metrics::counter::Counter;
use reelreel_core::id::StoreEra;
use tokio::{sync::watch, time::Instant};

use crate::{
    call::{CallClient, CallError},
    codec::{CallRequest, CallResponse, CodecError, StoreCodec},
    store::era::{EraStatus, EraTracker},
};

/// The first pause after a call that failed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause between calls that fail: a host must have heard from a store that is back within the least
/// time that its users give, three seconds.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How many times longer a task pauses that leaves it to another one to find out that the store is back.
const PASSIVE_DELAY_FACTOR: u32 = 4;

/// The longest pause of a task that is woken.
const MAX_PASSIVE_DELAY: Duration = Duration::from_secs(6);

/// The longest cooldown of the store that is honoured at a time: a lease that is not renewed for longer passes on.
const MAX_COOLDOWN: Duration = Duration::from_secs(1);

/// How logs name the store where it received of its era itself.
const STORE_SOURCE: &str = "store";

/// Says how often the store has answered again after a failure.
pub type StoreRecoveries = watch::Receiver<u32>;

/// Why the store gave no useful answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There was no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer was a refusal or none that can be read.
    #[error(transparent)]
    Response(#[from] CodecError),
    /// The answer is of a store that is gone: an older copy of it has taken its place since.
    #[error(
        "the answer is of the store's era {received}, and its era is {current}; the call is repeated on a new connection"
    )]
    StaleEra {
        /// The era of the answer.
        received: StoreEra,
        /// The newest era that is current.
        current: StoreEra,
    },
}

/// Calls the store over one kept connection.
pub struct StoreClient {
    codec: Arc<dyn StoreCodec>,
    client: CallClient,
    calls: Counter,
    eras: EraTracker,
    /// Before which moment the store wants no call.
    not_before: Option<Instant>,
}

impl StoreClient {
    /// Starts without a connection; `calls` counts the calls, and `eras` hears the era of each answer.
    pub fn new(
        codec: Arc<dyn StoreCodec>,
        address: SocketAddr,
        calls: Counter,
        eras: EraTracker,
    ) -> Self {
        Self { codec, client: CallClient::new(address), calls, eras, not_before: None }
    }

    /// Returns what translates the calls.
    pub fn codec(&self) -> &dyn StoreCodec {
        &*self.codec
    }

    async fn call(
        &mut self,
        request: &CallRequest,
        timeout: Duration,
    ) -> Result<CallResponse, StoreError> {
        if let Some(instant) = self.not_before.take() {
            tokio::time::sleep_until(instant).await;
        }
        self.calls.inc();
        let response = self.client.call(request, timeout).await?;
        let cooldown = self.codec.decode_cooldown(&response);
        self.not_before =
            cooldown.map(|cooldown| Instant::now() + cooldown.duration().min(MAX_COOLDOWN));
        let received = self.codec.decode_era(&response);
        match self.eras.observe(received, STORE_SOURCE) {
            EraStatus::Current => Ok(response),
            EraStatus::Stale(current) => {
                self.client.close();
                log::warn!(
                    "an answer of the store's era {received} came in its era {current}; it is dropped"
                );
                Err(StoreError::StaleEra { received, current })
            }
        }
    }

    /// Returns the newest era of the store that this host has heard of.
    pub const fn eras(&self) -> &EraTracker {
        &self.eras
    }
}

/// Pauses that double with each failure in a row, spread so that hosts do not call together.
#[derive(Debug, Clone)]
pub struct Backoff {
    failures: u32,
    rng_state: u64,
    max_delay: Duration,
}

impl Backoff {
    /// Starts with a number that differs between hosts.
    pub const fn new(seed: u64) -> Self {
        Self { failures: 0, rng_state: seed | 1, max_delay: MAX_BACKOFF }
    }

    /// Sets the longest pause.
    #[must_use]
    pub const fn with_max_delay(self, max_delay: Duration) -> Self {
        Self { max_delay, ..self }
    }

    /// Takes a success: the next failure begins with the shortest pause.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Takes a failure and returns how long to pause.
    pub fn next_delay(&mut self) -> Duration {
        let delay = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(6)).min(self.max_delay);
        self.failures += 1;
        self.jitter(delay)
    }

    /// Returns a time between three quarters and five quarters of `delay`.
    pub fn jitter(&mut self, delay: Duration) -> Duration {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let fraction = (self.rng_state % 1024) as f64 / 2048.0;
        delay.mul_f64(0.75 + fraction)
    }
}

/// The pauses of one task among several that call the store.
///
/// Each is woken by the first answer to any of them. One of them probes out that the store is back; the others call
/// seldom by themselves, so that many hosts do not press on a store in trouble.
#[derive(Debug, Clone)]
pub struct StoreBackoff {
    backoff: Backoff,
    recoveries: StoreRecoveries,
    probes: bool,
}

impl StoreBackoff {
    /// Pauses for the task that probes out.
    pub const fn probing(backoff: Backoff, recoveries: StoreRecoveries) -> Self {
        Self { backoff, recoveries, probes: true }
    }

    /// Pauses for a task that leaves that to another one.
    pub const fn passive(backoff: Backoff, recoveries: StoreRecoveries) -> Self {
        Self { backoff, recoveries, probes: false }
    }

    /// Takes a success: the next failure begins with the shortest pause.
    pub const fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Waits after a call that failed until another task's call is answered; for the task that probes out, `longest`
    /// at most.
    pub async fn wait_after_failure(&mut self, max_delay: Duration) {
        let mut delay = self.backoff.next_delay().min(max_delay);
        if !self.probes {
            delay = (delay * PASSIVE_DELAY_FACTOR).min(MAX_PASSIVE_DELAY);
        }
        self.recoveries.mark_unchanged();
        // Either way the call is tried again; the sender is gone only when the process ends.
        let _ = tokio::time::timeout(delay, self.recoveries.changed()).await;
    }
}
