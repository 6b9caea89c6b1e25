//! `puffinladder check`: checks a configuration or a settings file and prints what it comes to, defaults included.

use crate::say::{Done, Wrong};
use puffinladder_settings::{parse_server_config, parse_settings};
use std::io::Write;
use std::path::Path;

pub fn check(file: &Path) -> Done {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Wrong::Failed(format!("{name}: {e}")))?;
    // JSON is an object; settings begin with a list or a comment.
    if text.trim_start().starts_with('{') {
        let variable = |name: &str| std::env::var(name).ok();
        let (instance, listen) = (variable("BALANCER_NAME"), variable("BALANCER_LISTEN"));
        let config = parse_server_config(text.as_bytes(), instance.as_deref(), listen.as_deref())
            .map_err(|error| Wrong::Asked(format!("{name}: {error}")))?;
        writeln!(std::io::stdout(), "{config:#?}")?;
        return Ok(());
    }
    let settings = parse_settings(&name, &text).map_err(|error| Wrong::Asked(error.to_string()))?;
    write!(std::io::stdout(), "{settings}")?;
    Ok(())
}
