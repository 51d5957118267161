use {
    crate::{MEMBERS, head, show, time_each},
    base::RequestPriority,
    limit::{FairQueue, QueueSettings, WaitingCall},
    once::{RegistryLimits, TicketBody, TicketRegistry},
    route::EntryRanking,
    std::time::{Duration, Instant},
};

/// Spent tickets that are kept.
pub const TICKETS: [usize; 3] = [1_000, 10_000, 65_536];
/// Customers that wait at one entry; its queue has 1,024 places.
pub const QUEUED: [usize; 4] = [8, 64, 256, 1_000];

/// Address answers, the queue of waiting requests and the book of tickets.
pub fn print() {
    head("Address answer", &MEMBERS);
    let points = MEMBERS.map(|hosts| (hosts as f64, answer_micros(hosts)));
    show("µs to rank, as each answer does anew", "entries", &points);
    head("Queue of one pool, each customer waiting once", &QUEUED);
    let points = QUEUED.map(|waiting| (waiting as f64, queue_micros(waiting)));
    show("µs of push and pop", "waiting", &points);
}

fn answer_micros(hosts: usize) -> f64 {
    let rows: Vec<_> = (0..hosts)
        .map(|number| (format!("entry-{number:03}"), 4))
        .collect();
    time_each(2_000, |number| {
        let ranking = EntryRanking::new(rows.iter().cloned());
        assert_eq!(ranking.rank(&customer(number), 3).len(), 3);
    })
}

fn customer(number: u32) -> String {
    format!("customer-{number:05}")
}

fn call(number: u32, deadline: Instant) -> WaitingCall<u32> {
    WaitingCall {
        customer: customer(number),
        weight: 1,
        priority: RequestPriority::Normal,
        deadline,
        cost: 0.1,
        item: number,
    }
}

/// Queue in which so many customers wait, each with one call.
pub fn queue(waiting: usize) -> FairQueue<u32> {
    let settings = QueueSettings {
        places: 1_024,
        ..QueueSettings::default()
    };
    let mut queue = FairQueue::new(settings);
    let now = Instant::now();
    for number in 0..waiting as u32 {
        let pushed = queue.push(call(number, now + Duration::from_secs(3)), now);
        assert!(pushed.is_ok());
    }
    queue
}

fn queue_micros(waiting: usize) -> f64 {
    let mut queue = queue(waiting);
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3);
    time_each(2_000, |number| {
        let pushed = queue.push(call(number % 31_000, deadline), now);
        assert!(pushed.is_ok());
        assert!(queue.pop(now).is_some());
    })
}

/// Book of so many spent tickets.
pub fn book(rows: usize) -> TicketRegistry {
    let mut book = TicketRegistry::new(RegistryLimits::default());
    for nonce in 0..rows as u64 {
        let ticket = TicketBody {
            host: String::from("entry-000"),
            incarnation: 1,
            address: String::from("127.0.0.1:80"),
            expires: Duration::from_secs(300),
            nonce,
        };
        let request = format!("request-{nonce:016}");
        book.spend(&ticket, "customer-00001", &request, Duration::ZERO);
    }
    assert_eq!(book.len(), rows);
    book
}
