//! `balsamjunction-lab`: runs stand-ins and experiments.

use std::process::ExitCode;

use balsamjunction_lab::{cli, error::LabError, run};

fn main() -> ExitCode {
    match run(std::env::args_os()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(LabError::Help) => {
            println!("{}", cli::HELP);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("balsamjunction-lab: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
