//! Multi-threaded `smol` executor, coarse timeouts and executors that can be paused and killed.

mod isolated;
mod runtime;
mod signals;
mod timeout;
mod timer;

pub use isolated::IsolatedRuntime;
pub use runtime::Runtime;
pub use signals::StopSignals;
pub use timeout::timeout;
pub use timer::TICK;
