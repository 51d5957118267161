//! Routing: which entries a customer uses and which target a call goes to.
