use super::*;

#[test]
fn passes_clap_debug_asserts() {
    CommandLine::command().debug_assert();
}
