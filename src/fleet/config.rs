//! Settings of one controller's membership in the fleet.

use crate::interface::Span;

/// Gossip rounds added to the expected number, to reach peers missed by the random choice of recipients.
const EXTRA_ROUNDS: u8 = 2;

/// Configuration of one controller's membership in the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Index of this controller among all controllers.
    pub me: u16,
    /// Number of controllers, this one included.
    pub controllers: u16,
    /// Distinguishes this run of the process from earlier ones: wall clock at its start, in milliseconds.
    pub incarnation: u32,
    /// Seed for the random choice of gossip recipients.
    pub seed: u64,
    /// Recipients of each gossip round.
    pub fanout: u16,
    /// Time between two gossip rounds while there are updates to forward.
    pub round: Span,
    /// Limit on the average number of bytes sent per second; one second's worth may be sent as a burst.
    pub max_bytes_per_second: u32,
    /// Time after which an unchanged observation is published again, if the call server was observed again.
    pub refresh_interval: Span,
    /// Mean time between two anti-entropy exchanges, in each of which one random peer is sent the latest observations
    /// and asked for newer ones.
    pub anti_entropy_interval: Span,
    /// Age from which an observation is ignored.
    pub max_age: Span,
    /// Upper bound on the smallest one-way latency between two controllers. It is added to the age of every received
    /// observation, since clocks are not compared. If it is set too low, an observation that is forwarded in a circle
    /// appears younger each time.
    pub min_latency: Span,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            me: 0,
            controllers: 1,
            incarnation: 0,
            seed: 0,
            fanout: 3,
            round: Span::from_millis(20),
            max_bytes_per_second: 4_000,
            refresh_interval: Span::from_millis(1_000),
            anti_entropy_interval: Span::from_millis(1_000),
            max_age: Span::from_millis(5_000),
            min_latency: Span::from_millis(15),
        }
    }
}

impl FleetConfig {
    /// Number of rounds in which an observation is forwarded. With `n` controllers and fan-out `f` the number of
    /// informed controllers grows by a factor of up to `1 + f` per round, so `log(n) / log(1 + f)` rounds reach all but
    /// those missed by the random choice; two more rounds leave fewer than one in e^(2f) of them uninformed.
    pub fn gossip_rounds(&self) -> u8 {
        let growth = f64::from(self.fanout.max(1)) + 1.0;
        let expected = f64::from(self.controllers.max(2)).ln() / growth.ln();
        expected.ceil() as u8 + EXTRA_ROUNDS
    }
}
