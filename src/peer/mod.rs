//! The capnp-rpc protocol between gateways and agents.
