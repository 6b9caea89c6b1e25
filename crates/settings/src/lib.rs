//! Reads, checks and defaults everything that configures a puffinladder process.
//!
//! There are two kinds of input, and each has one place here so that all programs agree on what a file means:
//!
//! - The platform's **configuration**, a JSON object whose unknown keys are ignored. [`parse_policy_config`] reads what the
//!   admission policy works by, [`parse_server_config`] the whole of what a server process needs. A [`ConfigError`] names the
//!   key that is missing or out of range.
//! - Our own **settings**, S-expressions with one section for each program or concern. [`parse_settings`] reads them; a
//!   [`SettingsError`] lists every problem of the file with its line, column and key.
//!
//! The S-expression reader in [`sexpr`] is public because schedules, capacity plans and configuration patches use the same
//! form.
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
