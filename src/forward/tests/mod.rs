//! Tests of forwarding: property tests of the parsers, and requests through a gateway on loopback.

mod cold;
mod crashes;
mod departures;
mod endless;
mod ends_of_answers;
mod evacuations;
mod faulty_answers;
mod fixture;
mod follow;
mod homes;
mod limits;
mod memory;
mod model_store;
mod notices;
mod parsers;
mod plain_versions;
mod requests;
mod restored;
mod restored_fuzz;
mod restored_rollouts;
mod rollouts;
mod stop;
