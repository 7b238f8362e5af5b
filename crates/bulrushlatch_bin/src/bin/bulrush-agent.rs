//! The `bulrush-agent` program: runs an agent until SIGTERM or SIGINT.

use std::process::ExitCode;

use bulrushlatch_agent::{flags::BulrushAgent, process::AgentProcess, settings::AgentSettings};
use bulrushlatch_runtime::{
    logging::{LogOutput, init_logging},
    shutdown::shutdown_token,
    start_error::StartError,
};
use error_stack::{Report, ResultExt};

fn main() -> ExitCode {
    let settings = match AgentSettings::from_flags(BulrushAgent::from_env_or_exit()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("bulrush-agent: {error}");
            return ExitCode::from(2);
        }
    };
    // Writes the remaining log lines when dropped.
    let _log_guard = init_logging(settings.log_format, &settings.log_level, LogOutput::Stdout);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrush-agent: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: AgentSettings) -> Result<(), Report<StartError>> {
    let token = shutdown_token().change_context(StartError::ProcessSetup)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.change_context(StartError::ProcessSetup)?;
    AgentProcess::start(settings, runtime.handle(), token)?.join();
    runtime.shutdown_background();
    Ok(())
}
