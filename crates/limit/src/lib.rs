//! Rate limits per organisation and service, shared by all routers through loans.
