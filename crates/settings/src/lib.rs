//! Parses and validates the configuration of puffinladder processes and applies its defaults.
//!
//! There are two kinds of input:
//!
//! - The platform's **configuration**, a JSON object whose unknown keys are ignored. [`parse_policy_config`] reads the settings
//!   of the admission policy, [`parse_server_config`] the configuration of a server process. A [`ConfigError`] names the key that
//!   is missing or invalid.
//! - **Settings** of puffinladder itself, S-expressions with one section for each program or concern, read by
//!   [`parse_settings`]. A [`SettingsError`] lists every problem of the file with its line, column and key.
//!
//! The S-expression reader in [`sexpr`] is public because schedules, capacity plans and configuration patches use the same syntax.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config_error;
mod json_object;
mod policy_config;
mod server_config;
mod settings;
pub mod sexpr;

pub use config_error::ConfigError;
pub use policy_config::{parse_policy_config, GaugeKind, PolicyConfig};
pub use server_config::{parse_server_config, Peers, ServerConfig};
pub use settings::{
    parse_settings, ControlSettings, DrainSlotSettings, LeaseStoreSettings, LogFormat, LogSettings,
    PublishSettings, QuotaSettings, Settings, SettingsError, TaskSettings, TlsFiles, TraceCollectionSettings,
    TraceSettings, TraceStoreSettings, WorkerSettings,
};
