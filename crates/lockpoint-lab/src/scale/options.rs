//! What a scale run is asked for, from the command line.

use std::path::PathBuf;

use clap::Args;
use lockpoint::interface::Span;

use super::control_plane::MakeControlPlane;
use super::replicated;
use super::scenario::{Fault, FAULTS};
use crate::under_test::LabError;

/// The sizes of a whole run.
const SIZES: [u16; 6] = [50, 100, 200, 400, 800, 1_400];
/// Real processes that one run may have at most.
const MOST_REAL: u16 = 300;
/// Fleets of up to so many controllers are measured for the whole time asked for, and get all calls asked for.
const WHOLE_UP_TO: u16 = 400;
/// The largest ones are measured for so many seconds at least.
const LEAST_SECONDS: f64 = 8.0;
/// The plan's services for each controller: 220 for 1,400.
const SERVICES_OF_PLAN: (u32, u32) = (220, 1_400);

/// What spreads changes of configuration and membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PlaneChoice {
    /// Nothing.
    None,
    /// `lockpoint::replication`.
    Replication,
}

impl PlaneChoice {
    /// What makes it.
    pub fn make(self) -> Option<MakeControlPlane> {
        match self {
            PlaneChoice::None => None,
            PlaneChoice::Replication => Some(replicated::make()),
        }
    }

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            PlaneChoice::None => "none",
            PlaneChoice::Replication => "replication",
        }
    }
}

/// What to run.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Controllers; the sizes of `--sizes` where it is not given.
    #[arg(long)]
    pub controllers: Option<u16>,
    /// The sizes to measure one after the other.
    #[arg(long, value_delimiter = ',', default_values_t = SIZES)]
    pub sizes: Vec<u16>,
    /// Call servers; as many as controllers where it is not given.
    #[arg(long)]
    pub servers: Option<u16>,
    /// Services that the call servers carry; in the plan's proportion where it is not given.
    #[arg(long)]
    pub services: Option<u16>,
    /// Regions.
    #[arg(long, default_value_t = 3)]
    pub regions: u16,
    /// Zones in all regions together.
    #[arg(long, default_value_t = 6)]
    pub zones: u16,
    /// Real processes beside the hollow controllers, in a run of its own at the pace of real time; 0: none.
    #[arg(long, default_value_t = 0)]
    pub real: u16,
    /// Hollow controllers beside the real ones.
    #[arg(long, default_value_t = 60)]
    pub beside_real: u16,
    /// The faults to run.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = FAULTS)]
    pub faults: Vec<Fault>,
    /// Simulated seconds measured for each fault, after the warm-up; larger fleets than 400 are measured for less.
    #[arg(long, default_value_t = 24.0)]
    pub seconds: f64,
    /// Seconds within which the whole fleet starts.
    #[arg(long, default_value_t = 1.0)]
    pub start_seconds: f64,
    /// Calls a second that come to each controller; larger fleets than 400 get fewer.
    #[arg(long, default_value_t = 1.0)]
    pub calls: f64,
    /// What spreads changes of configuration and membership.
    #[arg(long, value_enum, default_value_t = PlaneChoice::None)]
    pub control_plane: PlaneChoice,
    /// For all draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Threads for independent runs.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Where the table and the chart go.
    #[arg(long, default_value = "target/scale")]
    pub out: PathBuf,
}

/// The options of a command line that names none.
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

    /// Call servers beside so many controllers.
    pub fn servers_for(&self, controllers: u16) -> u16 {
        self.servers.unwrap_or(controllers)
    }

    /// Services of a fleet of so many controllers.
    pub fn services_for(&self, controllers: u16) -> u16 {
        let (services, of) = SERVICES_OF_PLAN;
        let in_proportion = (u32::from(controllers) * services / of).max(2) as u16;
        self.services.unwrap_or(in_proportion)
    }

    /// Seconds measured of a fleet of so many controllers: the cost of a simulated second grows with their square.
    pub fn seconds_for(&self, controllers: u16) -> f64 {
        let share = f64::from(WHOLE_UP_TO) / f64::from(controllers.max(1));
        (self.seconds * share.min(1.0)).max(self.seconds.min(LEAST_SECONDS))
    }

    /// Calls a second that come to each of so many controllers. The decisions take time for each call server that is
    /// listed, so that more calls of a large fleet are beyond what a run can last.
    pub fn calls_for(&self, controllers: u16) -> f64 {
        let share = f64::from(WHOLE_UP_TO) / f64::from(controllers.max(1));
        self.calls * share.min(1.0).powi(2)
    }

    /// The time within which the whole fleet starts.
    pub fn starts_within(&self) -> Span {
        Span::from_secs(self.start_seconds)
    }

    /// Says which option cannot be meant.
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
        if self.real > MOST_REAL {
            return wrong("real", "more than 300 processes");
        }
        if !(8.0..=3_600.0).contains(&self.seconds) || !(0.01..=1_000.0).contains(&self.calls) {
            return wrong("seconds", "not from 8 to 3600, or calls not from 0.01 to 1000 a second");
        }
        Ok(())
    }
}
