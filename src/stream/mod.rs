//! Kept answers at the agent and their reassembly at the gateway.
