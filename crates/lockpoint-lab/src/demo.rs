//! The demonstration: an agent with an operator's file, simulated peers at the addresses in that file, and calls over both
//! protocols.

use std::path::Path;

use lockpoint::config::{from_file, ConfigError};

use crate::experiment::{Burst, Experiment, ServerConfig, ServerProtocol};
use crate::processor::ProcessorConfig;
use crate::results::Outcome;
use crate::run::{run_on, OutputOptions, TestBed};
use crate::under_test::{sibling_program, Agent, LabError};

/// Runs the demonstration: `seconds` at 80% of the call servers' capacity, then as many at 120%.
pub async fn run(config: &Path, seconds: f64) -> Result<Outcome, LabError> {
    let config_file = from_file(config).map_err(|error| match error {
        ConfigError::Key { file, key, why } => LabError::file(&file, format!("at key '{key}': {why}")),
        other => LabError::file(config, other),
    })?;
    let first = &config_file.instances[0];
    let missing = |key: &str| LabError::file(config, format!("instance '{}' has no '{key}'", first.name));
    let bulletin = first.bulletin.ok_or_else(|| missing("bulletin"))?;
    let resolver = first.dns_sd.as_ref().ok_or_else(|| missing("dns_sd"))?.resolver;
    let server = |(n, protocol)| {
        let processor = ProcessorConfig { capacity: 40.0, ..ProcessorConfig::default() };
        ServerConfig { name: format!("server{n}"), protocol, processor }
    };
    let protocols = [ServerProtocol::Sip, ServerProtocol::Sip, ServerProtocol::Iax2, ServerProtocol::Iax2];
    let experiment = Experiment {
        name: "demo: 80%, then 120%".to_owned(),
        seed: 1,
        seconds: 2.0 * seconds,
        load: 0.8,
        callers: Default::default(),
        path: Default::default(),
        hold_ms: 4_000,
        aim_ms: 2_000,
        server: protocols.into_iter().enumerate().map(server).collect(),
        fault: Vec::new(),
        burst: vec![Burst { at: seconds, seconds, factor: 1.5 }],
        flood: None,
        iax2: Default::default(),
    };
    let test_bed = TestBed::start(&experiment, bulletin, resolver).await?;
    let agent = Agent::start(&sibling_program("lockpoint"), config, &config_file.control, false)?;
    println!("lockpoint agent --config {}: process {}", config.display(), agent.pid);
    run_on(&experiment, test_bed, agent, &first.name, OutputOptions { live: true, trace: None }).await
}
