use super::*;

const START: &str = r#"{"Servers":1,"Lanes":[{"Promise":100,"GiveUp":400,"Importance":1,"Effect":"safe"}],
    "FamilyInfo":{"Cpus":2,"RamKb":9000,"RunFactor":4},"Contract":{"FallMultiple":3,"Fall":1500}}"#;

fn frame(records: &[Vec<u8>], now: f64) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = (records.len() as u32).to_le_bytes().to_vec();
    out.extend((body.len() as u32 + 8).to_le_bytes());
    out.extend(now.to_le_bytes());
    out.extend(body);
    out
}
fn to(instance: u32) -> Vec<u8> {
    [&[100u8][..], &instance.to_le_bytes()].concat()
}
fn launch(text: &str) -> Vec<u8> {
    [&[10u8][..], &7u64.to_le_bytes(), &(text.len() as u32).to_le_bytes(), text.as_bytes()].concat()
}
fn serve_bytes(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut out = Vec::new();
    serve(input, &mut out).map(|()| out).map_err(|error| error.to_string())
}

#[test]
fn empty_batch_gets_empty_reply() {
    assert_eq!(serve_bytes(&frame(&[], 8384.25)).unwrap(), [4, 0, 0, 0, 0, 0, 0, 0]);
    assert!(serve_bytes(&[]).unwrap().is_empty());
}

#[test]
fn reply_names_the_started_instance() {
    let reply = serve_bytes(&frame(&[to(3), launch(START)], 1.0)).unwrap();
    assert_eq!(reply[8..13], [160, 3, 0, 0, 0]);
}

#[test]
fn reports_the_cause_of_malformed_input() {
    let abandoned = || [&[70u8][..], &1u32.to_le_bytes()].concat();
    let good = frame(&[to(3), launch(START), abandoned()], 1.0);
    for cut in 1..good.len() {
        let error = serve_bytes(&good[..cut]).unwrap_err();
        assert!(error.contains("ended inside"), "{cut}: {error}");
    }
    let mut short = good.clone();
    short[0] -= 1; // the header announces one record too few
    let mut long = good.clone();
    long[0] += 1;
    let mut huge = good.clone();
    huge[7] = 0xff;
    let cases = [
        (short, "bytes follow the last of"),
        (long, "truncated field"),
        (huge, "exceeds the limit of"),
        (frame(&[to(3), vec![99]], 1.0), "unknown code 99 of a record"),
        (frame(&[abandoned()], 1.0), "code 70 before any To record"),
        (frame(&[to(3), abandoned()], 1.0), "code 70 for instance 3, which is not running"),
        (frame(&[to(3), launch("{]")], 1.0), "not JSON"),
        (frame(&[to(3), launch(&START.replace("Cpus", "X"))], 1.0), "Cpus"),
        (frame(&[to(3), launch(&START.replace("\"Cpus\":2", "\"Cpus\":0"))], 1.0), "FamilyInfo.Cpus"),
        (frame(&[to(3), launch(&START.replace("safe", "odd"))], 1.0), "odd"),
        (frame(&[], f64::NAN), "clock is not a finite number: NaN"),
    ];
    for (input, expected) in cases {
        let error = serve_bytes(&input).unwrap_err();
        assert!(error.contains(expected), "expected {expected}: {error}");
    }
}

#[test]
fn corrupted_bytes_do_not_panic() {
    let good = frame(&[to(3), launch(START), [&[50u8][..], &[0; 13]].concat()], 1.0);
    for at in 0..good.len() {
        for flip in [1, 0x80, 0xff] {
            let mut bad = good.clone();
            bad[at] ^= flip;
            let _ = serve_bytes(&bad);
        }
    }
}
