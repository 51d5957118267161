//! Guards the order planner of a single host against orders that do not follow from a recent
//! reading, that go out after a lease has expired, or that load models faster than allowed.

mod common;

use {
    common::fleet_sheet,
    order::{
        EngineOrder, EngineState, OrderAction, OrderEvent, OrderLimits, OrderPlanner, OrderReport,
        OrderTime, ReadingNumber,
    },
    std::time::{Duration, Instant},
};

/// Wall time of every test, in microseconds since the Unix epoch.
const WALL_US: u64 = 1_700_000_000_000_000;

/// Planner of the only live host, with a simulated clock.
struct PlannerFixture {
    planner: OrderPlanner,
    now: Instant,
    limits: OrderLimits,
}

impl PlannerFixture {
    /// Puts sheet 5 with this many engines in force and lists this host as live. Returns the actions
    /// that follow, too.
    fn new(engine_count: usize, checks_orders: bool) -> (Self, Vec<OrderAction>) {
        let limits = OrderLimits::default();
        let now = Instant::now();
        let time = OrderTime {
            now,
            wall_us: WALL_US,
        };
        let planner = OrderPlanner::new("h1", limits, time);
        let mut fixture = Self {
            planner,
            now,
            limits,
        };
        let sheet = fleet_sheet(5, engine_count, checks_orders);
        fixture.handle(OrderEvent::SheetInForce { sheet });
        let actions = fixture.list_live_host();
        (fixture, actions)
    }

    fn handle(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        let time = OrderTime {
            now: self.now,
            wall_us: WALL_US,
        };
        self.planner.handle(event, time)
    }

    fn list_live_host(&mut self) -> Vec<OrderAction> {
        let hosts = vec![String::from("h1")];
        let asked_at = self.now;
        self.handle(OrderEvent::HostsLive { hosts, asked_at })
    }

    /// Reports the state that the engine `e0` gave for a reading.
    fn report_state(&mut self, reading: ReadingNumber, state: EngineState) -> Vec<OrderAction> {
        let target = String::from("e0");
        self.handle(OrderEvent::EngineRead {
            target,
            reading,
            state,
        })
    }

    /// Advances the clock in steps of 100 ms, with a new list of live hosts at each.
    fn advance(&mut self, time: Duration) -> Vec<OrderAction> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + Duration::from_millis(100)).min(end);
            actions.extend(self.list_live_host());
        }
        actions
    }
}

fn reading_numbers(actions: &[OrderAction]) -> Vec<ReadingNumber> {
    let reading_numbers = actions.iter().filter_map(|action| match action {
        OrderAction::ReadEngine { reading, .. } => Some(*reading),
        _ => None,
    });
    reading_numbers.collect()
}

fn sent_orders(actions: &[OrderAction]) -> Vec<(EngineOrder, Instant)> {
    let sent_orders = actions.iter().filter_map(|action| match action {
        OrderAction::SendOrder {
            order, expires_at, ..
        } => Some((order.clone(), *expires_at)),
        _ => None,
    });
    sent_orders.collect()
}

/// Returns the state of an engine that has no models and obeyed an order of this sheet last.
fn engine_state(fence: u64, sheet_version: u64) -> EngineState {
    EngineState {
        fence,
        sheet_version,
        role: String::from("serve"),
        ..EngineState::default()
    }
}

#[test]
fn order_follows_a_reading_and_contains_the_complete_wanted_state() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    let asked_at = fixture.now;
    assert_eq!(
        (reading_numbers(&actions).len(), sent_orders(&actions).len()),
        (1, 0)
    );
    fixture.now += Duration::from_millis(40);
    let actions = fixture.report_state(reading_numbers(&actions)[0], engine_state(41, 4));
    let wanted = EngineOrder {
        fence: 42,
        models: vec![String::from("base"), String::from("m@5")],
        adapters: Vec::new(),
        role: String::from("serve"),
        sheet_version: 5,
    };
    assert_eq!(
        sent_orders(&actions),
        [(wanted, asked_at + fixture.limits.lease)]
    );
}

#[test]
fn reading_that_outlasts_its_lease_is_repeated() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    let expired_reading = reading_numbers(&actions)[0];
    let lease = fixture.limits.lease;
    let next_actions = fixture.advance(lease);
    assert_eq!(reading_numbers(&next_actions).len(), 1);
    assert_eq!(
        fixture.report_state(expired_reading, engine_state(41, 4)),
        []
    );
    assert_eq!(
        sent_orders(&fixture.report_state(reading_numbers(&next_actions)[0], engine_state(41, 4)))
            .len(),
        1
    );
}

#[test]
fn no_order_is_sent_after_a_pause_of_the_host() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    fixture.now += fixture.limits.lease;
    assert_eq!(
        fixture.report_state(reading_numbers(&actions)[0], engine_state(41, 4)),
        []
    );
    let stale_list = OrderEvent::HostsLive {
        hosts: vec![String::from("h1")],
        asked_at: fixture.now - fixture.limits.lease,
    };
    assert_eq!(fixture.handle(stale_list), []);
    assert_eq!(fixture.planner.owned_targets().count(), 0);
    assert_eq!(reading_numbers(&fixture.list_live_host()).len(), 1);
}

#[test]
fn targets_are_given_up_when_the_host_list_expires() {
    let (mut fixture, _) = PlannerFixture::new(1, true);
    for _ in 0..4 {
        fixture.now += fixture.limits.lease / 4;
        fixture.handle(OrderEvent::Tick);
    }
    assert_eq!(fixture.planner.owned_targets().count(), 0);
}

#[test]
fn engine_with_a_later_sheet_gets_no_order() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    let actions = fixture.report_state(reading_numbers(&actions)[0], engine_state(41, 6));
    assert_eq!(actions, [OrderAction::NewerSheetSeen { version: 6 }]);
}

#[test]
fn new_owner_waits_before_it_orders_an_engine_that_ignores_fencing() {
    let (mut fixture, mut actions) = PlannerFixture::new(1, false);
    let owned_at = fixture.now;
    loop {
        let reading = reading_numbers(&actions);
        if let Some(reading) = reading.last() {
            let new_actions = fixture.report_state(*reading, engine_state(0, 0));
            if !sent_orders(&new_actions).is_empty() {
                break;
            }
        }
        actions = fixture.advance(Duration::from_millis(100));
        assert!(fixture.now < owned_at + Duration::from_secs(30), "no order");
    }
    assert!(fixture.now - owned_at >= fixture.limits.takeover_wait());
}

#[test]
fn settled_engine_is_reported_once_and_gets_no_order() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    let wanted = EngineState {
        models: vec![String::from("m@5"), String::from("base")],
        ..engine_state(9, 5)
    };
    let actions = fixture.report_state(reading_numbers(&actions)[0], wanted.clone());
    let report = OrderReport::Settled { version: 5 };
    let target = String::from("e0");
    assert_eq!(actions, [OrderAction::Report { target, report }]);
    let period = fixture.limits.read_period;
    let next_actions = fixture.advance(period);
    assert_eq!(
        fixture.report_state(reading_numbers(&next_actions)[0], wanted),
        []
    );
    assert_eq!(fixture.planner.owned_targets().next().unwrap().1, Some(5));
}

#[test]
fn exhausted_fencing_token_is_reported() {
    let (mut fixture, actions) = PlannerFixture::new(1, true);
    let actions = fixture.report_state(reading_numbers(&actions)[0], engine_state(u64::MAX, 0));
    assert!(matches!(
        actions[..],
        [OrderAction::Report {
            report: OrderReport::FenceSpent,
            ..
        }]
    ));
}

#[test]
fn model_loads_of_all_engines_share_the_rate_limit() {
    let (mut fixture, mut actions) = PlannerFixture::new(20, true);
    let mut load_count = 0;
    let span = Duration::from_secs(20);
    let end = fixture.now + span;
    while fixture.now < end {
        for action in std::mem::take(&mut actions) {
            match action {
                OrderAction::ReadEngine {
                    target, reading, ..
                } => {
                    let state = engine_state(1, 0);
                    actions.extend(fixture.handle(OrderEvent::EngineRead {
                        target,
                        reading,
                        state,
                    }));
                }
                OrderAction::SendOrder {
                    target,
                    reading,
                    order,
                    ..
                } => {
                    load_count += order.models.len();
                    fixture.handle(OrderEvent::OrderAccepted { target, reading });
                }
                _ => {}
            }
        }
        actions.extend(fixture.advance(Duration::from_millis(100)));
    }
    // The bucket starts with one load, and the last order, of two loads, may overdraw it by one.
    let allowed = fixture.limits.loads_per_second * span.as_secs_f64();
    assert!(load_count as f64 <= allowed + 2.0, "{load_count} loads");
    assert!(load_count as f64 >= allowed / 2.0, "{load_count} loads");
}
