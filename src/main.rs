//! The `radishpin` binary, a thin wrapper around the `radishpin_cli` library.

use mimalloc::MiMalloc;
use std::process::ExitCode;

/// Requests allocate on several threads; this allocator has less lock contention between them.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    radishpin_cli::main()
}
