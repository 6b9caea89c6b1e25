//! `puffinladder check`: validates a configuration or a settings file and prints it with defaults.

use crate::terminal::{CommandError, CommandResult};
use puffinladder_settings::{parse_server_config, parse_settings};
use std::io::Write;
use std::path::Path;

pub fn check(file: &Path) -> CommandResult {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| CommandError::Failed(format!("{name}: {e}")))?;
    // A configuration is a JSON object; settings begin with a list or a comment.
    if text.trim_start().starts_with('{') {
        let variable = |name: &str| std::env::var(name).ok();
        let (instance, listen) = (variable("BALANCER_NAME"), variable("BALANCER_LISTEN"));
        let config = parse_server_config(text.as_bytes(), instance.as_deref(), listen.as_deref())
            .map_err(|error| CommandError::Usage(format!("{name}: {error}")))?;
        writeln!(std::io::stdout(), "{config:#?}")?;
        return Ok(());
    }
    let settings = parse_settings(&name, &text).map_err(|error| CommandError::Usage(error.to_string()))?;
    write!(std::io::stdout(), "{settings}")?;
    Ok(())
}
