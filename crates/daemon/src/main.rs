//! The daemon of balsamjunction: `balsamjunctiond entry` and `balsamjunctiond sidecar`.

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
