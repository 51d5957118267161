use {
    crate::ledger::{OpenRequest, RequestEnd},
    std::rc::Rc,
};

/// Records at a request that the work in which this is held has ended by a panic.
pub struct PanicMark {
    request: Rc<OpenRequest>,
}

impl PanicMark {
    /// Creates the mark of the work for a request.
    pub fn new(request: &Rc<OpenRequest>) -> Self {
        Self {
            request: Rc::clone(request),
        }
    }
}

impl Drop for PanicMark {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.request.set_end(RequestEnd::Panicked);
        }
    }
}
