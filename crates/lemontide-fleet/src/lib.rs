//! Membership views of a fleet of controllers, and how the controllers divide work that all of them would otherwise do at
//! once, although their views differ. No sockets, no files, no clock: time comes as an argument. The guarantees under
//! differing views are stated in `docs/design/fleet.md`.

pub mod rendezvous;
pub mod subset;
pub mod view;

pub use rendezvous::{Holder, RendezvousHash};
pub use subset::{CellRange, StreamerSubset};
pub use view::{FleetSettingsError, FleetView};
