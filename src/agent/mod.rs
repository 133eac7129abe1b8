//! The agent daemon, which stands beside one upstream.
