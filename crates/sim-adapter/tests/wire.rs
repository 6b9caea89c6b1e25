//! Replays a recorded stream through the adapter process and compares its replies byte for byte, except log
//! texts.
//!
//! `golden/batches.bin` holds every kind of event for three instances with different settings, and
//! `golden/replies.bin` the replies with every kind of action.

use std::io::Write;
use std::process::{Command, Stdio};

const BATCHES: &[u8] = include_bytes!("golden/batches.bin");
const REPLIES: &[u8] = include_bytes!("golden/replies.bin");

const LOG: u8 = 140;

/// Returns the number of bytes of an action after its code.
fn size(code: u8, rest: &[u8]) -> usize {
    match code {
        10 | 30 | 40 | 60 | 80 | 90 | 110 | 160 => 4,
        20 => 13,
        50 | 70 | 130 => 12,
        100 => 2,
        120 => 8,
        LOG => 2 + usize::from(u16::from_le_bytes([rest[0], rest[1]])),
        other => panic!("unknown action {other}"),
    }
}

/// Splits replies into their actions, without the texts of log actions.
fn actions(mut replies: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut batches = Vec::new();
    while !replies.is_empty() {
        let length = u32::from_le_bytes(replies[..4].try_into().unwrap()) as usize;
        let records = u32::from_le_bytes(replies[4..8].try_into().unwrap());
        let (mut body, rest) = replies[8..].split_at(length - 4);
        let mut reply = Vec::new();
        for _ in 0..records {
            let (record, rest) = body.split_at(1 + size(body[0], &body[1..]));
            reply.push(if record[0] == LOG { vec![LOG] } else { record.to_vec() });
            body = rest;
        }
        assert!(body.is_empty());
        batches.push(reply);
        replies = rest;
    }
    batches
}

#[test]
fn replays_recorded_stream() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_puffinladder-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = adapter.stdin.take().unwrap();
    let writer = std::thread::spawn(move || input.write_all(BATCHES).unwrap());
    let output = adapter.wait_with_output().unwrap();
    writer.join().unwrap();
    assert!(output.status.success());
    let (actual, expected) = (actions(&output.stdout), actions(REPLIES));
    assert_eq!(actual.len(), expected.len());
    for (batch, (actual, expected)) in actual.iter().zip(&expected).enumerate() {
        assert_eq!(actual, expected, "batch {batch}");
    }
}
