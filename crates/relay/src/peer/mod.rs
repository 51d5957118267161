mod gossip_loop;
mod limit_gossip;
mod news_repeat;
mod part_gossip;

pub use gossip_loop::run_gossip;
use news_repeat::NewsRepeat;
