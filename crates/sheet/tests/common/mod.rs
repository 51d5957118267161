#![allow(dead_code)]

use sheet::{IndexPart, SheetBundle, SheetIndex};

/// A sheet of one pipeline, one customer, two pools and two targets; one key a line.
pub const FLEET: &str = r#"[[pipeline]]
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
pub const CUSTOMERS: &str = r#"[[customer]]
name = "co-op"
weight = 3
credential = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
"#;

/// Index of parts that are named `part-0`, `part-1` and so on.
pub fn index_of(version: u64, texts: &[String]) -> SheetIndex {
    let parts = texts.iter().enumerate().map(|(number, text)| IndexPart {
        key: format!("part-{number}"),
        digest: SheetIndex::part_digest(text),
    });
    SheetIndex {
        version,
        part: parts.collect(),
    }
}

/// A sheet whose text says which one it is; a bad one has a pool without a target.
pub fn bundle_of(version: u64, mark: u8, good: bool) -> SheetBundle {
    let extra = if good {
        ""
    } else {
        "[[pool]]\nname = \"idle\"\nkind = \"plain\"\n"
    };
    let parts = vec![format!("# {version} {mark}\n{FLEET}{extra}")];
    SheetBundle {
        index: index_of(version, &parts),
        parts,
    }
}
