//! The administration API of a running instance.

use std::sync::Arc;

use smol_str::SmolStr;

use super::{Events, Fleet, InstanceStatus, Parts, TargetStatus, event};
use crate::caller::Drain;
use crate::fleet::Roster;
use crate::instance::Instance;
use crate::peer::Reach;

/// The parts of `instance` that the administration API works on. Must be called within a
/// runtime; follows the configuration for as long as the instance lives.
#[must_use]
pub fn parts(instance: &Arc<Instance>, drain: &Arc<Drain>) -> Arc<Parts> {
    let events = Events::new();
    let store = Arc::clone(&instance.config);
    tokio::spawn(event::follow(Arc::clone(&store), events.clone()));
    let (live, stopping) = (Arc::clone(instance), Arc::clone(drain));
    let seen = Arc::clone(instance);
    Arc::new(Parts {
        instance: instance.settings.instance.clone(),
        operators: instance.settings.operators.clone(),
        platform: platform(instance),
        store,
        metrics: instance.metrics.clone(),
        events,
        ready: Box::new(move || live.ready() && !stopping.draining()),
        fleet: Box::new(move || fleet(&seen)),
        log: instance.log.clone(),
    })
}

fn platform(instance: &Instance) -> crate::platform::Client {
    crate::platform::Client::clone(&instance.platform)
}

fn fleet(instance: &Instance) -> Fleet {
    let roster = instance.fleet.roster();
    Fleet {
        instances: instances(instance, &roster),
        targets: targets(&roster),
    }
}

fn instances(instance: &Instance, roster: &Roster) -> Vec<InstanceStatus> {
    let me = &instance.settings.instance.name;
    let rev = instance.config.view().rev;
    let entries = roster.entries.values();
    entries
        .map(|entry| {
            let own = entry.name == *me;
            InstanceStatus {
                name: entry.name.clone(),
                domain: entry.domain.clone(),
                region: entry.region.clone(),
                state: match own {
                    true => state(entry.leaving),
                    false => reach(instance.peers.reach(&entry.name)),
                },
                rev: match own {
                    true => Some(rev),
                    false => instance.feed.lock().rev_of(&entry.name),
                },
                age_ms: own.then_some(0),
            }
        })
        .collect()
}

fn reach(reach: Reach) -> SmolStr {
    SmolStr::new_static(match reach {
        Reach::Alive => "live",
        Reach::Dead => "dead",
        Reach::Silent => "silent",
        Reach::Stranger => "wrong key",
        Reach::Foreign => "other version",
        Reach::Unknown => "unknown",
    })
}

fn targets(roster: &Roster) -> Vec<TargetStatus> {
    let targets = roster.targets.iter();
    targets
        .map(|target| TargetStatus {
            name: target.name.clone(),
            service: target.service.clone(),
            version: target.version.clone(),
            domain: target.domain.clone(),
            state: state(target.leaving),
            running: None,
        })
        .collect()
}

fn state(leaving: bool) -> SmolStr {
    match leaving {
        true => "leaving".into(),
        false => "live".into(),
    }
}
