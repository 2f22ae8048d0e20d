//! Client of the platform's store, which has the configuration, the engine entries and the leases of placement domains.

pub mod era;
pub mod follow;
pub mod health;
pub mod membership;
pub mod restore_record;
pub mod stream_records;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use prometheus_client::metrics::counter::Counter;
use reelreel_core::id::StoreEra;
use tokio::{sync::watch, time::Instant};

use crate::{
    call::{CallClient, CallError},
    codec::{CallRequest, CallResponse, CodecError, StoreCodec},
    store::era::{EraStatus, EraTracker},
};

/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay between failing calls, before jitter: a host must notice within three seconds that the store has
/// recovered.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Factor on the delay of tasks that rely on another task to detect that the store has recovered.
const PASSIVE_DELAY_FACTOR: u32 = 4;

/// Maximum delay of such a task.
const MAX_PASSIVE_DELAY: Duration = Duration::from_secs(6);

/// Upper bound on a requested cooldown: a lease that is not renewed for longer expires.
const MAX_COOLDOWN: Duration = Duration::from_secs(1);

/// Source of an era that the store itself reported, for logs.
const STORE_SOURCE: &str = "store";

/// Receives the number of times that the store has recovered from a failure.
pub type StoreRecoveries = watch::Receiver<u32>;

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No response was received.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response was a rejection or malformed.
    #[error(transparent)]
    Response(#[from] CodecError),
    /// The response is from an earlier era: the store was restored from an older copy since.
    #[error(
        "response is from store era {received}, but the current era is {current}; the call is retried on a new connection"
    )]
    StaleEra {
        /// The era of the response.
        received: StoreEra,
        /// The latest known era.
        current: StoreEra,
    },
}

/// Calls the store over a persistent connection.
pub struct StoreClient {
    codec: Arc<dyn StoreCodec>,
    client: CallClient,
    calls: Counter,
    eras: EraTracker,
    /// End of the cooldown that the store requested.
    not_before: Option<Instant>,
}

impl StoreClient {
    /// Creates a client without a connection; `calls` counts the calls, and `eras` tracks the eras of responses.
    pub fn new(
        codec: Arc<dyn StoreCodec>,
        address: SocketAddr,
        calls: Counter,
        eras: EraTracker,
    ) -> Self {
        Self { codec, client: CallClient::new(address), calls, eras, not_before: None }
    }

    /// Returns the codec of the store's messages.
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
                    "dropping a response from store era {received}; the current era is {current}"
                );
                Err(StoreError::StaleEra { received, current })
            }
        }
    }

    /// Returns the tracker of the store's era.
    pub const fn eras(&self) -> &EraTracker {
        &self.eras
    }
}

/// Exponential backoff with jitter, so that hosts do not call at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    failures: u32,
    rng_state: u64,
    max_delay: Duration,
}

impl Backoff {
    /// Creates a backoff; `seed` must differ between hosts.
    pub const fn new(seed: u64) -> Self {
        Self { failures: 0, rng_state: seed | 1, max_delay: MAX_BACKOFF }
    }

    /// Sets the maximum delay, before jitter.
    #[must_use]
    pub const fn with_max_delay(self, max_delay: Duration) -> Self {
        Self { max_delay, ..self }
    }

    /// Resets the delay after a successful call.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next call.
    pub fn next_delay(&mut self) -> Duration {
        let delay = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(6)).min(self.max_delay);
        self.failures += 1;
        self.jitter(delay)
    }

    /// Returns a random duration from 75 % to 125 % of `delay`.
    pub fn jitter(&mut self, delay: Duration) -> Duration {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let fraction = (self.rng_state % 1024) as f64 / 2048.0;
        delay.mul_f64(0.75 + fraction)
    }
}

/// The backoff of one of several tasks that call the store.
///
/// The first response to any of the tasks wakes all of them. One task probes the store; the others retry rarely by
/// themselves, so that many hosts do not overload a store in trouble.
#[derive(Debug, Clone)]
pub struct StoreBackoff {
    backoff: Backoff,
    recoveries: StoreRecoveries,
    probes: bool,
}

impl StoreBackoff {
    /// Creates the backoff of the task that probes the store.
    pub const fn probing(backoff: Backoff, recoveries: StoreRecoveries) -> Self {
        Self { backoff, recoveries, probes: true }
    }

    /// Creates the backoff of a task that relies on the probing one.
    pub const fn passive(backoff: Backoff, recoveries: StoreRecoveries) -> Self {
        Self { backoff, recoveries, probes: false }
    }

    /// Resets the delay after a successful call.
    pub const fn reset(&mut self) {
        self.backoff.reset();
    }

    /// Waits after a failed call until the delay is over or another task's call succeeds.
    ///
    /// The probing task waits for `max_delay` at most.
    pub async fn wait_after_failure(&mut self, max_delay: Duration) {
        let mut delay = self.backoff.next_delay().min(max_delay);
        if !self.probes {
            delay = (delay * PASSIVE_DELAY_FACTOR).min(MAX_PASSIVE_DELAY);
        }
        self.recoveries.mark_unchanged();
        // The call is retried in either case; the sender is dropped only when the process ends.
        let _ = tokio::time::timeout(delay, self.recoveries.changed()).await;
    }
}
