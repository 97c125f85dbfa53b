//! Command-line options of a scale run.

use std::path::PathBuf;

use clap::Args;
use lockpoint::interface::Span;

use super::control_plane::MakeControlPlane;
use super::replicated;
use super::scenario::{Fault, FAULTS};
use crate::under_test::LabError;

/// Default fleet sizes.
const SIZES: [u16; 6] = [50, 100, 200, 400, 800, 1_400];
/// Limit on the number of real processes.
const MAX_REAL: u16 = 300;
/// Fleets of up to this many controllers run for the full time and call rate of the options.
const FULL_RUN_MAX_CONTROLLERS: u16 = 400;
/// Shortest measurement of larger fleets.
const MIN_SECONDS: f64 = 8.0;
/// Default ratio of services to controllers: 220 for 1,400.
const SERVICES_PER_CONTROLLERS: (u32, u32) = (220, 1_400);

/// The module that distributes configuration and membership changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PlaneChoice {
    /// Nothing.
    None,
    /// `lockpoint::replication`.
    Replication,
}

impl PlaneChoice {
    /// Factory of the control plane.
    pub fn make(self) -> Option<MakeControlPlane> {
        match self {
            PlaneChoice::None => None,
            PlaneChoice::Replication => Some(replicated::make()),
        }
    }

    /// Name in the table.
    pub fn name(self) -> &'static str {
        match self {
            PlaneChoice::None => "none",
            PlaneChoice::Replication => "replication",
        }
    }
}

/// Options of a scale run.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Controllers; by default the sizes of `--sizes`.
    #[arg(long)]
    pub controllers: Option<u16>,
    /// The sizes to measure one after the other.
    #[arg(long, value_delimiter = ',', default_values_t = SIZES)]
    pub sizes: Vec<u16>,
    /// Call servers; by default as many as controllers.
    #[arg(long)]
    pub servers: Option<u16>,
    /// Services; by default 220 for 1,400 controllers, in proportion.
    #[arg(long)]
    pub services: Option<u16>,
    /// Regions.
    #[arg(long, default_value_t = 3)]
    pub regions: u16,
    /// Zones in all regions together.
    #[arg(long, default_value_t = 6)]
    pub zones: u16,
    /// Real processes beside simulated controllers, in a separate run in real time; 0: none.
    #[arg(long, default_value_t = 0)]
    pub real: u16,
    /// Simulated controllers beside the real ones.
    #[arg(long, default_value_t = 60)]
    pub beside_real: u16,
    /// The faults to run.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = FAULTS)]
    pub faults: Vec<Fault>,
    /// Simulated seconds measured for each fault, after the warm-up; less for fleets of more than 400.
    #[arg(long, default_value_t = 24.0)]
    pub seconds: f64,
    /// Seconds within which the whole fleet starts.
    #[arg(long, default_value_t = 1.0)]
    pub start_seconds: f64,
    /// Calls per second at each controller; fewer for fleets of more than 400.
    #[arg(long, default_value_t = 1.0)]
    pub calls: f64,
    /// Module that distributes configuration and membership changes.
    #[arg(long, value_enum, default_value_t = PlaneChoice::None)]
    pub control_plane: PlaneChoice,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Threads for independent runs.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Directory for the table and the chart.
    #[arg(long, default_value = "target/scale")]
    pub out: PathBuf,
}

/// The defaults of the command line.
impl Default for Options {
    fn default() -> Self {
        Options {
            controllers: None,
            sizes: SIZES.to_vec(),
            servers: None,
            services: None,
            regions: 3,
            zones: 6,
            real: 0,
            beside_real: 60,
            faults: FAULTS.to_vec(),
            seconds: 24.0,
            start_seconds: 1.0,
            calls: 1.0,
            control_plane: PlaneChoice::None,
            seed: 1,
            threads: 3,
            out: PathBuf::from("target/scale"),
        }
    }
}

impl Options {
    /// The sizes to measure.
    pub fn all_sizes(&self) -> Vec<u16> {
        self.controllers.map_or_else(|| self.sizes.clone(), |size| vec![size])
    }

    /// Number of call servers for a fleet of this size.
    pub fn servers_for(&self, controllers: u16) -> u16 {
        self.servers.unwrap_or(controllers)
    }

    /// Number of services for a fleet of this size.
    pub fn services_for(&self, controllers: u16) -> u16 {
        let (services, of) = SERVICES_PER_CONTROLLERS;
        let in_proportion = (u32::from(controllers) * services / of).max(2) as u16;
        self.services.unwrap_or(in_proportion)
    }

    /// Seconds measured for a fleet of this size: the cost of a simulated second grows with the square of the size.
    pub fn seconds_for(&self, controllers: u16) -> f64 {
        let share = f64::from(FULL_RUN_MAX_CONTROLLERS) / f64::from(controllers.max(1));
        (self.seconds * share.min(1.0)).max(self.seconds.min(MIN_SECONDS))
    }

    /// Calls per second at each controller of a fleet of this size. The time of a decision grows with the number of listed
    /// call servers, so large fleets get fewer calls to bound the duration of a run.
    pub fn calls_for(&self, controllers: u16) -> f64 {
        let share = f64::from(FULL_RUN_MAX_CONTROLLERS) / f64::from(controllers.max(1));
        self.calls * share.min(1.0).powi(2)
    }

    /// The time within which the whole fleet starts.
    pub fn start_window(&self) -> Span {
        Span::from_secs(self.start_seconds)
    }

    /// Rejects options that are out of range.
    pub fn check(&self) -> Result<(), LabError> {
        let wrong =
            |option: &str, why: &str| Err(LabError::NotServing(format!("at option '--{option}': {why}")));
        if self.all_sizes().iter().any(|size| !(6..=20_000).contains(size)) {
            return wrong("controllers", "not from 6 to 20000");
        }
        if self.servers == Some(0) || self.services == Some(0) {
            return wrong("servers", "a fleet needs call servers and services");
        }
        if self.regions == 0 || self.zones < self.regions {
            return wrong("zones", "fewer than regions, or none");
        }
        if !(0.0..=600.0).contains(&self.start_seconds) {
            return wrong("start-seconds", "not from 0 to 600");
        }
        if self.real > MAX_REAL {
            return wrong("real", "more than 300 processes");
        }
        if !(8.0..=3_600.0).contains(&self.seconds) || !(0.01..=1_000.0).contains(&self.calls) {
            return wrong("seconds", "not from 8 to 3600, or calls not from 0.01 to 1000 a second");
        }
        Ok(())
    }
}
