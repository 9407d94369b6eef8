//! Threads and tasks of a process, over `smol`.

mod isolated;
mod runtime;
mod timeout;

pub use isolated::IsolatedRuntime;
pub use runtime::Runtime;
pub use timeout::timeout;
