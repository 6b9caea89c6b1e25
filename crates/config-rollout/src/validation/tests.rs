use super::*;
use crate::change::Change;
use crate::key::FLEET;

const BASE_SETTINGS: &str = r#"{"Servers": 4, "OverShareWorth": 0.2,
  "FamilyInfo": {"Cpus": 2, "RamKb": 1000, "RunFactor": 2},
  "Contract": {"FallMultiple": 4},
  "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000},
  "Lanes": [{"Name": "orders", "Promise": 200, "GiveUp": 900, "Importance": 3, "Effect": "safe"}],
  "Tenants": [{"Name": "acme", "QuotaRps": 10}]}"#;

fn base_settings() -> BaseSettings {
    BaseSettings::new(BASE_SETTINGS.as_bytes()).unwrap()
}

fn content_of(change: Change) -> Content {
    Content::default().with_change(&change).unwrap()
}

#[test]
fn content_overlays_the_base_settings() {
    let change = Change::default()
        .set(Key::tenant("acme"), 25.0)
        .set(Key::tenant("new"), 7.0)
        .set(Key::route("orders", Field::LatencyObjective), 300.0)
        .set(Key::limit(Field::Servers), 9.0)
        .set(Key::new(Section::Limit, FLEET, Field::MaxRetryAfter), 5000.0);
    let content = content_of(change);
    base_settings().validate(&content).unwrap();
    let config = parse_policy_config(&base_settings().overlay(&content).unwrap()).unwrap();
    assert_eq!(config.tenant_names, ["acme", "new"]);
    assert_eq!((config.settings.tenants[0].quota, config.settings.tenants[1].quota), (25.0, 7.0));
    assert_eq!(
        (config.settings.classes[0].latency_objective, config.settings.classes[0].timeout),
        (0.3, 0.9)
    );
    assert_eq!((config.settings.servers, config.settings.max_retry_after), (9.0, 5.0));
    // The empty content leaves the base settings unmodified.
    let config = parse_policy_config(&base_settings().overlay(&Content::default()).unwrap()).unwrap();
    assert_eq!(config, parse_policy_config(BASE_SETTINGS.as_bytes()).unwrap());
}

#[test]
fn every_field_maps_to_a_policy_setting() {
    for field in Field::ALL {
        let key = match field.section() {
            Section::Tenant => Key::new(Section::Tenant, "acme", field),
            Section::Route => Key::route("orders", field),
            Section::Limit => Key::limit(field),
        };
        let range = field.range();
        let read = |value: f64| {
            let content = content_of(Change::default().set(key.clone(), value));
            base_settings().validate(&content).unwrap();
            parse_policy_config(&base_settings().overlay(&content).unwrap()).unwrap()
        };
        assert_ne!(read(*range.start()), read(*range.end()), "{key} does not affect the policy settings");
    }
}

#[test]
fn validation_error_names_the_key_and_the_cause() {
    let content = content_of(Change::default().set(Key::route("nowhere", Field::LatencyObjective), 5.0));
    let error = base_settings().validate(&content).unwrap_err();
    assert_eq!(
        error.to_string(),
        "route \"nowhere\" promise: base settings: no entry with Name \"nowhere\" in Lanes"
    );
    // Base settings that lack a required key are rejected.
    let broken = BASE_SETTINGS.replace("\"Cpus\": 2,", "");
    assert!(BaseSettings::new(broken.as_bytes()).is_err());
}
