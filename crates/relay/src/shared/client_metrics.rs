use {
    crate::client_rooms::AddressLabel,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Counts of the connections of clients, for each address.
#[derive(Default)]
pub struct ClientMetrics {
    /// Bytes that connections take.
    pub bytes: Family<AddressLabel, Gauge>,
    /// Connections that were ended to make room.
    pub ended: Family<AddressLabel, Counter>,
    /// Connections that were closed at once since there was no room.
    pub refused: Family<AddressLabel, Counter>,
}

impl ClientMetrics {
    /// Lists the counts in the registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "client_bytes",
            "Bytes that connections of clients take",
            self.bytes.clone(),
        );
        registry.register(
            "clients_ended",
            "Connections of clients ended to make room",
            self.ended.clone(),
        );
        registry.register(
            "clients_refused",
            "Connections of clients closed for lack of room",
            self.refused.clone(),
        );
    }
}
