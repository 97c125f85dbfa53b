//! Propagation time of an observation between real processes: from the moment at which a call server refuses a call until
//! the relay has delivered a datagram with that observation to each peer.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use lockpoint::fleet::Key;
use serde_json::json;

use super::mesh::TrackedObservation;
use super::processes::{settings, Processes};
use crate::bulletin::{list_entry, Bulletin};
use crate::callers::Caller;
use crate::event_log::{EventKind, EventLog};
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::LabError;

/// A peer that has not received the observation by then is counted as never.
const LIMIT: Duration = Duration::from_secs(5);

/// Measures fleets of these sizes, with `refusals` refusals at each loss rate; returns the numbers of passed and failed
/// ones. A measurement fails if a peer has not received the observation within 5 s.
pub async fn run(
    program: &Path,
    sizes: &[u16],
    refusals: u16,
    seed: u64,
) -> Result<(usize, usize), LabError> {
    println!(
        "{:>9} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "processes", "lost", "refusals", "p50 ms", "p99 ms", "max ms", "never"
    );
    let (mut passed, mut failed) = (0, 0);
    for &controllers in sizes {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        // One call server that answers, and one more for each refusal: no controller has observed that one before.
        let losses = [0.0, 0.1, 0.3];
        let servers = 1 + refusals * losses.len() as u16;
        let mut all = Vec::new();
        for n in 0..servers {
            all.push(
                SipServer::start(&world, &format!("s{n}"), ServerBehaviour::Answer("v=0\r\n".into())).await,
            );
        }
        let lines = all.iter().zip(0..).map(|(server, n)| list_entry(&server.name, server.at, n, "ready"));
        bulletin.publish(true, lines.collect());
        let shares = Some(json!({}));
        let fleet = Processes::start(program, controllers, bulletin.at, &settings(), shares, seed).await?;
        let mut no = 0;
        for loss in losses {
            fleet.mesh.links.borrow_mut().loss = loss;
            let (mut times, mut missed_total) = (Vec::new(), 0);
            for refusal in 0..refusals {
                no += 1;
                let me = (u64::from(refusal) * 7 + seed) as u16 % controllers;
                let key = Key::of(&format!("s{no}"));
                *fleet.mesh.tracked.borrow_mut() =
                    Some(TrackedObservation { key, origin: me, received_at: BTreeMap::new() });
                let reason = "P-Reason: queue_long\r\nP-Line-Ms: 3000\r\n";
                *all[usize::from(no)].behaviour.borrow_mut() = ServerBehaviour::Refuse(503, reason.into());
                let at = fleet
                    .client_address(me)
                    .ok_or_else(|| LabError::NotServing(format!("c{me} is not running")))?;
                let caller = Caller::connect(&world, "caller", at).await;
                let sid = Sid::from_number(0x5000 + u64::from(no)).to_string();
                caller.open(&sid, 5_000, no, "v=0\r\n").await;
                let name = format!("s{no}");
                let refused = world
                    .wait_for("it refuses", |s| s.source == name && s.kind == EventKind::Refused)
                    .await
                    .at;
                let received =
                    || fleet.mesh.tracked.borrow().as_ref().map_or(0, |tracked| tracked.received_at.len());
                let end = Instant::now() + LIMIT;
                while received() < usize::from(controllers) - 1 && Instant::now() < end {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                let missing = usize::from(controllers) - 1 - received();
                missed_total += missing;
                (passed, failed) = (passed + usize::from(missing == 0), failed + usize::from(missing > 0));
                let tracked = fleet.mesh.tracked.borrow_mut().take();
                let received_at = tracked.into_iter().flat_map(|tracked| tracked.received_at.into_values());
                times.extend(received_at.map(|at| at.saturating_duration_since(refused).as_millis()));
            }
            times.sort_unstable();
            let percentile = |share: f64| {
                times.get((times.len().saturating_sub(1) as f64 * share) as usize).copied().unwrap_or(0)
            };
            println!(
                "{controllers:>9} {:>5.0}% {refusals:>8} {:>8} {:>8} {:>8} {missed_total:>7}",
                loss * 100.0,
                percentile(0.5),
                percentile(0.99),
                percentile(1.0)
            );
        }
        fleet.stop().await;
    }
    Ok((passed, failed))
}
