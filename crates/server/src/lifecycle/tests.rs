use crate::limits::Limits;
use may::coroutine::Builder;

#[test]
fn a_panic_fits_on_the_stack_of_a_request() {
    let example = puffinladder_toy::harness::EXAMPLE_CONFIG.as_bytes();
    let limits = Limits::new(&puffinladder_settings::parse_server_config(example, None, None).unwrap(), 0);
    let request = may::go!(Builder::new().stack_size(limits.stack_words), || panic!("as a request might"));
    assert!(request.unwrap().join().is_err());
}
