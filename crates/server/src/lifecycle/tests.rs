use crate::limits::Limits;
use may::coroutine::Builder;

#[test]
fn panic_fits_on_request_stack() {
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes();
    let limits = Limits::new(&puffinladder_settings::parse_server_config(example, None, None).unwrap(), 0);
    let request = may::go!(Builder::new().stack_size(limits.stack_words), || panic!("request failed"));
    assert!(request.unwrap().join().is_err());
}
