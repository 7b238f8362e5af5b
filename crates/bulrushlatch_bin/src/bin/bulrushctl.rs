//! The `bulrushctl` program: publishes settings and shows the state of a site.

use std::process::ExitCode;

use bulrushlatch_ctl::{commands, flags::Bulrushctl};

fn main() -> ExitCode {
    match commands::run(Bulrushctl::from_env_or_exit()) {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bulrushctl: {error}");
            ExitCode::FAILURE
        }
    }
}
