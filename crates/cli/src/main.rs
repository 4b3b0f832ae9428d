//! `balsamjunction`: the operators' command-line tool.

use std::process::ExitCode;

use balsamjunction_cli::{cli, error::CliError, run};

fn main() -> ExitCode {
    match run(std::env::args_os(), &mut std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Help) => {
            println!("{}", cli::HELP);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
