//! The `bulrush-entry` program: runs an entry until SIGTERM or SIGINT.

use std::process::ExitCode;

use bulrushlatch_entry::{flags::BulrushEntry, process::EntryProcess, settings::EntrySettings};
use bulrushlatch_runtime::{
    logging::{LogOutput, init_logging},
    shutdown::shutdown_token,
    start_error::StartError,
};
use error_stack::{Report, ResultExt};

fn main() -> ExitCode {
    let settings = match EntrySettings::from_flags(BulrushEntry::from_env_or_exit()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("bulrush-entry: {error}");
            return ExitCode::from(2);
        }
    };
    // Writes the remaining log lines when dropped.
    let _log_guard = init_logging(settings.log_format, &settings.log_level, LogOutput::Stdout);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrush-entry: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: EntrySettings) -> Result<(), Report<StartError>> {
    let token = shutdown_token().change_context(StartError::ProcessSetup)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.change_context(StartError::ProcessSetup)?;
    EntryProcess::start(settings, runtime.handle(), token)?.join();
    runtime.shutdown_background();
    Ok(())
}
