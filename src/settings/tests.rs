use super::*;

fn settings() -> PolicySettings {
    let class = RequestClass { latency_objective: 1.0, timeout: 2.0, ..RequestClass::default() };
    PolicySettings {
        servers: 1.0,
        cores: 1.0,
        memory: 1.0,
        running_memory_factor: 1.0,
        overload_multiple: 2.0,
        classes: vec![class.clone(), class],
        tenants: vec![Tenant { quota: 1.0 }],
        ..PolicySettings::default()
    }
}

#[test]
fn errors_name_setting_and_value() {
    assert_eq!(settings().validate(), Ok(()));
    let error_text = |change: fn(&mut PolicySettings)| {
        let mut settings = settings();
        change(&mut settings);
        settings.validate().unwrap_err().to_string()
    };
    assert_eq!(error_text(|settings| settings.cores = 0.0), "policy settings: cores is out of range: 0");
    assert_eq!(
        error_text(|settings| settings.drain_grace = -1.0),
        "policy settings: drain grace is out of range: -1"
    );
    assert_eq!(
        error_text(|settings| settings.classes[1].timeout = f64::INFINITY),
        "policy settings: timeout of class 1 is out of range: inf"
    );
    assert_eq!(
        error_text(|settings| settings.classes[0].dedup_window = -2.5),
        "policy settings: dedup window of class 0 is out of range: -2.5"
    );
    assert_eq!(
        error_text(|settings| settings.tenants[0].quota = f64::NAN),
        "policy settings: quota of tenant 0 is out of range: NaN"
    );
    assert_eq!(error_text(|settings| settings.classes.clear()), "policy settings: no request classes");
}
