//! Tests which entries a customer is told to use.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    route::EntryRanking,
    std::collections::BTreeMap,
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns entries with these sizes, named `h0`, `h1` and so on.
fn entries(sizes: &[u32]) -> Vec<(String, u32)> {
    let numbered = sizes.iter().enumerate();
    numbered
        .map(|(number, size)| (format!("h{number}"), *size))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn removing_an_entry_keeps_the_order_of_the_others(
        sizes in prop::collection::vec(1_u32..9, 2..20),
        removed in any::<prop::sample::Index>(),
        customer in "[a-z]{1,12}",
    ) {
        let all = entries(&sizes);
        let removed = all[removed.index(all.len())].0.clone();
        let mut before = EntryRanking::new(all.clone()).rank(&customer, all.len());
        let rest = all.into_iter().filter(|(host, _)| *host != removed);
        let after = EntryRanking::new(rest).rank(&customer, sizes.len());
        before.retain(|host| *host != removed);
        prop_assert_eq!(before, after);
    }

    #[test]
    fn the_order_in_which_entries_are_listed_does_not_matter(
        sizes in prop::collection::vec(1_u32..9, 1..20),
        customer in "[a-z]{1,12}",
    ) {
        let mut all = entries(&sizes);
        let ranked = EntryRanking::new(all.clone()).rank(&customer, 3);
        all.reverse();
        prop_assert_eq!(ranked, EntryRanking::new(all).rank(&customer, 3));
    }
}

#[test]
fn entries_are_preferred_in_proportion_to_their_size() {
    let sizes = [1, 2, 4];
    let ranking = EntryRanking::new(entries(&sizes));
    let customer_count = 14_000;
    let mut first_counts: BTreeMap<String, u32> = BTreeMap::new();
    for customer in 0..customer_count {
        let ranked = ranking.rank(&format!("customer-{customer}"), 1);
        *first_counts.entry(ranked[0].clone()).or_default() += 1;
    }
    for (number, size) in sizes.iter().enumerate() {
        // The sizes add up to 7.
        let expected = f64::from(customer_count) * f64::from(*size) / 7.0;
        let got = f64::from(first_counts[&format!("h{number}")]);
        assert!(
            (got / expected - 1.0).abs() < 0.1,
            "h{number}: {got} of {expected}"
        );
    }
}
