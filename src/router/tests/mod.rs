//! Tests of the routing decisions; none needs a network.

mod answer_times;
mod cascade;
mod cold;
mod comparison_fuzz;
mod departures;
mod evacuations;
mod fleet;
mod fleet_comparison;
mod herd;
mod history;
mod homes;
mod load;
mod named_limits;
mod outcome;
mod pace;
mod pauses;
mod rollout;
mod routing;
mod slow_version;
mod turns;
