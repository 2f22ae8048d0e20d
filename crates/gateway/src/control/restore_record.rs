//! Reads and writes the store's record that its last restore is not recent.

use std::time::Duration;

use crate::{
    control::{SharedControl, backoff, store_client},
    store::{
        StoreClient, StoreError,
        restore_record::{read_restore_record, write_restore_record},
    },
};

/// Interval at which this host checks whether it needs the record, or should write it.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum delay after a failed call, before jitter.
const MAX_RECORD_BACKOFF: Duration = Duration::from_secs(6);

/// Maximum delay after a failed call while this host waits for the record.
const MAX_WAITING_BACKOFF: Duration = Duration::from_millis(800);

/// Reads the record while this host's state is not verified, and writes it once the store has again
/// what a restore has lost. Never returns.
pub async fn maintain_restore_record(state: SharedControl) {
    let mut client = store_client(&state);
    let mut backoff = backoff(state.borrow().shared(), 0x6666).with_max_delay(MAX_RECORD_BACKOFF);
    let eras = state.borrow().eras().clone();
    eras.wait_until_later(0).await;
    loop {
        let delay = match update_restore_record(&state, &mut client).await {
            Ok(()) => {
                backoff.reset();
                backoff.jitter(CHECK_INTERVAL)
            }
            Err(error) => {
                log::debug!("failed to read or write the restore record: {error}");
                let delay = backoff.next_delay();
                let is_waiting = state.borrow().needs_restore_record();
                if is_waiting { delay.min(MAX_WAITING_BACKOFF) } else { delay }
            }
        };
        tokio::time::sleep(delay).await;
    }
}

async fn update_restore_record(
    state: &SharedControl,
    client: &mut StoreClient,
) -> Result<(), StoreError> {
    let is_reading = state.borrow().needs_restore_record();
    if !is_reading && !state.borrow().should_write_restore_record() {
        return Ok(());
    }
    let requested_at = state.borrow().shared().clock.now();
    let recorded_era = read_restore_record(client).await?;
    state.borrow_mut().apply_restore_record(recorded_era, requested_at);
    let era = state.borrow().eras().current();
    if !state.borrow().should_write_restore_record() {
        return Ok(());
    }
    write_restore_record(client, era).await?;
    state.borrow_mut().apply_restore_record(era, requested_at);
    Ok(())
}
