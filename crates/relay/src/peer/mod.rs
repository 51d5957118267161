mod gossip_loop;

pub use gossip_loop::run_gossip;
