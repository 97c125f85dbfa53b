//! What one run is made of. Everything is drawn from the seed.

use lockpoint::interface::{Cell, ClassSettings, LoadField, Settings, Span};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::path::random_fraction;
use crate::processor::ProcessorConfig;

/// A call that stands within this is in time.
const AIM: Span = Span::from_millis(2_000);
/// The time in which a cold call server must not be sent more than its budget, in milliseconds.
const OVERLOAD_MS: u64 = 1_000;
/// Set-ups in all at most; it bounds the time of a run.
const MOST_CALLS: f64 = 60_000.0;
/// A controller gets at least this share of the mean traffic.
const LEAST_WEIGHT: f64 = 0.2;

/// How the lists speak of a call server that stops and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// They say that it is gone, then that it has started.
    GoneThenReady,
    /// They say only that it has started anew.
    RestartOnly,
}

/// Restarts of controllers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restarts {
    /// This share of the controllers restarts once.
    pub share: f64,
    /// The first one, after the first cold start.
    pub begin: Span,
    /// The last one, after the first one.
    pub spread: Span,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The seed of all draws.
    pub seed: u64,
    /// Calls a second that each call server bears when warm.
    pub capacities: Vec<f64>,
    /// Each controller's share of the calls.
    pub weights: Vec<f64>,
    /// Calls a second in usual times, as a share of what all call servers bear.
    pub load: f64,
    /// From the stop on, so many times that.
    pub burst: f64,
    /// So much of the calls ask for the call servers that are cold, whatever their size.
    pub drawn_to_cold: f64,
    /// Chance that a refused caller calls again, and how often at most.
    pub redial: (f64, u32),
    /// How long all is usual.
    pub usual: Span,
    /// So many call servers stop.
    pub stopped: usize,
    /// For how long.
    pub away: Span,
    /// Between the starts of two of them.
    pub stagger: Span,
    /// How they are spoken of.
    pub notice: Notice,
    /// The longest that a list takes to a controller.
    pub list_late: Span,
    /// This share of the controllers hears it later still, by up to `very_late`.
    pub very_late_share: f64,
    /// See above.
    pub very_late: Span,
    /// Restarts of controllers.
    pub restarts: Restarts,
    /// Chance that a call server answers a set-up with an error.
    pub errors: f64,
}

/// A value between the two, evenly by its logarithm.
fn between_log(rng: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    (least.ln() + (most.ln() - least.ln()) * random_fraction(rng)).exp()
}

fn between(rng: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    least + (most - least) * random_fraction(rng)
}

fn span(rng: &mut Pcg64Mcg, least: f64, most: f64) -> Span {
    Span::from_secs(between(rng, least, most))
}

/// One of the values.
fn one_of<T: Copy>(rng: &mut Pcg64Mcg, values: &[T]) -> T {
    values[(random_fraction(rng) * values.len() as f64) as usize]
}

impl Scenario {
    /// The run of this seed with so many controllers.
    pub fn draw(controllers: u16, seed: u64) -> Scenario {
        let rng = &mut Pcg64Mcg::seed_from_u64(seed ^ (u64::from(controllers) << 40));
        let servers = between_log(rng, 3.0, 24.0) as usize;
        let spread = one_of(rng, &[1.0, 1.0, 4.0, 12.0]);
        let mean = between_log(rng, 8.0, 90.0).min(MOST_CALLS / 45.0 / servers as f64);
        let capacities = (0..servers).map(|_| mean * between_log(rng, 1.0 / spread, spread).sqrt()).collect();
        let weight = |rng: &mut Pcg64Mcg| -> f64 {
            let drawn: f64 = Exp1.sample(rng);
            LEAST_WEIGHT + drawn
        };
        let weights = (0..controllers).map(|_| weight(rng)).collect();
        let most_stopped = (servers as f64 * 0.6).max(1.0);
        Scenario {
            seed,
            capacities,
            weights,
            load: between(rng, 0.55, 0.95),
            burst: one_of(rng, &[1.0, 1.0, 1.2, 1.5]),
            drawn_to_cold: one_of(rng, &[0.0, 0.0, 0.3, 1.0]),
            redial: one_of(rng, &[(0.0, 0), (0.5, 2), (0.9, 4)]),
            usual: span(rng, 4.0, 14.0),
            stopped: 1 + (random_fraction(rng) * most_stopped) as usize,
            away: span(rng, 0.2, 6.0),
            stagger: one_of(rng, &[Span::default(), Span::default(), Span::from_millis(700)]),
            notice: one_of(rng, &[Notice::GoneThenReady, Notice::GoneThenReady, Notice::RestartOnly]),
            list_late: span(rng, 0.03, 0.9),
            very_late_share: one_of(rng, &[0.0, 0.0, 0.2]),
            very_late: span(rng, 0.5, 5.0),
            restarts: Restarts {
                share: one_of(rng, &[0.0, 0.1, 0.33, 0.7, 1.0]),
                begin: span(rng, 0.0, 4.0),
                spread: one_of(rng, &[Span::default(), Span::from_millis(1_000), Span::from_millis(6_000)]),
            },
            errors: one_of(rng, &[0.0, 0.0, 0.1]),
        }
    }

    /// What a call server is like; it never falls, so that the sum is seen to its end.
    pub fn processor(&self, server: usize) -> ProcessorConfig {
        let rng = &mut Pcg64Mcg::seed_from_u64(self.seed ^ 0x6d61_6368);
        ProcessorConfig {
            capacity: self.capacities[server],
            cold_share: between(rng, 0.36, 0.47),
            cold_ms: between(rng, 9_300.0, 14_000.0) as u64,
            overload_factor: f64::INFINITY,
            tip_ms: OVERLOAD_MS,
            ..ProcessorConfig::default()
        }
    }

    /// What each controller is told.
    pub fn settings(&self) -> Settings {
        let processor = self.processor(0);
        let cells = Some((0..self.capacities.len()).map(|n| Cell(n as u16)).collect());
        let class = ClassSettings {
            setup_target: AIM,
            worth: 1.0,
            late_worth: 0.1,
            cells,
            ..ClassSettings::default()
        };
        Settings {
            controllers: self.weights.len() as u32,
            classes: vec![class],
            load_fields: vec![LoadField::Idle, LoadField::Circuits, LoadField::Share, LoadField::Pending],
            max_attempts: 5,
            may_cancel: true,
            may_send_retry_after: true,
            max_retry_after: Span::from_millis(2_000),
            resend_delay: Span::from_millis(500),
            tick: Span::from_millis(5),
            cold_share: processor.cold_share,
            warm_up: Span::from_millis(processor.cold_ms),
            overload_factor: 2.5,
            overload_time: Span::from_millis(OVERLOAD_MS),
            ..Settings::default()
        }
    }
}
