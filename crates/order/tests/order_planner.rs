//! Chosen cases of the order planner.

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

/// A planner of the only host, with a clock.
struct Bench {
    planner: OrderPlanner,
    now: Instant,
    limits: OrderLimits,
}

impl Bench {
    fn new(engines: usize, checks_orders: bool) -> (Self, Vec<OrderAction>) {
        let limits = OrderLimits::default();
        let now = Instant::now();
        let time = OrderTime {
            now,
            wall_us: WALL_US,
        };
        let planner = OrderPlanner::new("h1", limits, time);
        let mut bench = Self {
            planner,
            now,
            limits,
        };
        let sheet = fleet_sheet(5, engines, checks_orders);
        bench.tell(OrderEvent::SheetInForce { sheet });
        let actions = bench.hosts();
        (bench, actions)
    }

    fn tell(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        let time = OrderTime {
            now: self.now,
            wall_us: WALL_US,
        };
        self.planner.handle(event, time)
    }

    fn hosts(&mut self) -> Vec<OrderAction> {
        let hosts = vec![String::from("h1")];
        let asked_at = self.now;
        self.tell(OrderEvent::HostsLive { hosts, asked_at })
    }

    fn read(&mut self, reading: ReadingNumber, state: EngineState) -> Vec<OrderAction> {
        let target = String::from("e0");
        self.tell(OrderEvent::EngineRead {
            target,
            reading,
            state,
        })
    }

    /// Passes time in small steps, with fresh lists of hosts.
    fn pass(&mut self, time: Duration) -> Vec<OrderAction> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + Duration::from_millis(100)).min(end);
            actions.extend(self.hosts());
        }
        actions
    }
}

fn readings(actions: &[OrderAction]) -> Vec<ReadingNumber> {
    let readings = actions.iter().filter_map(|action| match action {
        OrderAction::ReadEngine { reading, .. } => Some(*reading),
        _ => None,
    });
    readings.collect()
}

fn orders(actions: &[OrderAction]) -> Vec<(EngineOrder, Instant)> {
    let orders = actions.iter().filter_map(|action| match action {
        OrderAction::SendOrder {
            order, expires_at, ..
        } => Some((order.clone(), *expires_at)),
        _ => None,
    });
    orders.collect()
}

fn state(fence: u64, sheet_version: u64) -> EngineState {
    EngineState {
        fence,
        sheet_version,
        role: String::from("serve"),
        ..EngineState::default()
    }
}

#[test]
fn an_order_follows_a_reading_and_states_the_whole_wanted_state() {
    let (mut bench, actions) = Bench::new(1, true);
    let asked_at = bench.now;
    assert_eq!((readings(&actions).len(), orders(&actions).len()), (1, 0));
    bench.now += Duration::from_millis(40);
    let actions = bench.read(readings(&actions)[0], state(41, 4));
    let wanted = EngineOrder {
        fence: 42,
        models: vec![String::from("base"), String::from("m@5")],
        adapters: Vec::new(),
        role: String::from("serve"),
        sheet_version: 5,
    };
    assert_eq!(orders(&actions), [(wanted, asked_at + bench.limits.lease)]);
}

#[test]
fn a_reading_that_comes_after_the_lease_is_made_again() {
    let (mut bench, actions) = Bench::new(1, true);
    let late = readings(&actions)[0];
    let lease = bench.limits.lease;
    let again = bench.pass(lease);
    assert_eq!(readings(&again).len(), 1);
    assert_eq!(bench.read(late, state(41, 4)), []);
    assert_eq!(
        orders(&bench.read(readings(&again)[0], state(41, 4))).len(),
        1
    );
}

#[test]
fn nothing_is_ordered_after_a_pause() {
    let (mut bench, actions) = Bench::new(1, true);
    bench.now += bench.limits.lease;
    assert_eq!(bench.read(readings(&actions)[0], state(41, 4)), []);
    let stale = OrderEvent::HostsLive {
        hosts: vec![String::from("h1")],
        asked_at: bench.now - bench.limits.lease,
    };
    assert_eq!(bench.tell(stale), []);
    assert_eq!(bench.planner.owned().count(), 0);
    assert_eq!(readings(&bench.hosts()).len(), 1);
}

#[test]
fn nothing_is_ordered_under_an_old_list_of_hosts() {
    let (mut bench, _) = Bench::new(1, true);
    for _ in 0..4 {
        bench.now += bench.limits.lease / 4;
        bench.tell(OrderEvent::Tick);
    }
    assert_eq!(bench.planner.owned().count(), 0);
}

#[test]
fn an_engine_that_has_met_a_later_sheet_gets_no_order() {
    let (mut bench, actions) = Bench::new(1, true);
    let actions = bench.read(readings(&actions)[0], state(41, 6));
    assert_eq!(actions, [OrderAction::NewerSheetSeen { version: 6 }]);
}

#[test]
fn a_new_owner_waits_before_it_orders_an_engine_that_ignores_fencing() {
    let (mut bench, mut actions) = Bench::new(1, false);
    let owned_at = bench.now;
    loop {
        let reading = readings(&actions);
        if let Some(reading) = reading.last() {
            let answer = bench.read(*reading, state(0, 0));
            if !orders(&answer).is_empty() {
                break;
            }
        }
        actions = bench.pass(Duration::from_millis(100));
        assert!(bench.now < owned_at + Duration::from_secs(30), "no order");
    }
    assert!(bench.now - owned_at >= bench.limits.takeover_wait());
}

#[test]
fn a_settled_engine_is_reported_once_and_left_alone() {
    let (mut bench, actions) = Bench::new(1, true);
    let good = EngineState {
        models: vec![String::from("m@5"), String::from("base")],
        ..state(9, 5)
    };
    let actions = bench.read(readings(&actions)[0], good.clone());
    let report = OrderReport::Settled { version: 5 };
    let target = String::from("e0");
    assert_eq!(actions, [OrderAction::Report { target, report }]);
    let period = bench.limits.read_period;
    let again = bench.pass(period);
    assert_eq!(bench.read(readings(&again)[0], good), []);
    assert_eq!(bench.planner.owned().next().unwrap().1, Some(5));
}

#[test]
fn a_spent_fence_is_reported() {
    let (mut bench, actions) = Bench::new(1, true);
    let actions = bench.read(readings(&actions)[0], state(u64::MAX, 0));
    assert!(matches!(
        actions[..],
        [OrderAction::Report {
            report: OrderReport::FenceSpent,
            ..
        }]
    ));
}

#[test]
fn loads_of_all_engines_share_the_rate() {
    let (mut bench, mut actions) = Bench::new(20, true);
    let mut sent = 0;
    let span = Duration::from_secs(20);
    let end = bench.now + span;
    while bench.now < end {
        for action in std::mem::take(&mut actions) {
            match action {
                OrderAction::ReadEngine {
                    target, reading, ..
                } => {
                    let state = state(1, 0);
                    actions.extend(bench.tell(OrderEvent::EngineRead {
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
                    sent += order.models.len();
                    bench.tell(OrderEvent::OrderAccepted { target, reading });
                }
                _ => {}
            }
        }
        actions.extend(bench.pass(Duration::from_millis(100)));
    }
    let allowed = bench.limits.loads_per_second * span.as_secs_f64();
    assert!(sent as f64 <= allowed + 2.0, "{sent} loads");
    assert!(sent as f64 >= allowed / 2.0, "{sent} loads");
}
