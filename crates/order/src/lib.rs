//! Level-triggered orders to model engines.
