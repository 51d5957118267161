use {
    crate::tasks::catch_panic,
    prometheus_client::metrics::{counter::Counter, family::Family},
    slog::{Logger, error},
    std::{future::Future, time::Duration},
};

/// Label of the counter of failures: `task`.
pub type TaskLabel = [(&'static str, &'static str); 1];

/// Pause before a task that has failed begins anew.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs the tasks that serve all requests. One that ends, by a panic or otherwise, is logged, counted
/// and begun anew.
#[derive(Clone)]
pub struct TaskSupervisor {
    log: Logger,
    failures: Family<TaskLabel, Counter>,
}

impl TaskSupervisor {
    /// Creates a supervisor without tasks, which counts failures in `failures`.
    pub fn new(log: Logger, failures: Family<TaskLabel, Counter>) -> Self {
        Self { log, failures }
    }

    /// Runs a task in the background for as long as the process runs. `begin` begins it, again after
    /// each failure; what the task must not lose is kept outside of it.
    pub fn keep_running<Work: Future<Output = ()> + 'static>(
        &self,
        task: &'static str,
        begin: impl Fn() -> Work + 'static,
    ) {
        let supervisor = self.clone();
        drop(supervisor.failures.get_or_create(&[("task", task)]));
        actix_rt::spawn(async move {
            loop {
                let ending = catch_panic(async { begin().await }).await;
                supervisor.failures.get_or_create(&[("task", task)]).inc();
                error!(supervisor.log, "task failed, begins anew"; "task" => task,
                    "panicked" => ending.is_err());
                actix_rt::time::sleep(RESTART_PAUSE).await;
            }
        });
    }
}
