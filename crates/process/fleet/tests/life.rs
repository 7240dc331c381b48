//! Tests of the lifecycle as a table of events and phases.

use fleet::{Lifecycle, LifecycleEvent, Phase};

#[test]
fn events_lead_through_the_phases_in_order() {
    use {
        LifecycleEvent::{
            BalancerLagElapsed, Configured, DrainTimedOut, Idle, PeersNotified, Stop,
        },
        Phase::{Departing, Finishing, GivingUp, Leaving, Ready, Starting, Stopped},
    };
    let cases: [(&str, &[(LifecycleEvent, Phase)]); 4] = [
        (
            "graceful",
            &[
                (Idle, Starting),
                (Configured, Ready),
                (Idle, Ready),
                (Stop, Leaving),
                (Idle, Leaving),
                (DrainTimedOut, Leaving),
                (BalancerLagElapsed, Finishing),
                (Configured, Finishing),
                (Idle, Departing),
                (Stop, Departing),
                (PeersNotified, Stopped),
                (Configured, Stopped),
            ],
        ),
        (
            "maximum drain time",
            &[
                (Configured, Ready),
                (Stop, Leaving),
                (BalancerLagElapsed, Finishing),
                (DrainTimedOut, GivingUp),
                (Idle, Departing),
            ],
        ),
        ("never ready", &[(Stop, Finishing), (Idle, Departing)]),
        (
            "repeated event",
            &[(Configured, Ready), (Configured, Ready)],
        ),
    ];
    for (what, steps) in cases {
        let mut life = Lifecycle::default();
        assert_eq!(life.phase(), Starting);
        for (event, phase) in steps {
            assert_eq!(life.on_event(*event), *phase, "{what}: {event:?}");
        }
    }
}
