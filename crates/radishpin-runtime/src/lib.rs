//! Threads and tasks of a process, over `smol`.

mod isolated;
mod runtime;
mod timeout;
mod timer;

pub use isolated::IsolatedRuntime;
pub use runtime::Runtime;
pub use timeout::timeout;
pub use timer::TICK;
