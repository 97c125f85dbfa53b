//! Generates the scenario of one run from its seed.

use lockpoint::interface::{Cell, ClassSettings, LoadField, Settings, Span};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use crate::path::random_fraction;
use crate::processor::ProcessorConfig;

/// Target time for establishing a call.
const SETUP_TARGET: Span = Span::from_millis(2_000);
/// Length of the window in which a cold call server must not receive more set-ups than its budget.
const OVERLOAD_WINDOW_MS: u64 = 1_000;
/// Approximate limit on the calls of a run, which bounds its running time.
const MAX_CALLS: f64 = 60_000.0;
/// Smallest weight of a controller; an exponentially distributed value with mean 1 is added to it.
const MIN_WEIGHT: f64 = 0.2;

/// How the lists report a call server that stops and starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// They report it as gone, then as started.
    GoneThenReady,
    /// They report only its new start.
    RestartOnly,
}

/// Restarts of controllers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restarts {
    /// Share of the controllers that restart once.
    pub share: f64,
    /// Earliest restart, counted from the first cold start of a call server.
    pub begin: Span,
    /// Time within which all restarts happen, counted from the earliest.
    pub spread: Span,
}

/// The parameters of one run. `lockpoint-lab cold-budget --verbose` prints the names of these fields.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Capacity of each call server when warm, in calls per second.
    pub capacities: Vec<f64>,
    /// Weight of each controller's share of the calls.
    pub weights: Vec<f64>,
    /// Calls per second in regular service, as a share of the capacity of all call servers.
    pub load: f64,
    /// Factor by which the load rises once the call servers stop.
    pub burst: f64,
    /// Share of the calls, from the stop on, whose first choice is one of the stopped call servers, regardless of their
    /// capacity.
    pub drawn_to_cold: f64,
    /// Probability that a refused caller redials, and the maximum number of redials.
    pub redial: (f64, u32),
    /// Duration of regular service before the call servers stop.
    pub usual: Span,
    /// Number of call servers that stop.
    pub stopped: usize,
    /// How long a call server is down.
    pub away: Span,
    /// Time between the starts of two call servers.
    pub stagger: Span,
    /// How the lists report them.
    pub notice: Notice,
    /// Longest delay of a list update to a controller.
    pub list_late: Span,
    /// Share of the updates that are delayed further, by up to `very_late`.
    pub very_late_share: f64,
    /// Longest additional delay of these updates.
    pub very_late: Span,
    /// Restarts of controllers.
    pub restarts: Restarts,
    /// Probability that a call server answers a set-up with an error.
    pub errors: f64,
}

/// Draws a value between the two, with a uniformly distributed logarithm.
fn between_log(rng: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    (least.ln() + (most.ln() - least.ln()) * random_fraction(rng)).exp()
}

fn between(rng: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    least + (most - least) * random_fraction(rng)
}

fn span(rng: &mut Pcg64Mcg, least: f64, most: f64) -> Span {
    Span::from_secs(between(rng, least, most))
}

/// Draws one of the values.
fn one_of<T: Copy>(rng: &mut Pcg64Mcg, values: &[T]) -> T {
    values[(random_fraction(rng) * values.len() as f64) as usize]
}

impl Scenario {
    /// Generates the scenario of a seed for a fleet of `controllers`.
    pub fn draw(controllers: u16, seed: u64) -> Scenario {
        let rng = &mut Pcg64Mcg::seed_from_u64(seed ^ (u64::from(controllers) << 40));
        let servers = between_log(rng, 3.0, 24.0) as usize;
        let spread = one_of(rng, &[1.0, 1.0, 4.0, 12.0]);
        let mean = between_log(rng, 8.0, 90.0).min(MAX_CALLS / 45.0 / servers as f64);
        let capacities = (0..servers).map(|_| mean * between_log(rng, 1.0 / spread, spread).sqrt()).collect();
        let weight = |rng: &mut Pcg64Mcg| -> f64 {
            let drawn: f64 = Exp1.sample(rng);
            MIN_WEIGHT + drawn
        };
        let weights = (0..controllers).map(|_| weight(rng)).collect();
        let max_stopped = (servers as f64 * 0.6).max(1.0);
        Scenario {
            seed,
            capacities,
            weights,
            load: between(rng, 0.55, 0.95),
            burst: one_of(rng, &[1.0, 1.0, 1.2, 1.5]),
            drawn_to_cold: one_of(rng, &[0.0, 0.0, 0.3, 1.0]),
            redial: one_of(rng, &[(0.0, 0), (0.5, 2), (0.9, 4)]),
            usual: span(rng, 4.0, 14.0),
            stopped: 1 + (random_fraction(rng) * max_stopped) as usize,
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

    /// The processor model of a call server. It never fails under overload, so that all set-ups of the fleet are counted.
    pub fn processor(&self, server: usize) -> ProcessorConfig {
        let rng = &mut Pcg64Mcg::seed_from_u64(self.seed ^ 0x6d61_6368);
        ProcessorConfig {
            capacity: self.capacities[server],
            cold_share: between(rng, 0.36, 0.47),
            cold_ms: between(rng, 9_300.0, 14_000.0) as u64,
            overload_factor: f64::INFINITY,
            tip_ms: OVERLOAD_WINDOW_MS,
            ..ProcessorConfig::default()
        }
    }

    /// The settings of each controller.
    pub fn settings(&self) -> Settings {
        let processor = self.processor(0);
        let cells = Some((0..self.capacities.len()).map(|n| Cell(n as u16)).collect());
        let class = ClassSettings {
            setup_target: SETUP_TARGET,
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
            overload_time: Span::from_millis(OVERLOAD_WINDOW_MS),
            ..Settings::default()
        }
    }
}
