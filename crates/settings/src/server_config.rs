//! What a server process is configured with.

use crate::json_object::{parse_object, JsonObject};
use crate::policy_config::read_policy_config;
use crate::{ConfigError, PolicyConfig};
use serde_json::Value;
use std::net::SocketAddr;

/// Bounds of the time from the notice to leave to the kill, ms.
const SHUTDOWN_TIMEOUT_MS: (f64, f64) = (0.0, 3_600_000.0);
/// Bounds of the memory of a process, MB: from what its buffers need to a terabyte.
const MEMORY_MB: (f64, f64) = (16.0, 1_048_576.0);
/// Bounds of the sockets of a process: from what its own links need to the most that a system hands out.
const SOCKETS: (f64, f64) = (64.0, 1_048_576.0);
/// The seed is a hexadecimal number.
const SEED_RADIX: u32 = 16;

/// Addresses of the programs that a server speaks with. Nothing else of its configuration may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The agent that runs requests.
    pub agent: SocketAddr,
    /// The registry that is told of this server's health.
    pub registry: SocketAddr,
    /// The store; absent on the last tier, which calls nothing.
    pub store: Option<SocketAddr>,
}

/// What a server process is configured with.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Name of the instance: letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// Where the server listens for requests.
    pub listen: SocketAddr,
    /// The programs that it speaks with.
    pub peers: Peers,
    /// Seed of the policy's random draws.
    pub seed: u64,
    /// Seconds from the notice to leave to the kill.
    pub shutdown_timeout: f64,
    /// Memory that the process may use, MB.
    pub memory_mb: f64,
    /// Sockets that the process may have open.
    pub max_sockets: usize,
    /// What the admission policy works by.
    pub policy: PolicyConfig,
}

/// Parses the configuration of a server process; `name` and `listen` stand in where the text lacks these two.
///
/// # Errors
///
/// Names the first key that is missing or not usable.
pub fn parse_server_config(
    text: &[u8],
    name: Option<&str>,
    listen: Option<&str>,
) -> Result<ServerConfig, ConfigError> {
    let value = parse_object(text)?;
    let top = JsonObject::top_level(&value);
    let name = read_name(&top, name)?;
    let seed = read_seed(&top)?;
    let limits = top.object("limits")?;
    Ok(ServerConfig {
        name,
        listen: top.required_address("listen", listen)?,
        peers: Peers {
            agent: top.required_address("agent", None)?,
            registry: top.required_address("roster", None)?,
            store: top.address("store", None)?,
        },
        seed,
        shutdown_timeout: top.duration_between("stop_ms", SHUTDOWN_TIMEOUT_MS.0, SHUTDOWN_TIMEOUT_MS.1)?,
        memory_mb: limits.number_between("memory_mb", MEMORY_MB.0, MEMORY_MB.1)?,
        max_sockets: limits.number_between("sockets", SOCKETS.0, SOCKETS.1)? as usize,
        policy: read_policy_config(&top.required_object("settings")?)?,
    })
}

fn read_name(top: &JsonObject, fallback: Option<&str>) -> Result<String, ConfigError> {
    let name = match top.get("name") {
        None => fallback,
        Some(value) => value.as_str(),
    };
    let invalid = || top.invalid("name", "a word of letters, digits, '-', '_' and '.'");
    name.filter(|name| is_instance_name(name)).map(str::to_owned).ok_or_else(invalid)
}

fn is_instance_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.bytes().all(allowed)
}

fn read_seed(top: &JsonObject) -> Result<u64, ConfigError> {
    let digits = top.get("seed").and_then(Value::as_str);
    let seed = digits.and_then(|digits| u64::from_str_radix(digits, SEED_RADIX).ok());
    seed.ok_or_else(|| top.invalid("seed", "up to 16 hex digits"))
}

impl ServerConfig {
    /// Keys in which `new` differs although they hold for as long as the process runs.
    pub fn changes_needing_restart(&self, new: &ServerConfig) -> Vec<&'static str> {
        let unchanged = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("seed", self.seed == new.seed),
            ("stop_ms", self.shutdown_timeout == new.shutdown_timeout),
            ("limits", (self.memory_mb, self.max_sockets) == (new.memory_mb, new.max_sockets)),
            ("settings", self.policy == new.policy),
        ];
        unchanged.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}
