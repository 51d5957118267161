#![allow(dead_code)]

use sheet::{IndexPart, SheetBundle, SheetIndex};

/// A part with one pipeline, two pools and two targets, one key per line.
pub const FLEET_PART: &str = r#"[[pipeline]]
name = "receipts"
deadline = "3s"
[[pipeline.stage]]
pool = "readers"
call = "read"
model = "reader"
expected = "800ms"
[[pipeline.stage]]
pool = "ledger"
call = "post"
expected = "100ms"
[[pool]]
name = "readers"
kind = "engine"
[[pool]]
name = "ledger"
kind = "plain"
non_idempotent = ["post"]
[[target]]
name = "reader-1"
pool = "readers"
data_centre = "erie"
address = "127.0.0.1:9001"
capacity = 8
models = ["reader@3"]
checks_orders = true
[[target]]
name = "ledger-1"
pool = "ledger"
data_centre = "erie"
address = "127.0.0.1:9002"
capacity = 4
"#;

/// A part with one customer.
pub const CUSTOMERS_PART: &str = r#"[[customer]]
name = "co-op"
weight = 3
credential = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
"#;

/// Index of parts with the keys `part-0`, `part-1` and so on.
pub fn index_of(version: u64, parts: &[String]) -> SheetIndex {
    let index_parts = parts.iter().enumerate().map(|(number, text)| IndexPart {
        key: format!("part-{number}"),
        digest: SheetIndex::part_digest(text),
    });
    SheetIndex {
        version,
        part: index_parts.collect(),
    }
}

/// A sheet whose text differs by version and variant; an invalid one has a pool without a target.
pub fn bundle_of(version: u64, variant: u8, is_valid: bool) -> SheetBundle {
    let extra_rows = if is_valid {
        ""
    } else {
        "[[pool]]\nname = \"idle\"\nkind = \"plain\"\n"
    };
    let parts = vec![format!("# {version} {variant}\n{FLEET_PART}{extra_rows}")];
    SheetBundle {
        index: index_of(version, &parts),
        parts,
    }
}
