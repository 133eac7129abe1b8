//! Which upstreams are live, leaving or gone, and which of them a gateway talks to.
