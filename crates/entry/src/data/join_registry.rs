use {
    base::{CustomerId, RequestId},
    once::RecordedAnswer,
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::oneshot,
};

/// Customer and request id.
pub type JoinKey = (CustomerId, RequestId);

/// Repeated sends of running requests, which wait for the answer of the first send.
#[derive(Default)]
pub struct JoinRegistry {
    waiting: RefCell<HashMap<JoinKey, Vec<oneshot::Sender<Rc<RecordedAnswer>>>>>,
}

impl JoinRegistry {
    /// Registers a repeated send; the receiver gets the answer of the running request.
    pub fn join(&self, key: JoinKey) -> oneshot::Receiver<Rc<RecordedAnswer>> {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(sender);
        receiver
    }

    /// Sends the answer to all repeated sends of the request.
    pub fn send_answer(&self, key: &JoinKey, answer: &Rc<RecordedAnswer>) {
        let waiting = self.waiting.borrow_mut().remove(key).unwrap_or_default();
        for sender in waiting {
            let _ = sender.send(Rc::clone(answer));
        }
    }
}
