use super::*;

#[test]
fn the_command_line_is_sound() {
    Line::command().debug_assert();
}
