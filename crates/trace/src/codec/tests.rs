use super::*;
use proptest::prelude::*;

#[test]
fn quantisation_is_idempotent_and_keeps_order() {
    for bits in [SPAN_BITS, ESTIMATE_BITS] {
        let corners = (12..32).flat_map(|b| [1 << b, (1 << b) - 1, (1 << b) + 77]);
        for value in (0..4096).chain(corners).chain([u32::MAX]) {
            let rounded = round_to_bits(value, bits);
            assert_eq!(round_to_bits(rounded, bits), rounded, "{value}");
            let error = (f64::from(rounded) - f64::from(value)).abs();
            assert!(error <= f64::from(value) / f64::from(1 << bits), "{value}: {rounded}");
        }
        let last = quantize(u32::MAX, bits);
        assert!((0..last).all(|c| dequantize(c, bits) < dequantize(c + 1, bits)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::default() })]
    #[test]
    fn columns_round_trip(values in proptest::collection::vec(any::<u64>().prop_map(|v| v >> (v % 61)), 0..600)) {
        let mut bytes = Vec::new();
        put_column(&mut bytes, &values);
        prop_assert_eq!(read_column(&mut Cursor(&bytes), Some(values.len())).unwrap(), values);
    }
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_column(&mut Cursor(&bytes), None);
        let _ = read_compressed(&mut Cursor(&bytes), MAX_HEAD_BYTES);
    }
}
