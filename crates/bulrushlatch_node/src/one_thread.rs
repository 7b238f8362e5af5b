//! Single-threaded runtime of a process.

use std::{fmt::Debug, future::Future, process::ExitCode};

use tokio::{runtime::Builder, task::LocalSet};

use crate::busy_time;

/// Runs a process on the current thread until it ends; prints an error to standard error.
pub fn run<E: Debug>(name: &str, process: impl Future<Output = Result<(), E>>) -> ExitCode {
    let mut builder = Builder::new_current_thread();
    builder.on_thread_park(busy_time::record_park).on_thread_unpark(busy_time::record_unpark);
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: cannot set up the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, process) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error:?}");
            ExitCode::FAILURE
        }
    }
}
