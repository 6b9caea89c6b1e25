//! The configuration: where it is read from, and the addresses of the others that it gives. A reload swaps
//! these in one place, which all links read.

use crate::lock::lock;
use puffinladder_settings::{parse_server_config, Peers, ServerConfig};
use puffinladder_settings::{parse_settings, LogFormat, Settings};
use std::sync::Mutex;

/// Where the configuration is read from, at start and at each reload.
pub struct Papers {
    path: String,
    name: Option<String>,
    listen: Option<String>,
}

/// What the command line says; the environment stands in for what it leaves open.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The platform's JSON, else `BALANCER_CONFIG`.
    pub config: Option<String>,
    /// Our own settings, else `PUFFINLADDER_SETTINGS`; without either they are as they are by default.
    pub settings: Option<String>,
    /// Win over the settings.
    pub log_format: Option<LogFormat>,
    pub log_filter: Option<String>,
}

/// Our own settings.
pub fn settings(options: &Options) -> Result<Settings, String> {
    let path = options.settings.clone().or_else(|| std::env::var("PUFFINLADDER_SETTINGS").ok());
    let mut settings = match path {
        None => Settings::default(),
        Some(path) => {
            let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
            parse_settings(&path, &text).map_err(|error| error.to_string())?
        }
    };
    settings.log.format = options.log_format.unwrap_or(settings.log.format);
    settings.log.filter = options.log_filter.clone().or(settings.log.filter);
    Ok(settings)
}

impl Papers {
    pub fn told(options: &Options) -> Result<Papers, String> {
        let told = |name: &str| std::env::var(name).ok();
        let path = options.config.clone().or_else(|| told("BALANCER_CONFIG"));
        let path = path.ok_or("BALANCER_CONFIG should name the configuration file")?;
        Ok(Papers { path, name: told("BALANCER_NAME"), listen: told("BALANCER_LISTEN") })
    }

    pub fn read(&self) -> Result<ServerConfig, String> {
        let text = std::fs::read(&self.path).map_err(|e| format!("BALANCER_CONFIG: {}: {e}", self.path))?;
        parse_server_config(&text, self.name.as_deref(), self.listen.as_deref())
            .map_err(|error| error.to_string())
            .map_err(|error| error.to_string())
            .map_err(|error| error.to_string())
            .map_err(|error| error.to_string())
            .map_err(|error| error.to_string())
    }
}

/// The addresses in force.
pub struct Directory(Mutex<Peers>);

impl Directory {
    pub fn new(peers: Peers) -> Directory {
        Directory(Mutex::new(peers))
    }

    pub fn peers(&self) -> Peers {
        *lock(&self.0)
    }

    /// Whether these are new.
    pub fn swap(&self, peers: Peers) -> bool {
        std::mem::replace(&mut *lock(&self.0), peers) != peers
    }
}
