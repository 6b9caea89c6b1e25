use super::*;
use crate::content::{Change, Key, FLEET};

const START: &str = r#"{"Servers": 4, "OverShareWorth": 0.2,
  "FamilyInfo": {"Cpus": 2, "RamKb": 1000, "RunFactor": 2},
  "Contract": {"FallMultiple": 4},
  "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000},
  "Lanes": [{"Name": "orders", "Promise": 200, "GiveUp": 900, "Importance": 3, "Effect": "safe"}],
  "Tenants": [{"Name": "acme", "QuotaRps": 10}]}"#;

fn start() -> Start {
    Start::new(START.as_bytes()).unwrap()
}

fn under(change: Change) -> Content {
    Content::default().after(&change).unwrap()
}

#[test]
fn a_content_lies_over_the_start_text_and_reads_as_terms() {
    let change = Change::default()
        .set(Key::tenant("acme"), 25.0)
        .set(Key::tenant("new"), 7.0)
        .set(Key::route("orders", Field::Promise), 300.0)
        .set(Key::limit(Field::Servers), 9.0)
        .set(Key::new(Section::Limit, FLEET, Field::MaxRetryAfter), 5000.0);
    let content = under(change);
    start().check(&content).unwrap();
    let terms = puffinladder_charter::read_terms(&start().under(&content).unwrap()).unwrap();
    assert_eq!(terms.customers, ["acme", "new"]);
    assert_eq!((terms.charter.tenants[0].quota, terms.charter.tenants[1].quota), (25.0, 7.0));
    assert_eq!((terms.charter.classes[0].latency_objective, terms.charter.classes[0].timeout), (0.3, 0.9));
    assert_eq!((terms.charter.servers, terms.charter.max_retry_after), (9.0, 5.0));
    // The empty content is the start text.
    let terms = puffinladder_charter::read_terms(&start().under(&Content::default()).unwrap()).unwrap();
    assert_eq!(terms, puffinladder_charter::read_terms(START.as_bytes()).unwrap());
}

#[test]
fn every_field_is_one_that_the_charter_reads() {
    for field in Field::ALL {
        let key = match field.section() {
            Section::Tenant => Key::new(Section::Tenant, "acme", field),
            Section::Route => Key::route("orders", field),
            Section::Limit => Key::limit(field),
        };
        let range = field.range();
        let read = |value: f64| {
            let content = under(Change::default().set(key.clone(), value));
            start().check(&content).unwrap();
            puffinladder_charter::read_terms(&start().under(&content).unwrap()).unwrap()
        };
        assert_ne!(read(*range.start()), read(*range.end()), "{key} changes nothing");
    }
}

#[test]
fn what_the_charter_refuses_names_the_key_and_the_cause() {
    let content = under(Change::default().set(Key::route("nowhere", Field::Promise), 5.0));
    let wrong = start().check(&content).unwrap_err();
    assert_eq!(wrong.to_string(), "route \"nowhere\" promise: the start text has no route of that name");
    // A start text that is another at this server: what it lacks is named here.
    let broken = START.replace("\"Cpus\": 2,", "");
    assert!(Start::new(broken.as_bytes()).is_err());
}
