//! `lockpoint store`: looks into the records of a controller that does not run.

use std::path::Path;

use lockpoint_store::{Store, StoreError};

use crate::recovery::records::Found;

/// What is there, in a line or as JSON.
pub fn info(file: &Path, json: bool) -> Result<String, StoreError> {
    let info = existing(file)?.info()?;
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

/// Whether all checksums fit, and every record can be read.
pub fn verify(file: &Path, json: bool) -> Result<(bool, String), StoreError> {
    let mut store = existing(file)?;
    let sums = store.verify()?;
    let unreadable = found(&store)?.unreadable;
    let ok = sums && unreadable == 0;
    if json {
        let text = serde_json::json!({"ok": ok, "checksums": sums, "unreadable": unreadable});
        return Ok((ok, text.to_string()));
    }
    let sums = if sums {
        "all checksums fit"
    } else {
        "checksums did not fit: it was brought back to the last state that does"
    };
    Ok((ok, format!("{}: {sums}; {unreadable} records cannot be read", file.display())))
}

/// The records, one a line.
pub fn dump(file: &Path, json: bool) -> Result<String, StoreError> {
    let found = found(&existing(file)?)?;
    let mut lines = Vec::new();
    for (sid, call) in &found.calls {
        lines.push(match json {
            true => serde_json::json!({"call": sid.as_str(), "stands": call}).to_string(),
            false => format!(
                "call {sid} stands at {} since {} ms, number {}",
                call.host, call.since_ms, call.number
            ),
        });
    }
    for (sid, cause) in &found.owed {
        lines.push(match json {
            true => serde_json::json!({"call": sid.as_str(), "owed": cause}).to_string(),
            false => format!("call {sid} owes a release with cause {cause}"),
        });
    }
    for kept in &found.list {
        lines.push(match json {
            true => serde_json::json!({"listed": kept}).to_string(),
            false => {
                let line = &kept.line;
                format!(
                    "{} {} {:?} told {} ms, born {} ms",
                    line.host, line.address, line.state, kept.told_ms, line.started_ms
                )
            }
        });
    }
    Ok(lines.join("\n"))
}

/// A store that is there: looking must not make one.
fn existing(file: &Path) -> Result<Store, StoreError> {
    match file.exists() {
        true => Store::open(file),
        false => Err(StoreError::Storage(format!("{}: there is no such file", file.display()))),
    }
}

fn found(store: &Store) -> Result<Found, StoreError> {
    let items = store.scan(b"")?;
    Ok(Found::read(items.iter().map(|(key, value)| (key.as_slice(), value.as_slice()))))
}
