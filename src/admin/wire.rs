//! Connects the administration API to a running instance.

use std::sync::Arc;

use smol_str::SmolStr;

use super::{Context, Events, Fleet, InstanceStatus, TargetStatus, event};
use crate::caller::Drain;
use crate::fleet::Roster;
use crate::instance::Instance;
use crate::peer::Reach;

/// Builds the shared state of the administration API of `instance`. Must be called within a Tokio
/// runtime; spawns a task that records configuration changes as events.
#[must_use]
pub fn context(instance: &Arc<Instance>, drain: &Arc<Drain>) -> Arc<Context> {
    let events = Events::new();
    let store = Arc::clone(&instance.config);
    tokio::spawn(event::follow(Arc::clone(&store), events.clone()));
    let (running, shutdown) = (Arc::clone(instance), Arc::clone(drain));
    let source = Arc::clone(instance);
    Arc::new(Context {
        instance: instance.settings.instance.clone(),
        operators: instance.settings.operators.clone(),
        platform: platform(instance),
        store,
        metrics: instance.metrics.clone(),
        events,
        ready: Box::new(move || running.ready() && !shutdown.draining()),
        fleet: Box::new(move || fleet(&source)),
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
        Reach::Unauthenticated => "wrong key",
        Reach::OtherVersion => "other version",
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
