//! Entry point of the quillcove binary: parses the command line and runs the chosen command.

#![deny(clippy::all)]

use std::process::ExitCode;

mod run;

fn main() -> ExitCode {
    let matches = quillcove::cli::command().get_matches();
    match run::run(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quillcove: {error:#}");
            ExitCode::FAILURE
        },
    }
}
