use {
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// One open connection, as the server's tasks share it.
#[derive(Default)]
pub struct ConnectionHandle {
    /// Number of requests that are not answered yet.
    running_requests: Cell<usize>,
    /// Notified when the connection should be closed.
    close: Notify,
}

impl ConnectionHandle {
    /// Counts a request as running until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.running_requests.set(self.running_requests.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    /// Waits until the connection should be closed.
    pub async fn wait_for_close(&self) {
        self.close.notified().await;
    }
}

/// Counts one request of a connection as running until it is dropped.
pub struct RequestGuard(Rc<ConnectionHandle>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0
            .running_requests
            .set(self.0.running_requests.get() - 1);
    }
}

/// All open connections of a server.
#[derive(Clone, Default)]
pub struct ConnectionSet {
    open: Rc<RefCell<Vec<Rc<ConnectionHandle>>>>,
    /// True while new connections are closed at once.
    is_refusing: Rc<Cell<bool>>,
}

impl ConnectionSet {
    /// Adds a connection; returns `None` if the server refuses connections.
    pub fn add(&self) -> Option<Rc<ConnectionHandle>> {
        if self.is_refusing.get() {
            return None;
        }
        let handle = Rc::new(ConnectionHandle::default());
        self.open.borrow_mut().push(Rc::clone(&handle));
        Some(handle)
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, handle: &Rc<ConnectionHandle>) {
        self.open
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, handle));
    }

    /// Closes the connections that have no running request.
    pub fn close_idle(&self) {
        for handle in self.open.borrow().iter() {
            if handle.running_requests.get() == 0 {
                handle.close.notify_one();
            }
        }
    }

    /// Sets whether the server refuses connections; if so, the open ones are closed as well.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.set(is_refusing);
        if is_refusing {
            for handle in self.open.borrow().iter() {
                handle.close.notify_one();
            }
        }
    }
}
