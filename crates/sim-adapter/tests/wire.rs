//! A recorded stream through the whole process: what it writes stays byte for byte what it wrote.
//!
//! `golden/batches.bin` holds every kind of event, for three instances of different settings, and
//! `golden/replies.bin` what was answered, with every kind of action.

use std::io::Write;
use std::process::{Command, Stdio};

const BATCHES: &[u8] = include_bytes!("golden/batches.bin");
const REPLIES: &[u8] = include_bytes!("golden/replies.bin");

const NOTE: u8 = 140;

/// Bytes of an action behind its code.
fn size(code: u8, rest: &[u8]) -> usize {
    match code {
        10 | 30 | 40 | 60 | 80 | 90 | 110 | 160 => 4,
        20 => 13,
        50 | 70 | 130 => 12,
        100 => 2,
        120 => 8,
        NOTE => 2 + usize::from(u16::from_le_bytes([rest[0], rest[1]])),
        other => panic!("unknown action {other}"),
    }
}

/// The actions of all replies, one by one, without the texts of notes, which are for people to read.
fn actions(mut replies: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut all = Vec::new();
    while !replies.is_empty() {
        let length = u32::from_le_bytes(replies[..4].try_into().unwrap()) as usize;
        let records = u32::from_le_bytes(replies[4..8].try_into().unwrap());
        let (mut body, rest) = replies[8..].split_at(length - 4);
        let mut reply = Vec::new();
        for _ in 0..records {
            let (record, rest) = body.split_at(1 + size(body[0], &body[1..]));
            reply.push(if record[0] == NOTE { vec![NOTE] } else { record.to_vec() });
            body = rest;
        }
        assert!(body.is_empty());
        all.push(reply);
        replies = rest;
    }
    all
}

#[test]
fn a_recorded_stream_gets_the_recorded_replies() {
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
    let (found, wanted) = (actions(&output.stdout), actions(REPLIES));
    assert_eq!(found.len(), wanted.len());
    for (batch, (found, wanted)) in found.iter().zip(&wanted).enumerate() {
        assert_eq!(found, wanted, "batch {batch}");
    }
}
