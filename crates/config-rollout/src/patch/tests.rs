use super::*;

fn messages(text: &str) -> Vec<String> {
    Patch::read("f.scm", text).unwrap_err().iter().map(Diagnostic::to_string).collect()
}

#[test]
fn reads_a_patch_into_a_change() {
    let text = "; raises the quota of acme\n(tenant (name \"acme\") (quota 120))\n(route (name \"orders\") (promise 800ms) (give-up 2s))
(limit (max-retry-after 5s))\n(without (tenant \"old\") (route \"orders\" late-share) (limit servers))";
    let patch = Patch::read("f.scm", text).unwrap();
    let expected_change = Change::default()
        .set(Key::tenant("acme"), 120.0)
        .set(Key::route("orders", Field::LatencyObjective), 800.0)
        .set(Key::route("orders", Field::Timeout), 2000.0)
        .set(Key::limit(Field::MaxRetryAfter), 5000.0)
        .remove(Key::tenant("old"))
        .remove(Key::route("orders", Field::LateWeightFraction))
        .remove(Key::limit(Field::Servers));
    assert_eq!(patch.change, expected_change);
}

#[test]
fn reports_all_errors_with_their_location() {
    let text = "(tenant (quota 5))\n(tenant (name \"a\") (quota many) (promise 5s))\n(route (name \"r\") (promise 800))
(class (name \"x\"))\n(tenant (name \"b\") (quota 1))\n  (tenant (name \"b\") (quota 2))\n(without (tenant acme))\n(tenant (name \"c\"))";
    let expected_messages = [
        "f.scm:1:1: tenant.name: should be given",
        "f.scm:2:27: tenant.quota: should be from 0 to 1000000000",
        "f.scm:2:33: tenant.promise: is not known; there are quota",
        "f.scm:3:28: route.promise: should be from 0.001ms to 3600000ms",
        "f.scm:4:1: class: is not known; there are tenant, route, limit, without",
        "f.scm:6:22: tenant.quota: set or removed more than once for \"b\"",
        "f.scm:7:10: without: should be such as (tenant \"acme\"), (route \"orders\" late-share) or (limit servers)",
        "f.scm:8:1: tenant: sets no valid field for \"c\", expected at least one of quota",
    ];
    let messages = messages(text);
    for expected in expected_messages {
        assert!(messages.iter().any(|message| message == expected), "{expected}\n{messages:#?}");
    }
}

#[test]
fn locates_validation_errors_in_the_file() {
    let patch =
        Patch::read("f.scm", "(tenant (name \"a\") (quota 1))\n\n  (route (name \"nowhere\") (promise 5s))")
            .unwrap();
    let error = ValidationError::at(&Key::route("nowhere", Field::LatencyObjective), "no such route");
    assert_eq!(patch.locate(&error).to_string(), "f.scm:3:27: route \"nowhere\" promise: no such route");
    assert_eq!(patch.locate(&ValidationError::whole("too large")).to_string(), "f.scm:1:1: too large");
}

#[test]
fn rejects_malformed_and_oversized_texts() {
    for text in [
        "(",
        "(tenant",
        "\"",
        "(without (((((",
        "(tenant (name \"a\") (quota 1e999))",
        "(limit (name \"x\") (servers 2))",
    ] {
        assert!(!messages(text).is_empty(), "{text}");
    }
    assert!(Patch::read("f", &" ".repeat(MAX_TEXT_BYTES + 1)).is_err());
    assert!(Patch::read("f", &"(".repeat(100_000)).is_err());
    let oversized: String =
        (0..TOO_MANY_KEYS).map(|index| format!("(tenant (name \"{index}\") (quota 1))")).collect();
    assert!(messages(&oversized)[0].contains("change too large: got 4097 keys"));
}

const TOO_MANY_KEYS: usize = crate::change::MAX_CHANGE_KEYS + 1;
