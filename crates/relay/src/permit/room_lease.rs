use {
    crate::{
        permit::{PermitAnswer, PermitFrame, PermitSubject, ask_permit::ask_owner},
        shared::RelayCore,
        stage::{OwnerLink, PeerMessage},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// A place at a brittle target. Dropping it gives the place back to the owner of the target's places.
pub struct RoomLease {
    core: Rc<RelayCore>,
    target: String,
    /// Connection to the owner; `None` if this entry is the owner.
    link: Option<Rc<OwnerLink>>,
    /// True if the target has turned the call away.
    is_refused: bool,
    taken_at: Instant,
}

impl RoomLease {
    /// Asks for a place at a brittle target with this number of slots.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none now.
    pub async fn ask(core: &Rc<RelayCore>, target: &str, slots: u32) -> Result<Self, Duration> {
        let subject = PermitSubject::Room {
            target: target.to_string(),
            slots,
        };
        let owner = ask_owner(core, subject).await;
        let create_lease = || Self {
            core: Rc::clone(core),
            target: target.to_string(),
            link: owner.link.clone(),
            is_refused: false,
            taken_at: Instant::now(),
        };
        match owner.answer {
            PermitAnswer::Granted => Ok(create_lease()),
            PermitAnswer::Denied { retry_in } => {
                if owner.is_late {
                    // The owner may grant the place yet; this gives it back.
                    drop(create_lease());
                }
                Err(retry_in)
            }
        }
    }

    /// Records that the target has turned the call away.
    pub fn set_refused(&mut self) {
        self.is_refused = true;
    }
}

impl Drop for RoomLease {
    fn drop(&mut self) {
        let target = std::mem::take(&mut self.target);
        let held = self.taken_at.elapsed();
        match &self.link {
            Some(link) => link.send(PeerMessage::Permit(PermitFrame::Release {
                target,
                held,
                is_refused: self.is_refused,
            })),
            None => {
                let mut desk = self.core.room_desk.borrow_mut();
                desk.release(&target, held, self.is_refused, Instant::now());
            }
        }
    }
}
