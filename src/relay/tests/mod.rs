//! Rules and decisions of the relay, without a network.

mod aggregate;
mod answer;
mod bodies;
mod catalog;
mod events;
mod pace;
mod pacing;
mod retries;
mod rules;
mod runs;
