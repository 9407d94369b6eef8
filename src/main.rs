//! The `radishpin` binary; everything it does is in the library beside it.

use mimalloc::MiMalloc;
use std::process::ExitCode;

/// A request allocates on several threads; this allocator has them wait for each other less.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    radishpin_cli::main()
}
