//! Metrics for operators: requests by class and ending, attempts, and the present state.

use std::fmt::Write;
use std::rc::Rc;

use crate::core::FleetView;
use crate::fleet::credit_transfer::CreditCounts;
use crate::fleet::failure_detector::PeerCounts;
use crate::fleet::FleetCounts;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The call was established.
    Completed,
    /// Refused; the caller may safely try again.
    Rejected,
    /// Failed.
    Failed,
}

/// Number of requests of each class by ending. Only the classes of the settings are counted, so that callers cannot add
/// metrics by made-up class names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetrics(Vec<(Rc<str>, [u64; 3])>);

impl RequestMetrics {
    /// Zero counts for these classes, in the order of the settings.
    pub fn for_classes(classes: &[Rc<str>]) -> RequestMetrics {
        RequestMetrics(classes.iter().map(|class| (class.clone(), [0; 3])).collect())
    }

    /// Counts a request of the class with this index.
    pub fn record(&mut self, class: usize, ending: Ending) {
        if let Some((_, counts)) = self.0.get_mut(class) {
            counts[ending as usize] += 1;
        }
    }

    /// Number of requests of a class with this ending.
    pub fn count(&self, class: &str, ending: Ending) -> u64 {
        self.0.iter().filter(|(name, _)| &**name == class).map(|(_, counts)| counts[ending as usize]).sum()
    }
}

/// Gauges of the present state, and the protocol adapters' count of attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Attempts written completely to call servers.
    pub upstream_requests: u64,
    /// Requests accepted and not ended: pending calls and established calls.
    pub pending: usize,
    /// Call servers listed.
    pub members: usize,
    /// Listed call servers that the decision module avoids.
    pub members_unavailable: usize,
}

/// Formats the metrics, one per line.
pub fn format_metrics(metrics: &RequestMetrics, gauges: &Gauges) -> String {
    let mut text = String::new();
    let mut put = |name: &str, value: u64, kind: char| {
        let _ = writeln!(text, "controller.{name}:{value}|{kind}");
    };
    for (class, counts) in &metrics.0 {
        // Replaces characters that would end the name or the line.
        let class: String = class
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' })
            .collect();
        for (ending, count) in ["completed", "rejected", "failed"].into_iter().zip(counts) {
            put(&format!("downstream_requests.{class}.{ending}"), *count, 'c');
        }
    }
    put("upstream_requests", gauges.upstream_requests, 'c');
    put("pending", gauges.pending as u64, 'g');
    put("members", gauges.members as u64, 'g');
    put("members_unavailable", gauges.members_unavailable as u64, 'g');
    text
}

/// Formats the fleet's metrics, one per line: counters of datagrams and credit, the number of peers, and the newest observation
/// of each call server with its age. A call server without a recent observation has none.
pub fn format_fleet_metrics(
    counts: &FleetCounts,
    credit: &CreditCounts,
    peers: PeerCounts,
    view: &[FleetView],
) -> String {
    let mut text = String::new();
    let mut put = |name: &str, value: u64, kind: char| {
        let _ = writeln!(text, "controller.fleet.{name}:{value}|{kind}");
    };
    put("sent", counts.sent, 'c');
    put("bytes", counts.bytes, 'c');
    put("received", counts.received, 'c');
    put("dropped", counts.dropped, 'c');
    put("malformed", counts.malformed, 'c');
    put("rounds_deferred", counts.rounds_deferred, 'c');
    put("peers_alive", peers.alive as u64, 'g');
    put("peers_lost", peers.lost as u64, 'g');
    put("permits_lent_256ths", credit.lent, 'c');
    put("permits_borrowed_256ths", credit.borrowed, 'c');
    put("permits_too_late_256ths", credit.too_late, 'c');
    for FleetView { host, newest, age, own, warned, permits } in view {
        let mut put = |name: &str, value: u64| put(&format!("server.{host}.{name}"), value, 'g');
        if let Some(own) = own {
            put("own_wait_ms", own.wait.0 / 1_000);
            put("own_silent", u64::from(own.silent));
        }
        if *warned {
            put("warned", 1);
        }
        if let Some(permits) = permits {
            put("permits_milli", (permits.max(0.0) * 1e3) as u64);
        }
        let Some(newest) = newest else { continue };
        put("wait_ms", newest.wait.0 / 1_000);
        put("silent", u64::from(newest.silent));
        put("age_ms", age.0 / 1_000);
        put("origin", u64::from(newest.origin));
    }
    text
}
