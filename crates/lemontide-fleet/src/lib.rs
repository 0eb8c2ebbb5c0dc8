//! Who is in the fleet, and what of the common work is whose: what hundreds of controllers would all do at once is
//! shared out by place, though their views of the fleet differ. No sockets, no files, no clock: time comes from
//! outside. What is promised under which views stands in `docs/design/fleet.md`.

pub mod rendezvous;
pub mod subset;
pub mod view;

pub use rendezvous::{Holder, RendezvousHash};
pub use subset::{CellRange, StreamerSubset};
pub use view::{FleetSettingsError, FleetView};
