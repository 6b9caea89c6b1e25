use super::*;

fn tables() -> Vec<Table> {
    [("one", "| a | 1 |\n| b | 2 |\n"), ("two", "text\n")]
        .map(|(name, text)| Table { name, text: text.into() })
        .into()
}

const PAGE: &str = "# Page\n<!-- capacity: one -->\nold\n<!-- /capacity -->\nprose\n<!-- capacity: two -->\n<!-- /capacity -->\nend\n";

#[test]
fn blocks_are_filled_and_prose_stays() {
    let told = write(PAGE, &tables()).unwrap();
    let wanted = "# Page\n<!-- capacity: one -->\n| a | 1 |\n| b | 2 |\n<!-- /capacity -->\nprose\n<!-- capacity: two -->\ntext\n<!-- /capacity -->\nend\n";
    assert_eq!(told, wanted);
    assert_eq!(write(&told, &tables()).unwrap(), told);
    assert_eq!(check(&told, &tables()), Ok(()));
}

#[test]
fn the_first_line_that_differs_is_named_with_both_sides() {
    let told = write(PAGE, &tables()).unwrap();
    for (page, line, what) in [
        (
            told.replace("| b | 2 |", "| b | 3 |"),
            4,
            "block one: the page says \"| b | 3 |\", the plan \"| b | 2 |\"",
        ),
        (told.replace("| b | 2 |\n", ""), 4, "the page says nothing more, the plan \"| b | 2 |\""),
        (
            told.replace("text\n", "text\nmore\n"),
            9,
            "block two: the page says \"more\", the plan nothing more",
        ),
    ] {
        let fault = check(&page, &tables()).unwrap_err();
        assert!(fault.line == line && fault.what.contains(what), "{fault}");
    }
}

#[test]
fn a_page_whose_tables_would_go_unchecked_is_refused() {
    for (page, what) in [
        ("", "no block one"),
        (&PAGE.replace("<!-- capacity: two -->\n<!-- /capacity -->\n", ""), "no block two"),
        (&PAGE.replace("capacity: two", "capacity: one"), "a second time"),
        (&PAGE.replace("capacity: two", "capacity: three"), "no table is named three"),
        (&PAGE.replacen("<!-- /capacity -->\n", "", 1), "begins inside block one of line 2"),
        (&PAGE.replace("prose", "<!-- /capacity -->"), "never began"),
        (&PAGE.replace("prose", "some <!-- capacity: one --> more"), "alone on its line"),
        (&PAGE.replace("end", "<!-- capacity one -->"), "alone on its line"),
        ("<!-- capacity: one -->", "never closed"),
    ] {
        for said in [check(page, &tables()).unwrap_err(), write(page, &tables()).unwrap_err()] {
            assert!(said.what.contains(what), "{what}: {said}");
        }
    }
}
