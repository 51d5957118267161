use {
    crate::{MEMBERS, mean_micros, print_figure, print_heading},
    base::RequestPriority,
    limit::{FairQueue, QueueSettings, WaitingCall},
    once::{RegistryLimits, TicketBody, TicketRegistry},
    route::EntryRanking,
    std::time::{Duration, Instant},
};

/// Numbers of spent tickets in a registry.
pub const TICKET_COUNTS: [usize; 3] = [1_000, 10_000, 65_536];
/// Numbers of customers with a call waiting at one entry, whose queue holds at most 1,024 calls.
pub const WAITING_CUSTOMERS: [usize; 4] = [8, 64, 256, 1_000];

/// Prints the cost of address answers and of the queue of waiting calls.
pub fn print() {
    print_heading("Address answer", &MEMBERS);
    let points = MEMBERS.map(|hosts| (hosts as f64, ranking_micros(hosts)));
    print_figure("µs to rank, as each answer does anew", "entries", &points);
    print_heading(
        "Queue of one pool, each customer waiting once",
        &WAITING_CUSTOMERS,
    );
    let points = WAITING_CUSTOMERS.map(|waiting| (waiting as f64, queue_micros(waiting)));
    print_figure("µs of push and pop", "waiting", &points);
}

fn ranking_micros(hosts: usize) -> f64 {
    let rows: Vec<_> = (0..hosts)
        .map(|number| (format!("entry-{number:03}"), 4))
        .collect();
    mean_micros(2_000, |number| {
        let ranking = EntryRanking::new(rows.iter().cloned());
        assert_eq!(ranking.rank(&customer_name(number), 3).len(), 3);
    })
}

fn customer_name(number: u32) -> String {
    format!("customer-{number:05}")
}

fn waiting_call(number: u32, deadline: Instant) -> WaitingCall<u32> {
    WaitingCall {
        customer: customer_name(number),
        weight: 1,
        priority: RequestPriority::Normal,
        deadline,
        cost: 0.1,
        item: number,
    }
}

/// Returns a queue in which this number of customers wait, each with one call.
pub fn filled_queue(waiting: usize) -> FairQueue<u32> {
    let settings = QueueSettings {
        places: 1_024,
        ..QueueSettings::default()
    };
    let mut queue = FairQueue::new(settings);
    let now = Instant::now();
    for number in 0..waiting as u32 {
        let pushed = queue.push(waiting_call(number, now + Duration::from_secs(3)), now);
        assert!(pushed.is_ok());
    }
    queue
}

fn queue_micros(waiting: usize) -> f64 {
    let mut queue = filled_queue(waiting);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3);
    mean_micros(2_000, |number| {
        let pushed = queue.push(waiting_call(number % 31_000, deadline), now);
        assert!(pushed.is_ok());
        assert!(queue.pop(now).is_some());
    })
}

/// Returns a registry with this number of spent tickets.
pub fn filled_registry(tickets: usize) -> TicketRegistry {
    let mut registry = TicketRegistry::new(RegistryLimits::default());
    for nonce in 0..tickets as u64 {
        let ticket = TicketBody {
            host: String::from("entry-000"),
            incarnation: 1,
            address: String::from("127.0.0.1:80"),
            expires: Duration::from_secs(300),
            nonce,
        };
        let request = format!("request-{nonce:016}");
        registry.spend(&ticket, "customer-00001", &request, Duration::ZERO);
    }
    assert_eq!(registry.len(), tickets);
    registry
}
