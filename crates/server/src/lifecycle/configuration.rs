//! Loading of the configuration and the settings.

use puffinladder_settings::{
    parse_server_config, parse_settings, ConfigError, LogFormat, ServerConfig, Settings, SettingsError,
};
use std::io;
use thiserror::Error;

/// Error in loading the configuration or the settings.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// No configuration file is named.
    #[error("BALANCER_CONFIG is not set: should name the configuration file")]
    NotNamed,
    /// The configuration file cannot be read.
    #[error("BALANCER_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// System error.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The settings file cannot be read.
    #[error("cannot read settings {path}: {source}")]
    SettingsUnreadable {
        /// Path of the file.
        path: String,
        /// System error.
        source: io::Error,
    },
    /// The settings are invalid; the message has one line per fault.
    #[error(transparent)]
    SettingsInvalid(#[from] SettingsError),
}

/// Command-line options. Environment variables are used for options that are absent.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the JSON configuration, by default `BALANCER_CONFIG`.
    pub config: Option<String>,
    /// Path of the settings file, by default `PUFFINLADDER_SETTINGS`. Without either, default settings apply.
    pub settings: Option<String>,
    /// Overrides the log format of the settings.
    pub log_format: Option<LogFormat>,
    /// Overrides the log filter of the settings.
    pub log_filter: Option<String>,
}

/// Loads the settings and applies the options that override them.
///
/// # Errors
///
/// Fails if the settings file cannot be read or is invalid.
pub fn load_settings(options: &Options) -> Result<Settings, ConfigurationError> {
    let path = options.settings.clone().or_else(|| environment_variable("PUFFINLADDER_SETTINGS"));
    let mut settings = match path {
        None => Settings::default(),
        Some(path) => load_settings_file(path)?,
    };
    settings.log.format = options.log_format.unwrap_or(settings.log.format);
    settings.log.filter = options.log_filter.clone().or(settings.log.filter);
    Ok(settings)
}

fn load_settings_file(path: String) -> Result<Settings, ConfigurationError> {
    match std::fs::read_to_string(&path) {
        Err(source) => Err(ConfigurationError::SettingsUnreadable { path, source }),
        Ok(text) => Ok(parse_settings(&path, &text)?),
    }
}

/// Source of the configuration, read at startup and on each reload.
pub struct ConfigurationSource {
    path: String,
    name: Option<String>,
    listen: Option<String>,
}

impl ConfigurationSource {
    /// Returns the source named by the options or the environment.
    pub fn locate(options: &Options) -> Result<ConfigurationSource, ConfigurationError> {
        let path = options.config.clone().or_else(|| environment_variable("BALANCER_CONFIG"));
        let path = path.ok_or(ConfigurationError::NotNamed)?;
        Ok(ConfigurationSource {
            path,
            name: environment_variable("BALANCER_NAME"),
            listen: environment_variable("BALANCER_LISTEN"),
        })
    }

    /// Reads and validates the configuration.
    pub fn load(&self) -> Result<ServerConfig, ConfigurationError> {
        let text = std::fs::read(&self.path)
            .map_err(|source| ConfigurationError::Unreadable { path: self.path.clone(), source })?;
        Ok(parse_server_config(&text, self.name.as_deref(), self.listen.as_deref())?)
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
