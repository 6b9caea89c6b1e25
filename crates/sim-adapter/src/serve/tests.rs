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
fn answer(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut out = Vec::new();
    serve(input, &mut out).map(|()| out).map_err(|error| error.to_string())
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_clean() {
    assert_eq!(answer(&frame(&[], 8384.25)).unwrap(), [4, 0, 0, 0, 0, 0, 0, 0]);
    assert!(answer(&[]).unwrap().is_empty());
}

#[test]
fn a_started_instance_answers_in_its_own_name() {
    let reply = answer(&frame(&[to(3), launch(START)], 1.0)).unwrap();
    assert_eq!(reply[8..13], [160, 3, 0, 0, 0]);
}

#[test]
fn what_is_malformed_is_named_and_never_guessed() {
    let gone = || [&[70u8][..], &1u32.to_le_bytes()].concat();
    let good = frame(&[to(3), launch(START), gone()], 1.0);
    for cut in 1..good.len() {
        let error = answer(&good[..cut]).unwrap_err();
        assert!(error.contains("ended inside"), "{cut}: {error}");
    }
    let mut short = good.clone();
    short[0] -= 1; // a record more than was announced
    let mut long = good.clone();
    long[0] += 1;
    let mut huge = good.clone();
    huge[7] = 0xff;
    let cases = [
        (short, "left over"),
        (long, "cut off"),
        (huge, "oversized"),
        (frame(&[to(3), vec![99]], 1.0), "unknown code 99"),
        (frame(&[gone()], 1.0), "before any To"),
        (frame(&[to(3), gone()], 1.0), "never launched"),
        (frame(&[to(3), launch("{]")], 1.0), "not JSON"),
        (frame(&[to(3), launch(&START.replace("Cpus", "X"))], 1.0), "Cpus"),
        (frame(&[to(3), launch(&START.replace("\"Cpus\":2", "\"Cpus\":0"))], 1.0), "FamilyInfo.Cpus"),
        (frame(&[to(3), launch(&START.replace("safe", "odd"))], 1.0), "odd"),
        (frame(&[], f64::NAN), "clock"),
    ];
    for (input, word) in cases {
        let error = answer(&input).unwrap_err();
        assert!(error.contains(word), "wanted {word}: {error}");
    }
}

#[test]
fn no_flipped_byte_makes_it_panic() {
    let good = frame(&[to(3), launch(START), [&[50u8][..], &[0; 13]].concat()], 1.0);
    for at in 0..good.len() {
        for flip in [1, 0x80, 0xff] {
            let mut bad = good.clone();
            bad[at] ^= flip;
            let _ = answer(&bad);
        }
    }
}
