use {
    std::{cell::RefCell, collections::HashMap},
    tokio::sync::oneshot,
};

/// Waiters for the answers to numbered questions on one connection.
#[derive(Debug)]
pub struct AnswerWaiters<Answer> {
    waiters: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl<Answer> AnswerWaiters<Answer> {
    /// Returns the receiver of the answer to the question with this number.
    pub fn expect(&self, number: u64) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(number, sender);
        receiver
    }

    /// Drops the waiter for an answer that did not come in time.
    pub fn forget(&self, number: u64) {
        self.waiters.borrow_mut().remove(&number);
    }

    /// Passes an answer to its waiter.
    pub fn resolve(&self, number: u64, answer: Answer) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&number) {
            // The request that asked may have ended in the meantime.
            let _ = waiter.send(answer);
        }
    }

    /// Drops all waiters, at the end of the connection.
    pub fn clear(&self) {
        self.waiters.borrow_mut().clear();
    }
}

impl<Answer> Default for AnswerWaiters<Answer> {
    fn default() -> Self {
        Self {
            waiters: RefCell::default(),
        }
    }
}
