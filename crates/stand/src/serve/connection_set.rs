use {
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// Handle of one open connection.
#[derive(Default)]
pub struct ConnectionHandle {
    /// Requests that the connection waits for.
    running: Cell<usize>,
    close: Notify,
}

impl ConnectionHandle {
    /// Marks a request as running until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> RequestGuard {
        self.running.set(self.running.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// One running request of a connection; ends when dropped.
pub struct RequestGuard(Rc<ConnectionHandle>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// All open connections of a server.
#[derive(Clone, Default)]
pub struct ConnectionSet {
    open: Rc<RefCell<Vec<Rc<ConnectionHandle>>>>,
    refusing: Rc<Cell<bool>>,
}

impl ConnectionSet {
    /// Adds a connection; `None` if the server refuses them.
    pub fn join(&self) -> Option<Rc<ConnectionHandle>> {
        if self.refusing.get() {
            return None;
        }
        let handle = Rc::new(ConnectionHandle::default());
        self.open.borrow_mut().push(Rc::clone(&handle));
        Some(handle)
    }

    /// Takes a connection out.
    pub fn leave(&self, handle: &Rc<ConnectionHandle>) {
        self.open
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, handle));
    }

    /// Closes the connections that wait for no request.
    pub fn close_idle(&self) {
        for handle in self.open.borrow().iter() {
            if handle.running.get() == 0 {
                handle.close.notify_one();
            }
        }
    }

    /// Sets whether all connections, present and future, are closed at once.
    pub fn refuse(&self, refusing: bool) {
        self.refusing.set(refusing);
        if refusing {
            for handle in self.open.borrow().iter() {
                handle.close.notify_one();
            }
        }
    }
}
