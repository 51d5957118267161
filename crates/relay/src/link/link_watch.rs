use {
    crate::{link::link_check::check_link, shared::RelayCore},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Interval at which it is looked whether lost links have to be checked again.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the links to targets while they are in doubt or lost, for as long as the process runs.
pub async fn watch_link(core: Rc<RelayCore>) {
    loop {
        tokio::select! {
            () = core.link_doubted.notified() => {}
            () = actix_rt::time::sleep(WATCH_INTERVAL) => {}
        }
        let _checking = core.link_checking.lock().await;
        let is_due = core.link.borrow().is_check_due(Instant::now());
        if is_due {
            check_link(&core).await;
        }
    }
}
