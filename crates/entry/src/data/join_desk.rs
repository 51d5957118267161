use {
    base::{CustomerId, RequestId},
    once::RecordedAnswer,
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::oneshot,
};

/// Customer and request id.
pub type JoinKey = (CustomerId, RequestId);

/// Repeats of a running request that wait for its answer.
#[derive(Default)]
pub struct JoinDesk {
    waiting: RefCell<HashMap<JoinKey, Vec<oneshot::Sender<Rc<RecordedAnswer>>>>>,
}

impl JoinDesk {
    /// Waits for the answer of a running request.
    pub fn join(&self, key: JoinKey) -> oneshot::Receiver<Rc<RecordedAnswer>> {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(sender);
        receiver
    }

    /// Gives the answer to all that wait.
    pub fn settle(&self, key: &JoinKey, answer: &Rc<RecordedAnswer>) {
        let waiting = self.waiting.borrow_mut().remove(key).unwrap_or_default();
        for sender in waiting {
            let _ = sender.send(Rc::clone(answer));
        }
    }
}
