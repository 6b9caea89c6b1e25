use super::*;

#[test]
fn a_panic_fits_on_the_stack_of_a_txn() {
    let example = puffinladder_toy::town::EXAMPLE.as_bytes();
    let limits = Limits::new(&puffinladder_settings::parse_server_config(example, None, None).unwrap(), 0);
    let txn = may::go!(Builder::new().stack_size(limits.stack), || panic!("as a txn might"));
    assert!(txn.unwrap().join().is_err());
}
