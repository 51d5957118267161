//! Tests the guarantees of the fair queue: shares by weight, no starvation, and every call leaves
//! the queue exactly once.

use {
    base::{FailureReason, RequestPriority},
    limit::{FairQueue, QueueSettings, WaitingCall},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Deadline that no call of a test misses.
const LONG_DEADLINE: Duration = Duration::from_secs(10_000);

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_priority() -> impl Strategy<Value = RequestPriority> {
    prop::sample::select(vec![
        RequestPriority::Urgent,
        RequestPriority::Normal,
        RequestPriority::Bulk,
    ])
}

fn call(customer: &str, weight: u32, cost: f64, item: u32, now: Instant) -> WaitingCall<u32> {
    WaitingCall {
        customer: customer.to_string(),
        weight,
        priority: RequestPriority::Normal,
        deadline: now + LONG_DEADLINE,
        cost,
        item,
    }
}

fn queue_of(places: usize) -> FairQueue<u32> {
    FairQueue::new(QueueSettings {
        places,
        ..QueueSettings::default()
    })
}

/// Pops a call and pushes it again, so that the customer keeps its backlog; returns the customer
/// and the cost of the call.
fn serve_one(queue: &mut FairQueue<u32>, now: Instant) -> (String, f64) {
    let popped = queue.pop(now).expect("there is a backlog");
    let served = (popped.call.customer.clone(), popped.call.cost);
    queue.push(popped.call, now).expect("there is room");
    served
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn backlogged_customers_get_their_share_of_target_time(
        customers in prop::collection::vec((1_u32..8, 1_u32..20, any_priority()), 2..8),
    ) {
        let now = Instant::now();
        let mut queue = queue_of(usize::MAX);
        for (name, (weight, cost_tenths, priority)) in customers.iter().enumerate() {
            for item in 0..3 {
                let cost = f64::from(*cost_tenths) / 10.0;
                let call = WaitingCall {
                    priority: *priority,
                    ..call(&name.to_string(), *weight, cost, item, now)
                };
                queue.push(call, now).unwrap();
            }
        }
        let mut served: BTreeMap<String, f64> = BTreeMap::new();
        for _ in 0..2_000 {
            let (customer, cost) = serve_one(&mut queue, now);
            *served.entry(customer).or_default() += cost;
        }
        let total_weight: u32 = customers.iter().map(|(weight, _, _)| weight).sum();
        let total: f64 = served.values().sum();
        let settings = QueueSettings::default();
        for (name, (weight, _, _)) in customers.iter().enumerate() {
            let share = f64::from(*weight) / f64::from(total_weight);
            let got = served.get(&name.to_string()).copied().unwrap_or(0.0);
            // Urgent calls may lead, bulk calls may lag, and each customer may be one call ahead or
            // behind.
            let bound = settings.urgent_lead + settings.bulk_lag + 2.0 * customers.len() as f64;
            prop_assert!((got - share * total).abs() <= bound, "{name}: {got} of {total}");
        }
    }

    #[test]
    fn every_call_leaves_the_queue_exactly_once(
        steps in prop::collection::vec(
            (0_u8..8, 0_u8..5, 1_u32..5, 1_u32..60, any_priority()),
            1..300,
        ),
        places in 1_usize..30,
    ) {
        let mut now = Instant::now();
        let mut queue = queue_of(places);
        // Items of the calls that are in the queue.
        let mut queued_items = BTreeSet::new();
        let mut sequences = BTreeMap::new();
        let mut next_item = 0;
        for (kind, customer, weight, cost_tenths, priority) in steps {
            now += Duration::from_millis(100);
            let mut removed_items = Vec::new();
            match kind {
                0..5 => {
                    next_item += 1;
                    let cost = f64::from(cost_tenths) / 10.0;
                    let pushed = queue.push(WaitingCall {
                        priority,
                        deadline: now + Duration::from_millis(200) * cost_tenths,
                        ..call(&customer.to_string(), weight, cost, next_item, now)
                    }, now);
                    match pushed {
                        Ok(queued) => {
                            queued_items.insert(next_item);
                            sequences.insert(next_item, queued.sequence);
                            removed_items.extend(queued.evicted);
                        }
                        Err(refusal) => prop_assert_eq!(refusal.item, next_item),
                    }
                }
                5 => if let Some(popped) = queue.pop(now) {
                    let left = popped.call.deadline.saturating_duration_since(now);
                    prop_assert!(left.as_secs_f64() + 1e-6 >= popped.call.cost);
                    removed_items.push(popped.call.item);
                },
                6 => removed_items.extend(queue.expire(now)),
                _ => {
                    let first = queued_items.first().and_then(|item| sequences.get(item));
                    removed_items.extend(first.and_then(|sequence| queue.cancel(*sequence)));
                }
            }
            for item in removed_items {
                prop_assert!(queued_items.remove(&item), "{} came out twice", item);
            }
            prop_assert!(queue.len() <= places);
        }
        let mut rest = queue.expire(now);
        while let Some(popped) = queue.pop(now) {
            rest.push(popped.call.item);
        }
        rest.sort_unstable();
        prop_assert_eq!(rest, queued_items.into_iter().collect::<Vec<_>>());
    }
}

#[test]
fn one_customer_may_use_the_whole_queue_while_the_others_are_idle() {
    let now = Instant::now();
    let mut queue = queue_of(50);
    for item in 0..50 {
        queue.push(call("a", 1, 1.0, item, now), now).unwrap();
    }
    let refusal = queue.push(call("a", 1, 1.0, 50, now), now).unwrap_err();
    assert_eq!(refusal.reason, FailureReason::Overloaded);
    for item in 0..50 {
        assert_eq!(queue.pop(now).unwrap().call.item, item);
    }
}

/// A customer that fills the queue must not keep others out; each call of another customer evicts
/// one of its calls until both have their share.
#[test]
fn a_full_queue_evicts_calls_of_the_customer_above_its_share() {
    let now = Instant::now();
    let mut queue = queue_of(40);
    for item in 0..40 {
        queue.push(call("flood", 1, 1.0, item, now), now).unwrap();
    }
    for item in 0..20 {
        let queued = queue.push(call("small", 1, 1.0, 100 + item, now), now);
        assert_eq!(queued.unwrap().evicted, [39 - item]);
    }
    let refusal = queue.push(call("small", 1, 1.0, 200, now), now);
    let refusal = refusal.unwrap_err();
    assert_eq!(refusal.reason, FailureReason::ShareExceeded);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn urgent_calls_go_first_and_bulk_calls_are_not_starved() {
    let now = Instant::now();
    let mut queue = queue_of(usize::MAX);
    for (item, priority) in [(0, RequestPriority::Bulk), (1, RequestPriority::Normal)] {
        let call = WaitingCall {
            priority,
            ..call("a", 1, 0.1, item, now)
        };
        queue.push(call, now).unwrap();
    }
    let mut served = Vec::new();
    for item in 10..90 {
        for customer in ["a", "b"] {
            let call = WaitingCall {
                priority: RequestPriority::Urgent,
                ..call(customer, 1, 1.0, item, now)
            };
            queue.push(call, now).unwrap();
        }
        served.push(queue.pop(now).unwrap().call.item);
    }
    assert!(served[..5].iter().all(|item| *item >= 10));
    assert!(served.contains(&0) && served.contains(&1), "{served:?}");
}

#[test]
fn a_flood_of_one_customer_does_not_delay_the_others() {
    let now = Instant::now();
    let mut queue = queue_of(usize::MAX);
    for item in 0..1_000 {
        queue.push(call("flood", 1, 1.0, item, now), now).unwrap();
    }
    queue.set_capacity(10.0);
    let wait = |customer, priority| queue.wait_estimate(customer, 1, priority, 1.0);
    assert!(wait("small", RequestPriority::Normal) <= Duration::from_millis(100));
    assert!(wait("flood", RequestPriority::Normal) >= Duration::from_secs(100));
    assert!(wait("flood", RequestPriority::Urgent).is_zero());
    queue.push(call("small", 1, 1.0, 5_000, now), now).unwrap();
    let first: Vec<u32> = (0..2).map(|_| queue.pop(now).unwrap().call.item).collect();
    assert!(first.contains(&5_000));
}

#[test]
fn calls_expire_when_too_little_time_is_left_to_finish() {
    let now = Instant::now();
    let mut queue = queue_of(usize::MAX);
    // With 3 s left, 1 s is the expected cost and another 1 s is kept free, so the call may wait
    // 1 s. With 1.2 s left, half of the spare 0.2 s is kept free, so the call may wait 0.1 s.
    for (item, deadline_ms, allowed_wait_ms) in [(1, 3_000, 1_000), (2, 1_200, 100)] {
        let waiting_call = WaitingCall {
            deadline: now + Duration::from_millis(deadline_ms),
            ..call("a", 1, 1.0, item, now)
        };
        queue.push(waiting_call, now).unwrap();
        let latest_start = now + Duration::from_millis(allowed_wait_ms);
        assert_eq!(queue.next_expiry(), Some(latest_start));
        assert!(queue.expire(latest_start).is_empty());
        let late = latest_start + Duration::from_millis(1);
        assert!(queue.pop(late).is_none());
        assert_eq!(queue.expire(late), [item]);
    }
    let hopeless = WaitingCall {
        deadline: now + Duration::from_millis(999),
        ..call("a", 1, 1.0, 3, now)
    };
    let refusal = queue.push(hopeless, now).unwrap_err();
    assert_eq!(refusal.reason, FailureReason::DeadlineTooShort);
}
