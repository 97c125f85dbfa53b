//! The session controller.

use std::process::ExitCode;

use lockpoint::config;
use lockpoint::instance::Bound;
use tokio::signal::unix::{signal, SignalKind};

fn main() -> ExitCode {
    let config = match config::from_platform(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("lockpoint: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lockpoint: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let bound = match Bound::open(config).await {
            Ok(bound) => bound,
            Err(error) => {
                eprintln!("lockpoint: {error}");
                return ExitCode::from(2);
            }
        };
        let Ok(mut term) = signal(SignalKind::terminate()) else { return ExitCode::FAILURE };
        let counters = bound.run(async move { term.recv().await.unwrap_or(()) }).await;
        eprintln!("{}", counters.line());
        ExitCode::SUCCESS
    })
}
