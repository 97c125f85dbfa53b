//! The session controller, its agent and its tool: see `lockpoint --help`.

fn main() -> std::process::ExitCode {
    lockpoint::cli::main()
}
