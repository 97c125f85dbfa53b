//! `lockpoint store`: inspects the records of a controller that is not running.

use std::path::Path;

use lockpoint_store::{Store, StoreError};

use crate::recovery::records::Records;

/// Formats the statistics of the store, as one line or as JSON.
pub fn info(file: &Path, json: bool) -> Result<String, StoreError> {
    let info = open_existing(file)?.info()?;
    if json {
        return Ok(serde_json::to_string(&info).unwrap_or_default());
    }
    Ok(format!(
        "{}: {} batches, {} items of {} bytes, {} bytes of overhead",
        file.display(),
        info.sequence,
        info.items,
        info.stored_bytes,
        info.overhead_bytes
    ))
}

/// Verifies all checksums, and that every record can be read.
pub fn verify(file: &Path, json: bool) -> Result<(bool, String), StoreError> {
    let mut store = open_existing(file)?;
    let checksums = store.verify()?;
    let unreadable = read_records(&store)?.unreadable;
    let ok = checksums && unreadable == 0;
    if json {
        let text = serde_json::json!({"ok": ok, "checksums": checksums, "unreadable": unreadable});
        return Ok((ok, text.to_string()));
    }
    let checksums =
        if checksums { "all checksums match" } else { "checksum mismatch, restored to the last valid state" };
    Ok((ok, format!("{}: {checksums}; {unreadable} records cannot be read", file.display())))
}

/// Formats the records, one per line.
pub fn dump(file: &Path, json: bool) -> Result<String, StoreError> {
    let records = read_records(&open_existing(file)?)?;
    let mut lines = Vec::new();
    for (sid, call) in &records.calls {
        lines.push(match json {
            true => serde_json::json!({"call": sid.as_str(), "stands": call}).to_string(),
            false => format!(
                "call {sid} established at {} since {} ms, number {}",
                call.host, call.since_ms, call.number
            ),
        });
    }
    for (sid, cause) in &records.pending_releases {
        lines.push(match json {
            true => serde_json::json!({"call": sid.as_str(), "owed": cause}).to_string(),
            false => format!("call {sid} has a pending release with cause {cause}"),
        });
    }
    for record in &records.directory {
        lines.push(match json {
            true => serde_json::json!({"listed": record}).to_string(),
            false => {
                let entry = &record.entry;
                format!(
                    "{} {} {:?} listed {} ms, started {} ms",
                    entry.host, entry.address, entry.state, record.listed_ms, entry.started_ms
                )
            }
        });
    }
    Ok(lines.join("\n"))
}

/// Opens a store that exists; inspecting one must not create it.
fn open_existing(file: &Path) -> Result<Store, StoreError> {
    match file.exists() {
        true => Store::open(file),
        false => Err(StoreError::Storage(format!("{}: no such file", file.display()))),
    }
}

fn read_records(store: &Store) -> Result<Records, StoreError> {
    let items = store.scan(b"")?;
    Ok(Records::read(items.iter().map(|(key, value)| (key.as_slice(), value.as_slice()))))
}
