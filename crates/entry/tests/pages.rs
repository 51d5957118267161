//! Guards against a page for operators, docs/OPERATIONS.md, that lacks a setting, a failure reason
//! or an event kind, or states another default than the code has.

use {
    base::FailureReason,
    entry::EntrySettings,
    serde::de::DeserializeOwned,
    serde_json::Value,
    stamp::EventKind,
    std::{fs, path::PathBuf},
};

/// Reads a file of the repository; `path` is relative to its root.
fn read_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).unwrap()
}

/// Returns the lines after the one that starts with `start`, up to the next heading or section of
/// the settings.
fn section<'a>(page: &'a str, start: &str) -> Vec<&'a str> {
    let mut lines = page.lines().skip_while(|line| !line.starts_with(start));
    lines
        .next()
        .unwrap_or_else(|| panic!("docs/OPERATIONS.md has no line that starts with `{start}`"));
    lines
        .take_while(|line| !line.starts_with("`[") && !line.starts_with("## "))
        .collect()
}

/// Returns the cells of the table row for a name.
fn row_cells<'a>(lines: &[&'a str], name: &str) -> Vec<&'a str> {
    let row_starts = [format!("| `{name}` |"), format!("| `{name}` * |")];
    let line = lines
        .iter()
        .find(|line| {
            row_starts
                .iter()
                .any(|row_start| line.starts_with(row_start))
        })
        .unwrap_or_else(|| panic!("docs/OPERATIONS.md has no row for `{name}`"));
    line.trim_matches('|').split('|').map(str::trim).collect()
}

/// Returns the names of all variants of an enum, which serde lists in the error for an unknown one.
fn variant_names<E: DeserializeOwned + std::fmt::Debug>() -> Vec<String> {
    let error = serde_json::from_str::<E>("\"\"").unwrap_err().to_string();
    let (_, names) = error.split_once("expected one of").unwrap();
    let names: Vec<String> = names
        .split('`')
        .skip(1)
        .step_by(2)
        .map(String::from)
        .collect();
    assert!(names.len() > 1, "{error}");
    names
}

/// Checks the defaults in a table of settings. `stated` contains the settings that the smallest
/// valid file states; they have no default.
fn check_settings(page: &str, start: &str, values: &Value, stated: Option<&Value>) {
    let lines = section(page, start);
    let is_plain = |value: &Value| !value.is_object();
    for (key, value) in values
        .as_object()
        .unwrap()
        .iter()
        .filter(|(_, v)| is_plain(v))
    {
        let expected = match value {
            _ if stated.is_some_and(|stated| !stated[key].is_null()) => String::from("none"),
            Value::Null => String::from("absent"),
            value => format!("`{value}`"),
        };
        let default = row_cells(&lines, key)[2].trim_end_matches(", required");
        assert_eq!(default, expected, "default of `{key}` in `{start}`");
    }
}

#[test]
fn operations_page_lists_every_setting_with_its_default() {
    let page = read_file("docs/OPERATIONS.md");
    let text = read_file("examples/first-use/entry.toml");
    let settings: EntrySettings = toml::from_str(&text).unwrap();
    let stated: Value = toml::from_str(&text).unwrap();
    let values = serde_json::to_value(settings).unwrap();
    check_settings(&page, "At the top of the file", &values, Some(&stated));
    for (key, table) in values.as_object().unwrap() {
        if table.is_object() {
            check_settings(&page, &format!("`[{key}]`"), table, stated.get(key));
        }
    }
}

#[test]
fn operations_page_lists_every_failure_reason() {
    let page = read_file("docs/OPERATIONS.md");
    let lines = section(&page, "## Why a request failed");
    for reason in variant_names::<FailureReason>() {
        row_cells(&lines, &reason);
    }
}

#[test]
fn operations_page_lists_every_event_kind() {
    let page = read_file("docs/OPERATIONS.md");
    let lines = section(&page, "## The time line");
    for kind in variant_names::<EventKind>() {
        row_cells(&lines, &kind);
    }
}
