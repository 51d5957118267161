use std::{cell::Cell, rc::Rc};

/// Place in the line of requests that are admitted for a service all of whose targets are limited,
/// until they are sent. Dropping it frees the place.
#[derive(Debug)]
pub struct LimitedPlace {
    count: Rc<Cell<usize>>,
}

impl LimitedPlace {
    /// Takes a place unless `max_places` are taken. `count` is the number of those that are.
    pub fn take(count: &Rc<Cell<usize>>, max_places: usize) -> Option<Self> {
        if count.get() >= max_places {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self {
            count: Rc::clone(count),
        })
    }
}

impl Drop for LimitedPlace {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
