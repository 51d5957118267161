mod place_desk;
mod place_frame;
mod remote_place;

pub use {
    place_desk::PlaceDesk,
    place_frame::{PlaceFrame, PlaceQuestion},
    remote_place::{RemotePlace, ask_place, prompt_group},
};
