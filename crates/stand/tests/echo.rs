//! The answers that stand-ins give and that tests expect.

use stand::{EchoRule, EchoStage};

#[test]
fn plain_answer_holds_input_call_and_request() {
    let answer = EchoRule::new("farm", "r1", b"hay").plain_answer("encode");
    let digest = blake3::hash(b"hay").to_hex();
    let expected = format!("hay\nencode farm/r1 {}", &digest[..16]);
    assert_eq!(answer, expected.into_bytes());
}

#[test]
fn tokens_hold_request_and_index() {
    let rule = EchoRule::new("farm", "r1", b"hay");
    let digest = blake3::hash(b"hay3").to_hex();
    assert_eq!(rule.token_text(3), format!("farm/r1#3:{} ", &digest[..8]));
}

#[test]
fn last_token_count_in_the_input_applies() {
    let token_count = |input: &[u8]| EchoRule::new("farm", "r1", input).token_count();
    assert_eq!(token_count(b"hay"), 16);
    assert_eq!(token_count(b"tokens=3 tokens=40\n"), 40);
    assert_eq!(token_count(b"tokens=none"), 16);
    assert_eq!(token_count(b"tokens="), 16);
    assert_eq!(token_count(b"tokens=0"), 0);
}

#[test]
fn token_count_passes_through_plain_stages() {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    let answer = EchoRule::pipeline_answer("farm", "r1", b"hay tokens=5", &stages);
    assert_eq!(answer.iter().filter(|byte| **byte == b'#').count(), 5);
}
