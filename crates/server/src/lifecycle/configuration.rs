//! Where the configuration and the settings are read from.

use puffinladder_settings::{
    parse_server_config, parse_settings, ConfigError, LogFormat, ServerConfig, Settings, SettingsError,
};
use std::io;
use thiserror::Error;

/// Why the configuration or the settings can't be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// Nothing says where the configuration is.
    #[error("BALANCER_CONFIG should name the configuration file")]
    NotNamed,
    /// The configuration can't be read.
    #[error("BALANCER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration is wrong.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The settings can't be read.
    #[error("{path}: {source}")]
    SettingsUnreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The settings are wrong; a line for each fault.
    #[error(transparent)]
    SettingsInvalid(#[from] SettingsError),
}

/// What the command line says; the environment stands in for what it leaves open.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The platform's JSON, else `BALANCER_CONFIG`.
    pub config: Option<String>,
    /// Our own settings, else `PUFFINLADDER_SETTINGS`; without either they have their default values.
    pub settings: Option<String>,
    /// Wins over the settings' log format.
    pub log_format: Option<LogFormat>,
    /// Wins over the settings' log filter.
    pub log_filter: Option<String>,
}

/// Reads our own settings.
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

/// Where the configuration is read from, at start and at each reload.
pub struct ConfigurationSource {
    path: String,
    name: Option<String>,
    listen: Option<String>,
}

impl ConfigurationSource {
    /// The source that command line and environment name.
    pub fn locate(options: &Options) -> Result<ConfigurationSource, ConfigurationError> {
        let path = options.config.clone().or_else(|| environment_variable("BALANCER_CONFIG"));
        let path = path.ok_or(ConfigurationError::NotNamed)?;
        Ok(ConfigurationSource {
            path,
            name: environment_variable("BALANCER_NAME"),
            listen: environment_variable("BALANCER_LISTEN"),
        })
    }

    /// Reads and checks the configuration.
    pub fn load(&self) -> Result<ServerConfig, ConfigurationError> {
        let text = std::fs::read(&self.path)
            .map_err(|source| ConfigurationError::Unreadable { path: self.path.clone(), source })?;
        Ok(parse_server_config(&text, self.name.as_deref(), self.listen.as_deref())?)
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
