//! Single-threaded runtime of a process.

use std::{fmt::Debug, future::Future, process::ExitCode};

use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

use crate::busy_time;

/// Runs a process on the current thread until it ends; prints an error to standard error.
pub fn run<E: Debug + 'static>(
    name: &str,
    process: impl Future<Output = Result<(), E>> + 'static,
) -> ExitCode {
    let mut builder = Builder::new_current_thread();
    builder.on_thread_park(busy_time::record_park).on_thread_unpark(busy_time::record_unpark);
    let runtime = match builder.enable_all().build_local(LocalOptions::default()) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: cannot set up the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match block_on_task(&runtime, process) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future as a task and returns its output.
///
/// The runtime wakes a task by adding it to a queue. It wakes the future passed to `block_on`, and a
/// `LocalSet`, by writing to a file descriptor, which costs two system calls for each event.
fn block_on_task<F: Future + 'static>(runtime: &LocalRuntime, future: F) -> F::Output {
    let task = runtime.spawn_local(future);
    match runtime.block_on(task) {
        Ok(output) => output,
        // The task is not cancelled before it ends, so it has panicked.
        Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
}
