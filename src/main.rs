//! The operator's command line, `marigoldhatch`.

use std::process::ExitCode;

use clap::Parser;
use marigoldhatch::operator::run;
use marigoldhatch::operator::OperatorArguments;

fn main() -> ExitCode {
    let arguments = OperatorArguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            error.print(arguments.json);
            ExitCode::from(code)
        }
    }
}
