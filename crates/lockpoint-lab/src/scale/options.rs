//! What a scale run is asked for, from the command line.

use std::path::PathBuf;

use clap::Args;

use super::scenario::{Fault, FAULTS};
use crate::under_test::LabError;

/// Real processes and hollow controllers that one run may have at most.
const MOST_REAL: u16 = 300;
/// The plan's services for each controller: 220 for 1,400.
const SERVICES_OF_PLAN: (u32, u32) = (220, 1_400);

/// What to run.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Controllers; the sizes of `--sizes` where it is not given.
    #[arg(long)]
    pub controllers: Option<u16>,
    /// The sizes to measure one after the other.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 100, 200, 400, 800, 1_400])]
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
    /// Simulated seconds measured for each fault, after the warm-up.
    #[arg(long, default_value_t = 24.0)]
    pub seconds: f64,
    /// Calls a second that come to each controller.
    #[arg(long, default_value_t = 1.0)]
    pub calls: f64,
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

    /// Says which option cannot be meant.
    pub fn check(&self) -> Result<(), LabError> {
        let wrong = |option: &str, why: &str| Err(LabError::Serves(format!("at option '--{option}': {why}")));
        if self.all_sizes().iter().any(|size| !(6..=20_000).contains(size)) {
            return wrong("controllers", "not from 6 to 20000");
        }
        if self.servers == Some(0) || self.services == Some(0) {
            return wrong("servers", "a fleet needs call servers and services");
        }
        if self.regions == 0 || self.zones < self.regions {
            return wrong("zones", "fewer than regions, or none");
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
