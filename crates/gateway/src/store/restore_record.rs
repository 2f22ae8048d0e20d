//! The hosts' record that the store has again what its last restore had lost.
//!
//! It names the store's era. The copy that a store is restored from has the record of an earlier era
//! or none. So a host that starts and finds the record of the current era knows that the last restore
//! was long enough ago.

use reelreel_core::id::StoreEra;

use crate::{
    codec::KeyedTopic,
    store::{StoreClient, StoreError, follow::CALL_TIMEOUT},
};

/// The key of the record. Its value is the era in decimal digits.
const RECORD_KEY: &str = "settled-era";

/// Reads the record; returns its era, or zero if there is none.
///
/// # Errors
/// Returns that the call failed.
pub async fn read_restore_record(client: &mut StoreClient) -> Result<StoreEra, StoreError> {
    let call = client.codec().encode_snapshot_request(KeyedTopic::Hosts, None);
    let response = client.call(&call, CALL_TIMEOUT).await?;
    let page = client.codec().decode_snapshot_page(&response)?;
    let record = page.records.iter().find(|record| record.key == RECORD_KEY);
    let digits = record.and_then(|record| std::str::from_utf8(&record.value).ok());
    Ok(digits.and_then(|digits| digits.parse().ok()).unwrap_or_default())
}

/// Writes the record of an era.
///
/// # Errors
/// Returns that the call failed; the record may have been written.
pub async fn write_restore_record(
    client: &mut StoreClient,
    era: StoreEra,
) -> Result<(), StoreError> {
    let codec = client.codec();
    let call = codec.encode_append(KeyedTopic::Hosts, RECORD_KEY, era.to_string().as_bytes());
    let response = client.call(&call, CALL_TIMEOUT).await?;
    Ok(client.codec().check_append(&response)?)
}
