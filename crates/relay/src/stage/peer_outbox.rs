use {
    crate::stage::PeerMessage,
    std::{rc::Rc, time::Duration},
    tokio::sync::{Notify, mpsc},
};

/// Messages that may wait for a peer; a peer that leaves more unread counts as lost.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Interval of checks whether no message waits.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The connection to the peer has ended, or ends since the peer reads too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGone;

/// Where messages wait to be sent to a peer.
#[derive(Clone)]
pub struct PeerOutbox {
    sender: mpsc::Sender<PeerMessage>,
    overrun: Rc<Notify>,
}

/// Where the messages for a peer are taken from.
pub struct PeerInbox {
    pub(super) receiver: mpsc::Receiver<PeerMessage>,
    overrun: Rc<Notify>,
}

impl PeerOutbox {
    /// Creates an empty outbox, and the inbox in which its messages arrive.
    pub fn open() -> (Self, PeerInbox) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let overrun = Rc::new(Notify::new());
        let inbox = PeerInbox {
            receiver,
            overrun: Rc::clone(&overrun),
        };
        (Self { sender, overrun }, inbox)
    }

    /// Queues a message. If too many wait already, the connection ends.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or ends.
    pub fn send(&self, message: PeerMessage) -> Result<(), PeerGone> {
        let sent = self.sender.try_send(message);
        if matches!(sent, Err(mpsc::error::TrySendError::Full(_))) {
            self.overrun.notify_one();
        }
        sent.map_err(|_| PeerGone)
    }

    /// Waits until no message waits, or the connection has ended.
    pub async fn until_empty(&self) {
        while self.sender.capacity() < MAX_QUEUED_MESSAGES && !self.sender.is_closed() {
            actix_rt::time::sleep(EMPTY_CHECK_INTERVAL).await;
        }
    }
}

impl PeerInbox {
    /// Waits until too many messages wait.
    pub(super) async fn until_overrun(overrun: Rc<Notify>) -> anyhow::Error {
        overrun.notified().await;
        anyhow::anyhow!("the peer reads too slowly")
    }

    pub(super) fn overrun(&self) -> Rc<Notify> {
        Rc::clone(&self.overrun)
    }
}
