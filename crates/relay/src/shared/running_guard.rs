use {crate::shared::RelayCore, std::rc::Rc};

/// Counts a request as running until dropped, that is until its answer was passed on whole.
pub struct RunningGuard {
    core: Rc<RelayCore>,
}

impl RunningGuard {
    pub fn new(core: &Rc<RelayCore>) -> Self {
        core.running_requests.set(core.running_requests.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.core
            .running_requests
            .set(self.core.running_requests.get() - 1);
    }
}
