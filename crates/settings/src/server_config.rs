//! Configuration of a server process.

use crate::json_object::{parse_object, JsonObject};
use crate::policy_config::read_policy_config;
use crate::{ConfigError, PolicyConfig};
use serde_json::Value;
use std::net::SocketAddr;

/// Range of the time between the shutdown notice and the kill, ms.
const SHUTDOWN_TIMEOUT_MS: (f64, f64) = (0.0, 3_600_000.0);
/// Range of the memory limit of a process, MB.
const MEMORY_MB: (f64, f64) = (16.0, 1_048_576.0);
/// Range of the socket limit of a process.
const SOCKETS: (f64, f64) = (64.0, 1_048_576.0);
const SEED_RADIX: u32 = 16;

/// Addresses of the processes that a server connects to: the only part of its configuration that can change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The agent that runs requests.
    pub agent: SocketAddr,
    /// The registry that receives this server's health.
    pub registry: SocketAddr,
    /// The store; absent on the last tier, which makes no calls.
    pub store: Option<SocketAddr>,
}

/// Configuration of a server process.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Name of the instance: letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// Where the server listens for requests.
    pub listen: SocketAddr,
    /// The processes that it connects to.
    pub peers: Peers,
    /// Seed of the policy's random draws.
    pub seed: u64,
    /// Seconds between the shutdown notice and the kill.
    pub shutdown_timeout: f64,
    /// Memory that the process may use, MB.
    pub memory_mb: f64,
    /// Number of sockets that the process may have open.
    pub max_sockets: usize,
    /// Configuration of the admission policy.
    pub policy: PolicyConfig,
}

/// Parses the configuration of a server process; `name` and `listen` are the defaults of these two keys.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
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
    /// Returns the keys in which `new` differs that cannot change without a restart.
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
