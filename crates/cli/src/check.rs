//! `puffinladder check`: what a file says, and what holds by it.

use crate::say::{Done, Wrong};
use puffinladder_settings::{parse_server_config, parse_settings};
use std::io::Write;
use std::path::Path;

pub fn check(file: &Path) -> Done {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Wrong::Failed(format!("{name}: {e}")))?;
    // JSON is an object; settings begin with a list or a comment.
    if text.trim_start().starts_with('{') {
        let told = |name: &str| std::env::var(name).ok();
        let (named, listen) = (told("BALANCER_NAME"), told("BALANCER_LISTEN"));
        let warrant = parse_server_config(text.as_bytes(), named.as_deref(), listen.as_deref())
            .map_err(|what| Wrong::Asked(format!("{name}: {what}")))?;
        writeln!(std::io::stdout(), "{warrant:#?}")?;
        return Ok(());
    }
    let settings = parse_settings(&name, &text).map_err(|error| Wrong::Asked(error.to_string()))?;
    write!(std::io::stdout(), "{settings}")?;
    Ok(())
}
