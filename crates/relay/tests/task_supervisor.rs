//! Tasks that serve all requests and fail.

use {
    prometheus_client::metrics::family::Family,
    relay::{PanicCaught, TaskSupervisor, catch_panic},
    slog::{Discard, Logger, o},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// State of a task that outlives its failures.
#[derive(Default)]
struct KeptState {
    begun: Cell<u64>,
    values: RefCell<Vec<u64>>,
}

impl KeptState {
    fn record(&self, number: u64) {
        let mut values = self.values.borrow_mut();
        values.push(number);
        assert!(number != 1, "the task fails");
    }
}

/// Fails twice, the first time while it has borrowed the state, and then runs on.
async fn run_task(state: Rc<KeptState>) {
    let number = state.begun.get() + 1;
    state.begun.set(number);
    state.record(number);
    if number > 2 {
        std::future::pending::<()>().await;
    }
}

#[actix_rt::test]
async fn a_task_that_fails_begins_anew_and_is_counted() {
    let failures = Family::default();
    let supervisor = TaskSupervisor::new(Logger::root(Discard, o!()), failures.clone());
    let state = Rc::new(KeptState::default());
    let kept_state = Rc::clone(&state);
    supervisor.keep_running("worker", move || run_task(Rc::clone(&kept_state)));
    actix_rt::time::timeout(Duration::from_secs(10), async {
        while state.begun.get() < 3 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await
    .expect("the task begins anew");
    assert_eq!(*state.values.borrow(), [1, 2, 3]);
    assert_eq!(failures.get_or_create(&[("task", "worker")]).get(), 2);
}

#[actix_rt::test]
async fn a_panic_gives_back_what_the_work_has_borrowed() {
    let shared = Rc::new(RefCell::new(0));
    let work = async {
        let _borrowed = shared.borrow_mut();
        panic!("the work fails");
    };
    assert_eq!(catch_panic::<()>(work).await, Err(PanicCaught));
    assert!(shared.try_borrow_mut().is_ok());
}
