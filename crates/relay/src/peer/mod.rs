mod gossip_loop;
mod part_gossip;

pub use gossip_loop::run_gossip;
