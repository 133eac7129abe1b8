//! Small stand-ins for the platform, used by tests and the demo.
