//! Guards against sheets with errors that are accepted, or refused without saying where the errors
//! are: each error must be reported once, with its part, line and key.

mod common;

use {
    common::{CUSTOMERS_PART, FLEET_PART, index_of},
    sheet::{FleetSheet, SheetError},
};

fn assemble(parts: &[String]) -> Result<FleetSheet, Vec<SheetError>> {
    FleetSheet::assemble(index_of(1, parts), parts)
}

/// Positions of the errors in the sample sheet after one replacement, as `part:line: key`.
fn errors_after(old: &str, new: &str) -> Vec<String> {
    let fleet_part = FLEET_PART.replacen(old, new, 1);
    let customers_part = CUSTOMERS_PART.replacen(old, new, 1);
    assert!(
        (fleet_part.as_str(), customers_part.as_str()) != (FLEET_PART, CUSTOMERS_PART),
        "`{old}` is not in the sample"
    );
    let errors = assemble(&[fleet_part, customers_part]).expect_err(new);
    errors.iter().map(position).collect()
}

fn position(error: &SheetError) -> String {
    format!("{}:{}: {}", error.part, error.line, error.key)
}

#[test]
fn valid_sheet_is_assembled() {
    let sheet = assemble(&[FLEET_PART.to_string(), CUSTOMERS_PART.to_string()]).unwrap();
    assert_eq!(sheet.version(), 1);
    assert_eq!(sheet.pipelines["receipts"].stage.len(), 2);
    assert_eq!(sheet.customers["co-op"].weight, 3);
    assert!(!sheet.is_idempotent("ledger", "post"));
    assert!(sheet.is_engine_pool("readers"));
    assert!(sheet.targets["reader-1"].checks_orders);
    assert_eq!(sheet.pool_targets("ledger").count(), 1);
}

#[test]
fn each_error_has_its_position() {
    let cases = [
        (
            "deadline = \"3s\"",
            "deadline = \"0s\"",
            "part-0:3: pipeline.deadline",
        ),
        (
            "deadline = \"3s\"",
            "deadline = \"850ms\"",
            "part-0:3: pipeline.deadline",
        ),
        (
            "deadline = \"3s\"",
            "deadline = 3",
            "part-0:3: pipeline.deadline",
        ),
        (
            "deadline = \"3s\"",
            "dead_line = \"3s\"\ndeadline = \"3s\"",
            "part-0:3: pipeline.dead_line",
        ),
        (
            "expected = \"800ms\"",
            "expected = \"0s\"",
            "part-0:8: pipeline.stage.expected",
        ),
        (
            "expected = \"800ms\"",
            "expect = 1\nexpected = \"1s\"",
            "part-0:8: pipeline.stage.expect",
        ),
        (
            "pool = \"ledger\"",
            "pool = \"ledgers\"\nmodel = \"m\"",
            "part-0:10: pipeline.stage.pool",
        ),
        (
            "call = \"post\"",
            "call = \"post\"\nmodel = \"m\"",
            "part-0:12: pipeline.stage.model",
        ),
        (
            "name = \"readers\"",
            "name = \"rea ders\"",
            "part-0:14: pool.name",
        ),
        (
            "kind = \"engine\"",
            "kind = \"motor\"",
            "part-0:15: pool.kind",
        ),
        ("kind = \"engine\"", "", "part-0:13: pool.kind"),
        (
            "[\"post\"]",
            "[\"post\", \"pots\"]",
            "part-0:19: pool.non_idempotent",
        ),
        ("capacity = 8", "capacity = 0", "part-0:25: target.capacity"),
        (
            "capacity = 8",
            "capacity = -8",
            "part-0:25: target.capacity",
        ),
        ("capacity = 8", "", "part-0:20: target.capacity"),
        (
            "127.0.0.1:9001",
            "reader-1.local:9001",
            "part-0:24: target.address",
        ),
        ("127.0.0.1:9001", "127.0.0.1", "part-0:24: target.address"),
        ("127.0.0.1:9001", "127.0.0.1:0", "part-0:24: target.address"),
        (
            "name = \"ledger-1\"",
            "name = \"reader-1\"",
            "part-0:29: target.name",
        ),
        (
            "capacity = 4",
            "capacity = 4\nmodels = [\"m\"]",
            "part-0:34: target.models",
        ),
        ("weight = 3", "weight = 0", "part-1:3: customer.weight"),
        (
            "weight = 3",
            "weight = 3\nentries = 0",
            "part-1:4: customer.entries",
        ),
        (
            "weight = 3",
            "weight = 3\npriority = \"fast\"",
            "part-1:4: customer.priority",
        ),
        ("\"aaaa", "\"gggg", "part-1:4: customer.credential"),
        ("\"aaaa", "\"aaa", "part-1:4: customer.credential"),
        ("[[customer]]", "[customer]", "part-1:1: customer"),
        (
            "[[customer]]",
            "version = 1\n[[customer]]",
            "part-1:1: version",
        ),
    ];
    for (old, new, expected) in cases {
        let found = errors_after(old, new);
        assert!(
            found.iter().any(|position| position == expected),
            "{new}: {found:?}"
        );
    }
}

#[test]
fn each_error_is_reported_once() {
    assert_eq!(errors_after("capacity = 8", "capacity = 0").len(), 1);
    assert_eq!(errors_after("capacity = 8", "capacity = \"x\"").len(), 1);
    assert_eq!(errors_after("kind = \"engine\"", "kind = 1").len(), 1);
    assert_eq!(errors_after("[\"post\"]", "[\"pots\"]").len(), 1);
}

#[test]
fn errors_of_all_parts_are_listed_in_order() {
    let fleet_part = FLEET_PART
        .replace("capacity = 8", "capacity = 0\nspeed = 2")
        .replace("pool = \"ledger\"\ndata", "pool = \"ledgers\"\ndata");
    let customers_part =
        format!("{CUSTOMERS_PART}{CUSTOMERS_PART}").replace("weight = 3", "weight = 0");
    let errors = assemble(&[fleet_part, customers_part]).unwrap_err();
    let found: Vec<String> = errors.iter().map(position).collect();
    let expected = [
        "part-0:17: pool.name",
        "part-0:25: target.capacity",
        "part-0:26: target.speed",
        "part-0:31: target.pool",
        "part-1:3: customer.weight",
        "part-1:6: customer.name",
        "part-1:7: customer.weight",
    ];
    assert_eq!(found, expected);
    assert!(errors[5].message.contains("part-1:2"), "{}", errors[5]);
}

#[test]
fn duplicate_across_parts_names_both_positions() {
    let parts = [FLEET_PART, CUSTOMERS_PART, CUSTOMERS_PART].map(String::from);
    let errors = assemble(&parts).unwrap_err();
    assert_eq!(errors.len(), 1);
    assert_eq!(position(&errors[0]), "part-2:2: customer.name");
    assert!(errors[0].message.contains("part-1:2"), "{}", errors[0]);
}

#[test]
fn every_syntax_error_is_listed_and_other_parts_are_still_checked() {
    let fleet_part = FLEET_PART
        .replace("capacity = 8", "capacity 8")
        .replace("deadline = \"3s\"", "deadline = 3s");
    let customers_part = CUSTOMERS_PART.replace("weight = 3", "weight = 0");
    let errors = assemble(&[fleet_part, customers_part]).unwrap_err();
    let lines: Vec<(&str, usize)> = errors
        .iter()
        .map(|error| (error.part.as_str(), error.line))
        .collect();
    for expected in [("part-0", 3), ("part-0", 25), ("part-1", 3)] {
        assert!(lines.contains(&expected), "{errors:?}");
    }
}

#[test]
fn number_of_stages_is_limited() {
    let stage = "[[pipeline.stage]]\npool = \"ledger\"\ncall = \"post\"\nexpected = \"1ms\"\n";
    let pipeline = |count: usize| {
        let pipeline_head = "[[pipeline]]\nname = \"long\"\ndeadline = \"1s\"\n";
        format!("{pipeline_head}{}", stage.repeat(count))
    };
    for (count, is_valid) in [(0, false), (1, true), (6, true), (7, false)] {
        let result = assemble(&[FLEET_PART.to_string(), pipeline(count)]);
        let result = result.map_err(|errors| errors.iter().map(position).collect::<Vec<_>>());
        match result {
            Ok(_) => assert!(is_valid, "{count} stages"),
            Err(positions) => assert_eq!(
                (positions, is_valid),
                (vec!["part-1:1: pipeline.stage".into()], false)
            ),
        }
    }
}

#[test]
fn parts_must_match_the_index() {
    let parts = [FLEET_PART, CUSTOMERS_PART].map(String::from);
    let mut index = index_of(1, &parts);
    index.part[1].digest = index.part[0].digest.clone();
    let errors = FleetSheet::assemble(index.clone(), &parts).unwrap_err();
    assert_eq!(position(&errors[0]), "index:0: part.digest");
    assert!(errors[0].message.contains("part-1"), "{}", errors[0]);

    index.part.pop();
    let errors = FleetSheet::assemble(index, &parts).unwrap_err();
    assert_eq!(position(&errors[0]), "index:0: part");

    let mut index = index_of(0, &parts);
    index.part[1].key = index.part[0].key.clone();
    let errors = FleetSheet::assemble(index, &parts).unwrap_err();
    let found: Vec<String> = errors.iter().map(position).collect();
    assert_eq!(found, ["index:0: version", "index:0: part.key"]);
}

#[test]
fn part_text_is_at_most_a_mebibyte() {
    let long_part = format!("{CUSTOMERS_PART}#{}", "x".repeat(1 << 20));
    let errors = assemble(&[FLEET_PART.to_string(), long_part]).unwrap_err();
    assert_eq!(errors.len(), 1);
    assert_eq!((errors[0].part.as_str(), errors[0].line), ("part-1", 0));
}

#[test]
fn sheet_of_the_largest_planned_fleet_is_assembled() {
    let mut parts = vec![FLEET_PART.to_string(), String::new()];
    for number in 0..600 {
        parts[1].push_str(&format!(
            "[[target]]\nname = \"t{number}\"\npool = \"readers\"\ndata_centre = \"erie\"\n\
             address = \"10.0.{}.{}:9001\"\ncapacity = 8\nmodels = [\"reader@3\"]\n",
            number / 250,
            number % 250 + 1
        ));
    }
    for part_number in 0..31 {
        let customer_text = |number: usize| {
            let name = format!("organisation-{part_number}-{number}");
            CUSTOMERS_PART.replace("co-op", &name)
        };
        parts.push((0..1_000).map(customer_text).collect());
    }
    let sheet = assemble(&parts).unwrap();
    assert_eq!((sheet.customers.len(), sheet.targets.len()), (31_000, 602));
    let bytes: usize = parts.iter().map(String::len).sum();
    assert!(bytes < 5_000_000, "{bytes}");

    parts[20] = parts[20].replace("weight = 3", "weight = 0");
    assert_eq!(assemble(&parts).unwrap_err().len(), 1_000);
}
