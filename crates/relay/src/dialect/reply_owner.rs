/// Which call a reply says that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOwner {
    /// The reply has the id of the call that waits for it.
    ThisCall,
    /// The reply has another id.
    AnotherCall,
    /// The reply has no id.
    Unnamed,
}

impl ReplyOwner {
    /// Returns true if the reply is certainly the answer to the call that waits for it. One without
    /// an id is if the connection has carried no other call, whose answer it could be.
    ///
    /// ```
    /// assert!(relay::ReplyOwner::Unnamed.is_this_call(true));
    /// assert!(!relay::ReplyOwner::Unnamed.is_this_call(false));
    /// ```
    pub fn is_this_call(self, is_on_new_connection: bool) -> bool {
        match self {
            Self::ThisCall => true,
            Self::AnotherCall => false,
            Self::Unnamed => is_on_new_connection,
        }
    }
}
