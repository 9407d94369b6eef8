//! The `radishpin` binary; everything it does is in the library beside it.

use std::process::ExitCode;

fn main() -> ExitCode {
    radishpin_cli::main()
}
