//! The daemon of balsamjunction, `balsamjunctiond`: runs an entry, sidecar, gateway or stager.

use std::process::ExitCode;

use balsamjunction_daemon::{cli, error::DaemonError, run};

fn main() -> ExitCode {
    match run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(DaemonError::Help) => {
            println!("{}", cli::HELP);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("balsamjunctiond: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
