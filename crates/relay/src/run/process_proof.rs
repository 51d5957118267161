use {
    crate::{
        origin::{ListedProcess, verify_process},
        shared::RelayCore,
    },
    actix_rt::task::JoinHandle,
    plan::SoftwareVersion,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Instant,
    },
};

/// Proof that the answer to a call comes from the process that the list of targets named when the
/// target was chosen.
///
/// A connection leads to one process for as long as it lives. So each new connection needs one check,
/// which runs while the target works on the request, and kept ones need none.
pub struct ProcessProof {
    core: Rc<RelayCore>,
    service: String,
    listed: ListedProcess,
    /// Time at which the connection was opened that brings the answer; `None` until it does.
    opened_at: Cell<Option<Instant>>,
    checking: RefCell<Option<JoinHandle<()>>>,
}

impl ProcessProof {
    pub fn new(core: &Rc<RelayCore>, service: &str, listed: ListedProcess) -> Self {
        Self {
            core: Rc::clone(core),
            service: service.to_string(),
            listed,
            opened_at: Cell::new(None),
            checking: RefCell::default(),
        }
    }

    /// Begins to check the process, since a connection was opened.
    pub fn begin(&self) {
        let (core, listed) = (Rc::clone(&self.core), self.listed.clone());
        let checking = actix_rt::spawn(async move { verify_process(&core, &listed).await });
        self.checking.replace(Some(checking));
    }

    /// Records when the connection was opened that brings the answer.
    pub fn set_opened(&self, opened_at: Option<Instant>) {
        self.opened_at.set(opened_at);
    }

    /// Returns the version of the target's software, if it is listed unchanged, once it is certain
    /// which process answers.
    pub async fn proven_version(&self) -> Option<SoftwareVersion> {
        let is_proven = self.complete().await;
        self.listed_version().filter(|_| is_proven)
    }

    /// Returns the version of the target's software; `None` if it is not known, or if the list of
    /// targets has another one by now.
    pub fn listed_version(&self) -> Option<SoftwareVersion> {
        let pools = self.core.pools.borrow();
        let listed = pools.get(&self.service)?.version(&self.listed.target)?;
        let version = self.listed.version.clone();
        version.filter(|version| version == listed)
    }

    /// Returns true if the answer comes from the listed process. Waits for the check of its
    /// connection; one that brought nothing is repeated.
    async fn complete(&self) -> bool {
        let checking = self.checking.take();
        if let Some(checking) = checking.filter(|_| !self.is_complete()) {
            // A check that has panicked counts as one that brought nothing.
            let _ = checking.await;
        }
        if !self.is_complete() {
            verify_process(&self.core, &self.listed).await;
        }
        self.is_complete()
    }

    fn is_complete(&self) -> bool {
        let pools = self.core.pools.borrow();
        let Some((pool, opened_at)) = pools.get(&self.service).zip(self.opened_at.get()) else {
            return false;
        };
        pool.is_proven(&self.listed.target, self.listed.started_ms, opened_at)
    }
}
